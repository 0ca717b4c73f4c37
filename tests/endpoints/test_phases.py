"""Tests of the phases of an endpoint."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import Attempt
from auburnswitch.endpoints.load_report import LoadReport
from auburnswitch.endpoints.reservations import DispatchRefusedError
from auburnswitch.schema.objects import Ticket
from auburnswitch.schema.peers import (
    EndpointHint,
    EndpointPhase,
    ReleaseRequest,
)
from auburnswitch.schema.results import ResultCode
from tests.endpoints.manager_support import (
    ENGINE,
    make_changes,
    make_endpoint,
    make_endpoint_manager,
    make_reservation_client,
    make_reserve_request,
)
from tests.virtual_time import run_virtual

WARM_AFTER = 8
RESET_AFTER_SUCCESSES = 4
COLD_FIRST_TOKEN_S = 0.6


class EndpointDriver:
    """Runs requests on one endpoint of an endpoint manager."""

    def __init__(self, **values) -> None:
        self.manager = make_endpoint_manager(warm_after=WARM_AFTER, **values)
        self.client = make_reservation_client(self.manager)
        self.ledger = self.manager.ledgers[ENGINE]

    async def run(self, first_token_s: float = 0.05, **outcome) -> None:
        """Runs one request to completion."""
        held = await self.begin()
        await asyncio.sleep(first_token_s)
        await self.client.report_prefilled(held)
        await self.client.release(held, **({"succeeded": True} | outcome))

    async def begin(self):
        """Starts one request."""
        held = await self.client.reserve(make_reserve_request())
        attempt = Attempt(request_id=held.id, number=1, member_id="me")
        self.client.begin_dispatch(held, attempt)
        return held

    async def succeed(self, count: int) -> None:
        """Runs a number of successful requests."""
        for _ in range(count):
            await self.run()

    def report_load(self, **values) -> None:
        """Applies a load report."""
        report = LoadReport(**({"boot_id": "b1"} | values))
        self.manager.on_load_report(ENGINE, report, monotonic_s())

    def set_zone_out(self, number: int, *, out: bool) -> None:
        """Takes the zone out of service, or back, by the numbered ticket."""
        spec = make_endpoint(warm_after=WARM_AFTER)
        ticket = Ticket(number=number, changes=make_changes(spec, zone_out=out))
        self.manager.state.join_ticket(ticket)


class PhaseTest(unittest.TestCase):
    def run_when_warm(self, scenario, **values) -> EndpointDriver:
        """Returns the driver once a scenario has run on a warm endpoint."""

        async def run():
            driver = EndpointDriver(**values)
            await driver.succeed(60)
            self.assertEqual(driver.ledger.phase, EndpointPhase.WARM)
            await scenario(driver)
            return driver

        return run_virtual(run)

    def assert_cold(self, driver: EndpointDriver) -> None:
        """Checks that the limits of a cold endpoint apply."""
        self.assertEqual(driver.ledger.phase, EndpointPhase.COLD)
        spec = driver.ledger.spec
        self.assertEqual(driver.ledger.max_running, spec.cold_max_running)

    def test_limit_rises_on_successes_and_halves_on_a_failure(self):
        async def scenario():
            driver = EndpointDriver()
            limits = []
            for _ in range(WARM_AFTER - 1):
                await driver.run()
                limits.append(driver.ledger.max_running)
            self.assertEqual(set(limits), {2})
            await driver.succeed(8)
            raised_limit = driver.ledger.max_running
            await driver.run(succeeded=False)
            return raised_limit, driver.ledger.max_running

        raised_limit, halved_limit = run_virtual(scenario)
        self.assertGreater(raised_limit, 8)
        self.assertEqual(halved_limit, raised_limit // 2)

    def test_undetected_reset_in_the_cold_phase(self):
        async def scenario():
            driver = EndpointDriver()
            served = 0  # by the engine since it became cold
            while served < WARM_AFTER:
                await driver.run(first_token_s=COLD_FIRST_TOKEN_S)
                served += 1
                if driver.ledger.warm_up.successes == RESET_AFTER_SUCCESSES:
                    served = 0
                self.assertEqual(driver.ledger.phase, EndpointPhase.COLD)
            await driver.run()
            self.assertEqual(driver.ledger.phase, EndpointPhase.WARMING)

        run_virtual(scenario)

    def test_endpoint_that_is_always_slow_becomes_warm(self):
        async def scenario():
            driver = EndpointDriver()
            for _ in range(2 * WARM_AFTER):
                await driver.run(first_token_s=COLD_FIRST_TOKEN_S)
            self.assertEqual(driver.ledger.phase, EndpointPhase.WARMING)

        run_virtual(scenario)

    def test_new_boot_id_resets_to_cold(self):
        async def scenario(driver):
            driver.report_load(boot_id="b2")

        self.assert_cold(self.run_when_warm(scenario))

    def test_dropped_connection_resets_to_cold(self):
        async def scenario(driver):
            await driver.run(succeeded=False, endpoint_lost=True)

        driver = self.run_when_warm(scenario)
        self.assert_cold(driver)
        held_ids = list(driver.ledger.reservations)  # it may still run
        self.assertEqual(len(held_ids), 1)
        generation = driver.ledger.warm_up.generation
        driver.manager.release(
            ReleaseRequest(
                endpoint=ENGINE,
                reservation_id=held_ids[0],
                used=True,
                endpoint_lost=True,
            )
        )
        self.assertEqual(driver.ledger.warm_up.generation, generation)

    def test_slow_first_tokens_reset_to_cold(self):
        async def scenario(driver):
            for _ in range(3):
                await driver.run(first_token_s=5)

        self.assert_cold(self.run_when_warm(scenario))

    def test_nonconsecutive_slow_first_tokens_are_tolerated(self):
        async def scenario(driver):
            await driver.run(first_token_s=5)
            await driver.succeed(3)
            await driver.run(first_token_s=5)

        driver = self.run_when_warm(scenario)
        self.assertEqual(driver.ledger.phase, EndpointPhase.WARM)

    def test_reports_without_the_known_work_reset_to_cold(self):
        async def scenario(driver):
            await driver.begin()
            for _ in range(8):
                await asyncio.sleep(1)
                driver.client.report_local_reservations()
                driver.report_load()

        self.assert_cold(self.run_when_warm(scenario))

    def test_lagging_report_is_ignored(self):
        async def scenario(driver):
            await driver.begin()
            driver.report_load()
            await asyncio.sleep(1)
            driver.client.report_local_reservations()
            driver.report_load()

        driver = self.run_when_warm(scenario)
        self.assertEqual(driver.ledger.phase, EndpointPhase.WARM)

    def test_unreachable_endpoint_is_down_then_cold(self):
        async def scenario(driver):
            for _ in range(3):
                driver.manager.record_unreachable(ENGINE)
            reply = await driver.manager.reserve(make_reserve_request(), "me")
            self.assertEqual(reply.code, ResultCode.NO_ENDPOINT)
            driver.report_load()

        self.assert_cold(self.run_when_warm(scenario))

    def test_endpoint_is_cold_when_its_zone_returns(self):
        async def scenario(driver):
            held = await driver.begin()
            driver.set_zone_out(2, out=True)
            driver.set_zone_out(3, out=False)
            await driver.client.release(held, succeeded=True)

        driver = self.run_when_warm(scenario)
        self.assert_cold(driver)
        self.assertEqual(driver.ledger.warm_up.successes, 0)

    def test_engine_reports_that_it_is_leaving(self):
        async def scenario(driver):
            held = await driver.client.reserve(make_reserve_request())
            driver.report_load(leaving=True)
            reply = await driver.manager.reserve(make_reserve_request(), "me")
            self.assertEqual(reply.code, ResultCode.NO_ENDPOINT)
            attempt = Attempt(request_id="r", number=1, member_id="me")
            with self.assertRaises(DispatchRefusedError):
                driver.client.begin_dispatch(held, attempt)

        self.run_when_warm(scenario)

    def test_take_over_adopts_the_phase_of_the_same_boot_id(self):
        async def scenario():
            manager = make_endpoint_manager()
            phases = []
            for boot_id in ("b1", "b0"):
                manager.ledgers.clear()
                hint = EndpointHint(
                    endpoint=ENGINE, phase=EndpointPhase.WARM, boot_id=boot_id
                )
                manager.hints.update(hint)
                before = manager.local_hint(ENGINE).phase
                manager.on_load_report(ENGINE, LoadReport(boot_id="b1"), 0.0)
                ledger = manager.ledgers[ENGINE]
                phases.append((before, ledger.phase, ledger.max_running))
            return phases

        unknown = EndpointPhase.UNKNOWN
        self.assertEqual(
            run_virtual(scenario),
            [
                (unknown, EndpointPhase.WARM, 32),
                (unknown, EndpointPhase.COLD, 2),
            ],
        )

    # g: reserve; s, l: release with success or failure; b: new boot id;
    # d: failed load read; u: load report; p: pause.
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(st.sampled_from("slgbdup"), max_size=60))
    def test_cold_limit_holds_for_any_order_of_events(self, events):
        async def scenario():
            driver = EndpointDriver()
            held = []
            for event in events:
                match event:
                    case "g":
                        held.append(
                            await driver.client.reserve(make_reserve_request())
                        )
                    case "s" | "l" if held:
                        reservation = held.pop()
                        if hasattr(reservation, "work"):
                            await driver.client.release(
                                reservation, succeeded=event == "s"
                            )
                    case "b":
                        driver.report_load(boot_id=f"b{len(held)}")
                    case "d":
                        driver.manager.record_unreachable(ENGINE)
                    case "u":
                        driver.report_load()
                    case "p":
                        driver.manager.on_pause()

        run_virtual(scenario)  # strict invariants raise on a violation

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
    changes,
    endpoint,
    make_endpoint_manager,
    make_reservation_client,
    make_reserve_request,
)
from tests.virtual_time import run_virtual

WARM_AFTER = 8
TURN_AFTER = 4
COLD_FIRST_TOKEN_S = 0.6


class Driver:
    """Runs requests on one endpoint of an owner table."""

    def __init__(self, **values) -> None:
        self.table = make_endpoint_manager(warm_after=WARM_AFTER, **values)
        self.client = make_reservation_client(self.table)
        self.ledger = self.table.ledgers[ENGINE]

    async def run(self, first_token_s: float = 0.05, **outcome) -> None:
        """Runs one request to its end."""
        held = await self.begin()
        await asyncio.sleep(first_token_s)
        await self.client.note_prefilled(held)
        await self.client.release(held, **({"succeeded": True} | outcome))

    async def begin(self):
        """Begins one request."""
        held = await self.client.reserve(make_reserve_request())
        attempt = Attempt(request_id=held.id, number=1, member_id="me")
        self.client.begin_dispatch(held, attempt)
        return held

    async def succeed(self, count: int) -> None:
        """Runs requests that succeed."""
        for _ in range(count):
            await self.run()

    def load(self, **values) -> None:
        """Passes on a load report."""
        report = LoadReport(**({"boot_id": "b1"} | values))
        self.table.note_load(ENGINE, report, monotonic_s())

    def apply(self, number: int, *, out: bool) -> None:
        """Takes the zone out or brings it back."""
        spec = endpoint(warm_after=WARM_AFTER)
        ticket = Ticket(number=number, changes=changes(spec, zone_out=out))
        self.table.state.join_ticket(ticket)


class PhaseTest(unittest.TestCase):
    def after(self, scenario, **values) -> Driver:
        """Returns the driver once a scenario has run on a warm endpoint."""

        async def run():
            driver = Driver(**values)
            await driver.succeed(60)
            self.assertEqual(driver.ledger.phase, EndpointPhase.WARM)
            await scenario(driver)
            return driver

        return run_virtual(run)

    def assert_cold(self, driver: Driver) -> None:
        """Checks that only the cold bound is left."""
        self.assertEqual(driver.ledger.phase, EndpointPhase.COLD)
        spec = driver.ledger.spec
        self.assertEqual(driver.ledger.max_running, spec.cold_max_running)

    def test_bound_rises_by_successes_and_halves_on_trouble(self):
        async def scenario():
            driver = Driver()
            bounds = []
            for _ in range(WARM_AFTER - 1):
                await driver.run()
                bounds.append(driver.ledger.max_running)
            self.assertEqual(set(bounds), {2})
            await driver.succeed(8)
            risen = driver.ledger.max_running
            await driver.run(succeeded=False)
            return risen, driver.ledger.max_running

        risen, halved = run_virtual(scenario)
        self.assertGreater(risen, 8)
        self.assertEqual(halved, risen // 2)

    def test_turn_without_a_sign_in_the_cold_phase(self):
        async def scenario():
            driver = Driver()
            served = 0  # by the engine since it turned cold
            while served < WARM_AFTER:
                await driver.run(first_token_s=COLD_FIRST_TOKEN_S)
                served += 1
                if driver.ledger.warm_up.successes == TURN_AFTER:
                    served = 0
                self.assertEqual(driver.ledger.phase, EndpointPhase.COLD)
            await driver.run()
            self.assertEqual(driver.ledger.phase, EndpointPhase.WARMING)

        run_virtual(scenario)

    def test_endpoint_that_is_always_slow_is_not_cold_for_ever(self):
        async def scenario():
            driver = Driver()
            for _ in range(2 * WARM_AFTER):
                await driver.run(first_token_s=COLD_FIRST_TOKEN_S)
            self.assertEqual(driver.ledger.phase, EndpointPhase.WARMING)

        run_virtual(scenario)

    def test_new_start_is_cold(self):
        async def scenario(driver):
            driver.load(boot_id="b2")

        self.assert_cold(self.after(scenario))

    def test_dropped_connection_is_cold(self):
        async def scenario(driver):
            await driver.run(succeeded=False, endpoint_lost=True)

        driver = self.after(scenario)
        self.assert_cold(driver)
        lingering = list(driver.ledger.reservations)  # it may still run
        self.assertEqual(len(lingering), 1)
        generation = driver.ledger.warm_up.generation
        driver.table.release(
            ReleaseRequest(
                endpoint=ENGINE,
                reservation_id=lingering[0],
                used=True,
                endpoint_lost=True,
            )
        )
        self.assertEqual(driver.ledger.warm_up.generation, generation)

    def test_slow_first_tokens_are_cold(self):
        async def scenario(driver):
            for _ in range(3):
                await driver.run(first_token_s=5)

        self.assert_cold(self.after(scenario))

    def test_one_slow_first_token_is_not(self):
        async def scenario(driver):
            await driver.run(first_token_s=5)
            await driver.succeed(3)
            await driver.run(first_token_s=5)

        driver = self.after(scenario)
        self.assertEqual(driver.ledger.phase, EndpointPhase.WARM)

    def test_report_without_the_known_work_is_cold(self):
        async def scenario(driver):
            await driver.begin()
            for _ in range(8):
                await asyncio.sleep(1)
                driver.client.report_local_reservations()
                driver.load()

        self.assert_cold(self.after(scenario))

    def test_lagging_report_is_no_sign(self):
        async def scenario(driver):
            await driver.begin()
            driver.load()
            await asyncio.sleep(1)
            driver.client.report_local_reservations()
            driver.load()

        driver = self.after(scenario)
        self.assertEqual(driver.ledger.phase, EndpointPhase.WARM)

    def test_silent_endpoint_is_down_then_cold(self):
        async def scenario(driver):
            for _ in range(3):
                driver.table.note_unreachable(ENGINE)
            reply = await driver.table.reserve(make_reserve_request(), "me")
            self.assertEqual(reply.code, ResultCode.NO_ENDPOINT)
            driver.load()

        self.assert_cold(self.after(scenario))

    def test_zone_that_returns_is_cold(self):
        async def scenario(driver):
            held = await driver.begin()
            driver.apply(2, out=True)
            driver.apply(3, out=False)
            await driver.client.release(held, succeeded=True)

        driver = self.after(scenario)
        self.assert_cold(driver)
        self.assertEqual(driver.ledger.warm_up.successes, 0)

    def test_engine_says_that_it_is_leaving(self):
        async def scenario(driver):
            held = await driver.client.reserve(make_reserve_request())
            driver.load(leaving=True)
            reply = await driver.table.reserve(make_reserve_request(), "me")
            self.assertEqual(reply.code, ResultCode.NO_ENDPOINT)
            attempt = Attempt(request_id="r", number=1, member_id="me")
            with self.assertRaises(DispatchRefusedError):
                driver.client.begin_dispatch(held, attempt)

        self.after(scenario)

    def test_take_over_adopts_the_phase_of_the_same_start(self):
        async def scenario():
            table = make_endpoint_manager()
            phases = []
            for boot_id in ("b1", "b0"):
                table.ledgers.clear()
                hint = EndpointHint(
                    endpoint=ENGINE, phase=EndpointPhase.WARM, boot_id=boot_id
                )
                table.hints.update(hint)
                before = table.local_hint(ENGINE).phase
                table.note_load(ENGINE, LoadReport(boot_id="b1"), 0.0)
                ledger = table.ledgers[ENGINE]
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

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(st.sampled_from("slgbdup"), max_size=60))
    def test_cold_bound_in_any_order(self, events):
        async def scenario():
            driver = Driver()
            held = []
            for event in events:
                match event:
                    case "g":
                        held.append(
                            await driver.client.reserve(make_reserve_request())
                        )
                    case "s" | "l" if held:
                        one = held.pop()
                        if hasattr(one, "work"):
                            await driver.client.release(
                                one, succeeded=event == "s"
                            )
                    case "b":
                        driver.load(boot_id=f"b{len(held)}")
                    case "d":
                        driver.table.note_unreachable(ENGINE)
                    case "u":
                        driver.load()
                    case "p":
                        driver.table.note_paused()

        run_virtual(scenario)  # the invariant raises

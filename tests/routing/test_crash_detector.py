"""Tests of requests that crash engines, and of the retry budget."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.experiments.caller import stream_completion
from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    FleetOptions,
    open_fleet,
)
from auburnswitch.experiments.placement import warm_up
from auburnswitch.routing.retry_budget import RetryBudget
from auburnswitch.routing.strike_registry import StrikeRegistry
from auburnswitch.schema.peers import Heartbeat
from auburnswitch.schema.settings import RoutingSettings
from auburnswitch.standins.engine_job import CRASH_MARKER
from auburnswitch.standins.engine_options import EngineOptions
from auburnswitch.standins.history import HistoryKind
from tests.virtual_time import SimulatedConnector, run_virtual

AUTHORIZATION = {"Authorization": f"Bearer {CALLER_KEY}"}
OTHER_REQUESTS = 24
UNLOADED_LATENCY_S = 2.7  # 100 tokens at 25 ms and a prefill of 2,000 tokens


def make_options():
    return FleetOptions(
        engines=6,
        daemons=3,
        plain_services=0,
        engine=EngineOptions(starts_warm=True),
        endpoint={"warm_after": 2},
        connector=SimulatedConnector,
    )


async def send_completion(fleet, number, prompt, answer_tokens=16):
    body = {"model": MODEL, "prompt": prompt, "max_tokens": answer_tokens}
    url = fleet.caller_url(f"entry-{number % 3}")
    return await stream_completion(fleet.session, url, body, AUTHORIZATION)


def crash_records(fleet):
    return [
        record
        for record in fleet.history.records
        if record.kind == HistoryKind.CRASHED
    ]


class CrashingRequestTest(unittest.TestCase):
    def run_beside_other_requests(self, crash):
        async def scenario():
            async with open_fleet(make_options()) as fleet:
                await warm_up(fleet)
                others = [
                    asyncio.create_task(
                        send_completion(
                            fleet, n, f"{n} ".ljust(8_000, "."), 200
                        )
                    )
                    for n in range(OTHER_REQUESTS)
                ]
                await asyncio.sleep(0.5)
                outcomes = await crash(fleet)
                finished = await asyncio.gather(*others)
                return (
                    [o.result for o in outcomes],
                    [o.result for o in finished],
                    [record.fields["cause"] for record in crash_records(fleet)],
                )

        return run_virtual(scenario)

    def test_crashing_request_sent_repeatedly_is_refused(self):
        async def crash(fleet):
            prompt = f"{CRASH_MARKER} ".ljust(8_000, ".")
            return [await send_completion(fleet, n, prompt) for n in range(6)]

        results, others, causes = self.run_beside_other_requests(crash)
        self.assertEqual(results, ["crashing_request"] * 6)
        self.assertEqual(others, ["ok"] * OTHER_REQUESTS)
        self.assertEqual(causes, ["prompt"] * 2)

    def test_copies_sent_to_other_daemons_during_a_retry_are_refused(self):
        async def crash(fleet):
            prompt = f"{CRASH_MARKER} ".ljust(80_000, ".")  # 1 s of prefill
            first = asyncio.create_task(send_completion(fleet, 0, prompt))
            while not crash_records(fleet):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)
            copies = [send_completion(fleet, n, prompt) for n in range(3)]
            return [await first, *await asyncio.gather(*copies)]

        results, others, causes = self.run_beside_other_requests(crash)
        self.assertEqual(results, ["crashing_request"] * 4)
        self.assertEqual(others, ["ok"] * OTHER_REQUESTS)
        self.assertEqual(causes, ["prompt"] * 2)

    def test_request_of_many_callers_keeps_running_after_a_crash(self):
        async def scenario():
            async with open_fleet(make_options()) as fleet:
                await warm_up(fleet)
                prompt = "free slots today? ".ljust(8_000, ".")
                first_calls = [
                    asyncio.create_task(send_completion(fleet, n, prompt, 100))
                    for n in range(OTHER_REQUESTS)
                ]
                await asyncio.sleep(1)
                next(
                    e for e in fleet.engines.values() if e.batch.jobs()
                ).crash()
                before = await asyncio.gather(*first_calls)
                repeated_calls = [
                    send_completion(fleet, n, prompt, 100)
                    for n in range(OTHER_REQUESTS)
                ]
                after = await asyncio.gather(*repeated_calls)
                return [
                    (
                        {o.result for o in outcomes},
                        max(o.total_s for o in outcomes),
                    )
                    for outcomes in (before, after)
                ]

        (_, _), (results, slowest_s) = run_virtual(scenario)
        self.assertEqual(results, {"ok"})
        self.assertLess(slowest_s, 2 * UNLOADED_LATENCY_S)


class StrikeRegistryTest(unittest.TestCase):
    def test_one_crash_gives_one_strike_and_strikes_expire(self):
        async def scenario():
            registry = StrikeRegistry(retention_s=10)
            added = [registry.add("f", "e", "boot-1") for _ in range(2)]
            await asyncio.sleep(6)
            registry.add("f", "e", "boot-2")
            counts = [registry.count("f"), registry.is_refused("f")]
            await asyncio.sleep(5)
            counts += [registry.count("f"), registry.is_refused("f")]
            return added, counts

        added, counts = run_virtual(scenario)
        self.assertEqual(added, [True, False])
        self.assertEqual(counts, [2, True, 1, False])

    def test_heartbeat_carries_the_age_of_a_strike(self):
        async def scenario():
            reporter, receiver = (
                StrikeRegistry(retention_s=10) for _ in range(2)
            )
            reporter.add("f", "e", "boot-1")
            await asyncio.sleep(8)
            heartbeat = Heartbeat()
            reporter.fill_heartbeat(heartbeat, "peer")
            receiver.on_heartbeat(heartbeat)
            before = receiver.count("f")
            await asyncio.sleep(3)
            return before, receiver.count("f")

        self.assertEqual(run_virtual(scenario), (1, 0))

    def test_completed_request_is_cleared_at_all_daemons(self):
        async def scenario():
            first, second = (StrikeRegistry(retention_s=60) for _ in range(2))
            first.add("f", "engine-0", "boot-1")
            for cleared in (False, True):
                if cleared:
                    first.clear("f")
                heartbeat = Heartbeat()
                first.fill_heartbeat(heartbeat, "peer")
                second.on_heartbeat(heartbeat)
                has_strikes = (first.has_strikes("f"), second.has_strikes("f"))
                self.assertEqual(has_strikes, (not cleared, not cleared))
            second.add("f", "engine-0", "boot-1")  # reported again
            self.assertFalse(second.has_strikes("f"))
            second.add("f", "engine-0", "boot-2")
            self.assertTrue(second.has_strikes("f"))
            await asyncio.sleep(61)
            return [registry.count("f") for registry in (first, second)]

        self.assertEqual(run_virtual(scenario), [0, 0])


class RetryBudgetTest(unittest.TestCase):
    def test_floor_and_share(self):
        async def scenario():
            budget = RetryBudget(settings=RoutingSettings())
            floor = sum(budget.try_acquire() for _ in range(100))
            for _ in range(55):
                budget.record_admission()
            share = sum(budget.try_acquire() for _ in range(100))
            await asyncio.sleep(30)
            return floor, share, sum(budget.try_acquire() for _ in range(100))

        self.assertEqual(run_virtual(scenario), (10, 5, 5))

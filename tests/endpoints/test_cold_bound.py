"""Tests of the fleet-wide load limit of cold engines, in virtual time."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.experiments.freezable_loop import FreezableLoop
from auburnswitch.standins.engine_options import EngineOptions
from tests.endpoints.fleet_harness import FleetHarness, number_of, open_harness
from tests.virtual_time import run_virtual

MAX_COLD_RUNNING = 2
MAX_COLD_TOKENS = 20_000
ENGINE = "engine-0"
REQUESTS_PER_S = 1.5  # about the capacity of the cold engines
NEVER_WARM_AFTER = 100_000  # successes, more than any test reaches
ANSWER_TOKENS = 100  # 2.5 s at the engine's decode step
TAKEOVER_WAIT_S = 20  # roster removal, lease wait, listing of work


def cold_fleet_options() -> dict:
    """Returns the options of a fleet whose engines stay cold."""
    return {
        "daemons": 5,
        "engines": 2,
        "engine": EngineOptions(warm_after=NEVER_WARM_AFTER),
        "endpoint": {"warm_after": NEVER_WARM_AFTER},
    }


class ColdBoundTest(unittest.TestCase):
    def check(self, harness: FleetHarness) -> None:
        """Checks that the limit was reached and never exceeded."""
        self.assertEqual(harness.crashed_engines(), [])
        self.assertEqual(
            harness.load_recorders[ENGINE].running, MAX_COLD_RUNNING
        )
        self.assertLessEqual(
            harness.load_recorders[ENGINE].tokens, MAX_COLD_TOKENS
        )
        self.assertGreater(harness.statuses.count(200), 0)

    def run_cold(self, scenario) -> None:
        """Runs a scenario on cold engines under load and checks their limit."""

        async def run():
            async with open_harness(**cold_fleet_options()) as harness:
                await harness.load(10, REQUESTS_PER_S, answer=ANSWER_TOKENS)
                await scenario(harness)
                served = harness.statuses.count(200)
                await harness.load(10, REQUESTS_PER_S, answer=ANSWER_TOKENS)
                await harness.finish()
                self.assertGreater(harness.statuses.count(200), served)
                self.check(harness)

        run_virtual(run, FreezableLoop)

    def test_steady_load(self):
        async def scenario(harness):
            await harness.load(10, REQUESTS_PER_S, answer=ANSWER_TOKENS)

        self.run_cold(scenario)

    def test_prompts_that_only_fit_one_at_a_time(self):
        async def scenario(harness):
            await harness.finish()  # short prompts would take precedence
            await harness.load(
                10, 1, tokens=MAX_COLD_TOKENS * 6 // 10, answer=ANSWER_TOKENS
            )

        self.run_cold(scenario)

    def test_owner_is_killed(self):
        async def scenario(harness):
            owner = harness.owner_of(ENGINE)
            harness.fleet.kill_daemon(number_of(owner))
            await harness.load(
                TAKEOVER_WAIT_S, REQUESTS_PER_S, answer=ANSWER_TOKENS
            )

        self.run_cold(scenario)

    def test_frozen_owner_resumes_during_a_take_over(self):
        async def scenario(harness):
            owner = harness.owner_of(ENGINE)
            for pause_s in (2.5, 6, 14):
                for _ in range(4):
                    harness.send(owner, answer=ANSWER_TOKENS)
                harness.fleet.freeze_daemon(number_of(owner))
                await harness.load(
                    pause_s, REQUESTS_PER_S, answer=ANSWER_TOKENS
                )
                harness.fleet.thaw_daemon(number_of(owner))
                await harness.load(5, REQUESTS_PER_S, answer=ANSWER_TOKENS)

        self.run_cold(scenario)

    def test_owner_is_partitioned_from_all_daemons(self):
        async def scenario(harness):
            owner = harness.owner_of(ENGINE)
            for partition_s in (4, 16):
                harness.partition(owner)
                for _ in range(partition_s):
                    harness.send(owner, answer=ANSWER_TOKENS)
                    await harness.load(1, 1, answer=ANSWER_TOKENS)
                harness.heal(owner)
                await harness.load(5, REQUESTS_PER_S, answer=ANSWER_TOKENS)

        self.run_cold(scenario)

    def test_owner_stops_gracefully(self):
        async def scenario(harness):
            owner = harness.owner_of(ENGINE)
            load = asyncio.create_task(
                harness.load(8, REQUESTS_PER_S, answer=ANSWER_TOKENS)
            )
            await harness.fleet.stop_daemon(number_of(owner))
            await load

        self.run_cold(scenario)

"""Tests of the cold bound over all daemons, in virtual time."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.experiments.freezable_loop import FreezableLoop
from auburnswitch.standins.engine_options import EngineOptions
from tests.endpoints.fleet_harness import FleetHarness, number_of, open_harness
from tests.virtual_time import run_virtual

BOUND = 2
TOKEN_BOUND = 20_000
ENGINE = "engine-0"
RATE = 1.5  # requests per second, about what the cold engines can do
NEVER_WARM = 100_000
ANSWER_TOKENS = 100  # 2.5 s at the engine's decode step
TAKE_OVER_S = 20  # removal from the roster, strict wait, survey


def stay_cold() -> dict:
    """Returns options of a fleet whose engines stay cold."""
    return {
        "daemons": 5,
        "engines": 2,
        "engine": EngineOptions(warm_after=NEVER_WARM),
        "endpoint": {"warm_after": NEVER_WARM},
    }


class ColdBoundTest(unittest.TestCase):
    def check(self, bench: FleetHarness) -> None:
        """Checks that the bound was reached and never passed."""
        self.assertEqual(bench.crashes(), [])
        self.assertEqual(bench.watches[ENGINE].running, BOUND)
        self.assertLessEqual(bench.watches[ENGINE].tokens, TOKEN_BOUND)
        self.assertGreater(bench.statuses.count(200), 0)

    def run_cold(self, scenario) -> None:
        """Runs a scenario on a fleet with cold engines under load."""

        async def run():
            async with open_harness(**stay_cold()) as bench:
                await bench.load(10, RATE, answer=ANSWER_TOKENS)
                await scenario(bench)
                served = bench.statuses.count(200)
                await bench.load(10, RATE, answer=ANSWER_TOKENS)
                await bench.finish()
                self.assertGreater(bench.statuses.count(200), served)
                self.check(bench)

        run_virtual(run, FreezableLoop)

    def test_steady_load(self):
        async def scenario(bench):
            await bench.load(10, RATE, answer=ANSWER_TOKENS)

        self.run_cold(scenario)

    def test_prompts_that_fit_one_at_a_time(self):
        async def scenario(bench):
            await bench.finish()  # short ones would go first
            await bench.load(
                10, 1, tokens=TOKEN_BOUND * 6 // 10, answer=ANSWER_TOKENS
            )

        self.run_cold(scenario)

    def test_owner_is_killed(self):
        async def scenario(bench):
            owner = bench.owner_of(ENGINE)
            bench.fleet.kill_daemon(number_of(owner))
            await bench.load(TAKE_OVER_S, RATE, answer=ANSWER_TOKENS)

        self.run_cold(scenario)

    def test_paused_owner_thaws_in_a_take_over(self):
        async def scenario(bench):
            owner = bench.owner_of(ENGINE)
            for pause_s in (2.5, 6, 14):
                for _ in range(4):
                    bench.send(owner, answer=ANSWER_TOKENS)
                bench.fleet.freeze_daemon(number_of(owner))
                await bench.load(pause_s, RATE, answer=ANSWER_TOKENS)
                bench.fleet.thaw_daemon(number_of(owner))
                await bench.load(5, RATE, answer=ANSWER_TOKENS)

        self.run_cold(scenario)

    def test_owner_is_cut_off_from_all_daemons(self):
        async def scenario(bench):
            owner = bench.owner_of(ENGINE)
            for cut_s in (4, 16):
                bench.cut(owner)
                for _ in range(cut_s):
                    bench.send(owner, answer=ANSWER_TOKENS)
                    await bench.load(1, 1, answer=ANSWER_TOKENS)
                bench.heal(owner)
                await bench.load(5, RATE, answer=ANSWER_TOKENS)

        self.run_cold(scenario)

    def test_owner_stops_in_order(self):
        async def scenario(bench):
            owner = bench.owner_of(ENGINE)
            load = asyncio.create_task(
                bench.load(8, RATE, answer=ANSWER_TOKENS)
            )
            await bench.fleet.stop_daemon(number_of(owner))
            await load

        self.run_cold(scenario)

"""Tests of warm engines that turn cold under load, in virtual time."""

from __future__ import annotations

import unittest

from auburnswitch.experiments.freezable_loop import FreezableLoop
from tests.endpoints.fleet_harness import FleetHarness, open_harness
from tests.virtual_time import run_virtual

BOUND = 2
ENGINE = "engine-0"


class ColdTurnTest(unittest.TestCase):
    def run_turn(self, turn) -> FleetHarness:
        """Turns a warm engine cold under load until it is warm again."""

        async def run():
            async with open_harness(daemons=5, engines=3) as bench:
                await bench.warm_up()
                await bench.load(3, 10)
                turn(bench.fleet.engines[ENGINE])
                await bench.load(5, 10)
                restarted = bench.watches[ENGINE]
                restarted.running = restarted.tokens = 0
                await bench.load(25, 10)
                await bench.finish()
                self.assertEqual(bench.phase(ENGINE), "WARM")
                self.assertEqual(set(bench.statuses), {200})
                self.assertLessEqual(restarted.running, BOUND)
                return bench

        return run_virtual(run, FreezableLoop)

    def test_restart(self):
        bench = self.run_turn(lambda engine: engine.crash())
        self.assertEqual(bench.crashes(), [])

    def test_unannounced(self):
        bench = self.run_turn(lambda engine: engine.turn_cold())
        # Nothing shows the turn before the engine has fallen over once.
        self.assertLessEqual(len(bench.crashes()), 1)

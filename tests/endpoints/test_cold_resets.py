"""Tests of warm engines that become cold under load, in virtual time."""

from __future__ import annotations

import unittest

from auburnswitch.experiments.freezable_loop import FreezableLoop
from tests.endpoints.fleet_harness import FleetHarness, open_harness
from tests.virtual_time import run_virtual

MAX_COLD_RUNNING = 2
ENGINE = "engine-0"


class ColdResetTest(unittest.TestCase):
    def run_reset(self, reset) -> FleetHarness:
        """Resets a warm engine to cold under load until it is warm again."""

        async def run():
            async with open_harness(daemons=5, engines=3) as harness:
                await harness.warm_up()
                await harness.load(3, 10)
                reset(harness.fleet.engines[ENGINE])
                await harness.load(5, 10)
                recorder = harness.load_recorders[ENGINE]
                recorder.running = recorder.tokens = 0
                await harness.load(25, 10)
                await harness.finish()
                self.assertEqual(harness.phase(ENGINE), "WARM")
                self.assertEqual(set(harness.statuses), {200})
                self.assertLessEqual(recorder.running, MAX_COLD_RUNNING)
                return harness

        return run_virtual(run, FreezableLoop)

    def test_restart(self):
        harness = self.run_reset(lambda engine: engine.crash())
        self.assertEqual(harness.crashed_engines(), [])

    def test_reset_without_a_new_boot_id(self):
        harness = self.run_reset(lambda engine: engine.turn_cold())
        # The reset can't be detected before the engine has crashed once.
        self.assertLessEqual(len(harness.crashed_engines()), 1)

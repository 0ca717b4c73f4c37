"""Tests of a whole fleet in virtual time."""

from __future__ import annotations

import unittest

from auburnswitch.experiments.demo import run_demo
from auburnswitch.experiments.fleet import FleetOptions, open_fleet
from tests.virtual_time import SimulatedConnector, run_virtual


class FleetTest(unittest.TestCase):
    def test_nine_daemons_have_the_same_roster(self):
        async def scenario():
            options = FleetOptions(
                engines=20, daemons=9, connector=SimulatedConnector
            )
            async with open_fleet(options) as fleet:
                rosters = [d.view.roster_ids() for d in fleet.daemons.values()]
                return [len(ids) for ids in rosters]

        self.assertEqual(run_virtual(scenario), [9] * 9)

    def test_demo(self):
        lines: list[str] = []

        async def scenario():
            await run_demo(lines.append, connector=SimulatedConnector)

        run_virtual(scenario)
        self.assertIn("the booking service ran 1 booking", lines)
        self.assertEqual(lines[-1], "Done")

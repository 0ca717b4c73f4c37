"""Tests of isolation, with cuts in virtual time."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from auburnswitch.schema.results import ResultCode
from tests.members.partitionable_fleet import open_partitionable_fleet
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from auburnswitch.experiments.fleet import Fleet

LIMIT_S = 3.0
MARGIN_S = 0.5  # one heartbeat
NAMES = [f"entry-{number}" for number in range(5)]


def refusing(fleet: Fleet) -> set[str]:
    """Returns the daemons that refuse new work, all as isolated."""
    refusals = {n: d.get_admission_refusal() for n, d in fleet.daemons.items()}
    refused = {n: r for n, r in refusals.items() if r is not None}
    assert all(r.code == ResultCode.ISOLATED for r in refused.values())
    return set(refused)


class IsolationTest(unittest.TestCase):
    def after(
        self, *, peers: list[str], platform: list[str], daemons: int = 5
    ) -> set[str]:
        """Returns who refuses at the bound, for long after, and then none."""

        async def scenario():
            async with open_partitionable_fleet(daemons) as (fleet, network):
                await asyncio.sleep(10)
                names = NAMES[:daemons]
                network.cut(peers, set(names) - set(peers))
                network.cut_platform(platform)
                await asyncio.sleep(LIMIT_S + MARGIN_S)
                refused = refusing(fleet)
                for _ in range(120):
                    await asyncio.sleep(0.25)
                    self.assertEqual(refusing(fleet), refused)
                network.heal()
                await asyncio.sleep(LIMIT_S + MARGIN_S)
                self.assertEqual(refusing(fleet), set())
                return refused

        return run_virtual(scenario)

    def test_daemon_without_peers_goes_on_with_the_store(self):
        self.assertEqual(self.after(peers=NAMES[:1], platform=[]), set())

    def test_daemon_without_store_goes_on_with_a_majority(self):
        self.assertEqual(self.after(peers=[], platform=NAMES[:1]), set())

    def test_daemon_without_both_refuses(self):
        refused = self.after(peers=NAMES[:1], platform=NAMES[:1])
        self.assertEqual(refused, set(NAMES[:1]))

    def test_minority_without_store_refuses(self):
        refused = self.after(peers=NAMES[:2], platform=NAMES[:2])
        self.assertEqual(refused, set(NAMES[:2]))

    def test_minority_with_one_fresh_reader_goes_on(self):
        refused = self.after(peers=NAMES[:2], platform=NAMES[1:2])
        self.assertEqual(refused, set())

    def test_majority_goes_on_in_an_outage(self):
        refused = self.after(peers=NAMES[:2], platform=NAMES)
        self.assertEqual(refused, set(NAMES[:2]))

    def test_half_is_no_majority(self):
        refused = self.after(peers=NAMES[:2], platform=NAMES, daemons=4)
        self.assertEqual(refused, set(NAMES[:4]))

    def test_single_daemon_reads_the_store(self):
        refused = self.after(peers=[], platform=[], daemons=1)
        self.assertEqual(refused, set())

"""Tests of isolation under network partitions, in virtual time."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from auburnswitch.schema.results import ResultCode
from tests.members.partitionable_fleet import open_partitionable_fleet
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from auburnswitch.experiments.fleet import Fleet

ISOLATION_LIMIT_S = 3.0
MARGIN_S = 0.5  # one heartbeat
NAMES = [f"entry-{number}" for number in range(5)]


def refusing_instances(fleet: Fleet) -> set[str]:
    """Returns the daemons that refuse new work.

    Asserts that isolation is the reason for every refusal.
    """
    refusals = {n: d.get_admission_refusal() for n, d in fleet.daemons.items()}
    refused = {n: r for n, r in refusals.items() if r is not None}
    assert all(r.code == ResultCode.ISOLATED for r in refused.values())
    return set(refused)


class IsolationTest(unittest.TestCase):
    def refusing_during_partition(
        self, *, peers: list[str], platform: list[str], daemons: int = 5
    ) -> set[str]:
        """Returns the daemons that refuse work during a partition.

        Checks that the same daemons refuse from the isolation limit on for 30
        seconds, and that none refuses after the partition has healed.

        Args:
            peers: Instances partitioned from the other daemons.
            platform: Instances partitioned from the platform.
            daemons: Number of daemons.
        """

        async def scenario():
            async with open_partitionable_fleet(daemons) as (fleet, network):
                await asyncio.sleep(10)
                names = NAMES[:daemons]
                network.partition(peers, set(names) - set(peers))
                network.partition_platform(platform)
                await asyncio.sleep(ISOLATION_LIMIT_S + MARGIN_S)
                refused = refusing_instances(fleet)
                for _ in range(120):
                    await asyncio.sleep(0.25)
                    self.assertEqual(refusing_instances(fleet), refused)
                network.heal()
                await asyncio.sleep(ISOLATION_LIMIT_S + MARGIN_S)
                self.assertEqual(refusing_instances(fleet), set())
                return refused

        return run_virtual(scenario)

    def test_daemon_without_peers_accepts_work_with_the_store(self):
        self.assertEqual(
            self.refusing_during_partition(peers=NAMES[:1], platform=[]), set()
        )

    def test_daemon_without_store_accepts_work_with_a_majority(self):
        self.assertEqual(
            self.refusing_during_partition(peers=[], platform=NAMES[:1]), set()
        )

    def test_daemon_without_both_refuses(self):
        refused = self.refusing_during_partition(
            peers=NAMES[:1], platform=NAMES[:1]
        )
        self.assertEqual(refused, set(NAMES[:1]))

    def test_minority_without_store_refuses(self):
        refused = self.refusing_during_partition(
            peers=NAMES[:2], platform=NAMES[:2]
        )
        self.assertEqual(refused, set(NAMES[:2]))

    def test_minority_with_one_store_reader_accepts_work(self):
        refused = self.refusing_during_partition(
            peers=NAMES[:2], platform=NAMES[1:2]
        )
        self.assertEqual(refused, set())

    def test_majority_accepts_work_in_an_outage(self):
        refused = self.refusing_during_partition(
            peers=NAMES[:2], platform=NAMES
        )
        self.assertEqual(refused, set(NAMES[:2]))

    def test_half_is_no_majority(self):
        refused = self.refusing_during_partition(
            peers=NAMES[:2], platform=NAMES, daemons=4
        )
        self.assertEqual(refused, set(NAMES[:4]))

    def test_single_daemon_reads_the_store(self):
        refused = self.refusing_during_partition(
            peers=[], platform=[], daemons=1
        )
        self.assertEqual(refused, set())

"""Tests of the live peers and of the election of store readers."""

from __future__ import annotations

import unittest
from unittest import mock

from auburnswitch.members import gossip_peer, peer_table, store_readers
from auburnswitch.members.peer_table import PeerTable
from auburnswitch.members.store_readers import (
    PEER_DISCOVERY_S,
    StoreReaderElection,
)
from auburnswitch.schema.entry import StoreSettings
from auburnswitch.schema.gossip import DaemonRecord, Gossip

INTERVAL_S = 1.0
LIVE_S = gossip_peer.LIVENESS_TIMEOUT_HEARTBEATS * INTERVAL_S


class ManualClock:
    """Replaces the loop's time in the modules under test."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic_s(self) -> float:
        return self.now


class PeerTableTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        for module in (gossip_peer, peer_table, store_readers):
            patch = mock.patch.object(
                module, "monotonic_s", self.clock.monotonic_s
            )
            patch.start()
            self.addCleanup(patch.stop)
        self.table = PeerTable(cell_of=lambda _: 0)
        self.sequence = 0

    def hear(self, name, *, interval_s=INTERVAL_S, **fields):
        self.sequence += 1
        peer = self.table.add(DaemonRecord(instance=name))
        message = Gossip(
            sender=name, incarnation=1, sequence=self.sequence, **fields
        )
        self.table.record_message(peer, message, interval_s)

    def live_names(self):
        return {peer.record.instance for peer in self.table.live_peers()}


class LivePeersTest(PeerTableTestCase):
    def test_a_silent_peer_is_dropped_at_its_timeout(self):
        self.hear("a")
        self.clock.now += 1
        self.hear("b")
        self.clock.now += LIVE_S - 1 - 0.01
        self.assertEqual(self.live_names(), {"a", "b"})
        self.clock.now += 0.02
        self.assertEqual(self.live_names(), {"b"})
        self.clock.now += 1
        self.assertEqual(self.live_names(), set())
        self.hear("a")
        self.assertEqual(self.live_names(), {"a"})

    def test_a_shorter_interval_shortens_the_timeout(self):
        self.hear("a", interval_s=10 * INTERVAL_S)
        self.assertEqual(self.live_names(), {"a"})
        self.hear("a")
        self.clock.now += LIVE_S + 0.01
        self.assertEqual(self.live_names(), set())

    def test_stopping_and_removed_peers_are_not_live(self):
        for name in "abc":
            self.hear(name)
        self.assertEqual(self.live_names(), {"a", "b", "c"})
        self.hear("b", stopping=True)
        self.assertEqual(self.live_names(), {"a", "c"})
        self.clock.now += 1
        self.hear("c")
        self.assertEqual(self.table.remove_silent(0.5), ["a", "b"])
        self.assertEqual(self.live_names(), {"c"})

    def test_list_is_rebuilt_only_when_it_changes(self):
        for name in "abc":
            self.hear(name)
        before = self.table.live_peers()
        for _ in range(50):
            self.clock.now += 0.5
            for name in "abc":
                self.hear(name)
            self.assertIs(self.table.live_peers(), before)
        self.table.add(DaemonRecord(instance="a", link_mbps=5))
        self.assertIsNot(self.table.live_peers(), before)


class StoreReaderElectionTest(PeerTableTestCase):
    def setUp(self):
        super().setUp()
        self.joined = True
        self.settings = StoreSettings(
            readers=2, probe_interval_s=2, peer_read_max_age_s=1
        )

    def new_election(self, name):
        return StoreReaderElection(
            settings=self.settings,
            local_record=DaemonRecord(instance=name),
            peers=self.table,
            has_joined=lambda: self.joined,
        )

    def elected_among(self, names, *, silent=()):
        """Returns which daemons see themselves as readers of the fleet."""
        elected = set()
        for name in names:
            self.table.clear()
            election = self.new_election(name)
            self.clock.now += PEER_DISCOVERY_S
            for other in names:
                if other not in (name, *silent):
                    self.hear(other, store_read_age_ms=0)
            election.check()
            if election.is_reader:
                elected.add(name)
        return elected - set(silent)

    def test_all_daemons_agree_on_the_readers(self):
        names = [f"daemon-{n}" for n in range(12)]
        readers = self.elected_among(names)
        self.assertEqual(len(readers), 2)
        lost = min(readers)
        replaced = self.elected_among(names, silent=[lost])
        self.assertEqual(len(replaced), 2)
        self.assertNotIn(lost, replaced)

    def test_daemon_reads_when_the_reads_of_its_peers_are_old(self):
        names = [f"daemon-{n}" for n in range(12)]
        readers = self.elected_among(names)
        name = next(n for n in names if n not in readers)
        self.table.clear()
        election = self.new_election(name)
        self.clock.now += PEER_DISCOVERY_S
        for other in set(names) - {name}:
            self.hear(other, interval_s=100, store_read_age_ms=0)
        election.check()
        self.assertFalse(election.reading.is_set())
        self.clock.now += 3.1
        election.check()
        self.assertTrue(election.reading.is_set())
        self.hear(min(readers), interval_s=100, store_read_age_ms=500)
        election.check()
        self.assertFalse(election.reading.is_set())

    def test_a_daemon_that_cannot_join_reads_by_itself(self):
        self.joined = False
        election = self.new_election("alone")
        election.check()
        self.assertFalse(election.is_reader)
        self.clock.now += PEER_DISCOVERY_S
        election.check()
        self.assertTrue(election.is_reader)


if __name__ == "__main__":
    unittest.main()

"""Tests of which messages of a peer are newer than the last one."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.members.gossip_peer import (
    LIVENESS_TIMEOUT_HEARTBEATS,
    GossipPeer,
)
from auburnswitch.schema.gossip import DaemonRecord, Gossip
from tests.virtual_time import in_virtual_loop

INTERVAL_S = 0.5
SILENT_S = LIVENESS_TIMEOUT_HEARTBEATS * INTERVAL_S


class GossipPeerTest(unittest.TestCase):
    def receive(self, incarnation: int, sequence: int) -> bool:
        message = Gossip(sender="a", incarnation=incarnation, sequence=sequence)
        is_newer = self.peer.is_newer(message)
        if is_newer:
            self.peer.record_message(message, INTERVAL_S)
        return is_newer

    @in_virtual_loop
    async def test_late_messages_of_the_process_before_are_ignored(self):
        self.peer = GossipPeer(record=DaemonRecord(instance="a"))
        self.assertTrue(self.receive(5, 1))
        self.assertTrue(self.receive(9, 1))
        self.assertFalse(self.receive(5, 2))
        self.assertFalse(self.receive(9, 1))
        await asyncio.sleep(SILENT_S / 2)
        self.assertFalse(self.receive(5, 3))

    # A daemon that restarted after its time of day had jumped back wasn't heard
    # by its peers for 90 s.
    @in_virtual_loop
    async def test_process_that_starts_at_an_earlier_time_of_day(self):
        self.peer = GossipPeer(record=DaemonRecord(instance="a"))
        self.assertTrue(self.receive(9, 7))
        await asyncio.sleep(SILENT_S + 0.1)
        self.assertTrue(self.receive(5, 1))
        self.assertTrue(self.receive(5, 2))
        self.assertFalse(self.receive(5, 2))

    # A late message of before changes nothing for long.
    @in_virtual_loop
    async def test_late_message_after_a_silence(self):
        self.peer = GossipPeer(record=DaemonRecord(instance="a"))
        self.assertTrue(self.receive(5, 1))
        self.assertTrue(self.receive(9, 1))
        await asyncio.sleep(SILENT_S + 0.1)
        self.receive(5, 2)
        self.assertTrue(self.receive(9, 2))


if __name__ == "__main__":
    unittest.main()

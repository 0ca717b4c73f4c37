"""Tests of datagrams between entry daemons, direct and through relays."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from auburnswitch.experiments.installation import wait_until
from auburnswitch.members import gossip
from auburnswitch.members.gossip import ALL_CELLS, GossipNode
from auburnswitch.members.relay_selector import RELAY_REFRESH_INTERVAL_S
from auburnswitch.members.signed_frames import encode_signed
from auburnswitch.schema.gossip import (
    DaemonRecord,
    Gossip,
    GossipFrame,
    WorkItem,
)
from auburnswitch.standins.ports import free_port

KEY = b"k" * 32


class RecordingNode:
    """A gossip node and the messages that it received."""

    def __init__(self, name: str, zone: str, port: int):
        self.received: list[tuple[str, Gossip]] = []
        self.gossip_node = GossipNode(
            local_record=DaemonRecord(
                instance=name, zone=zone, host="127.0.0.1", port=port
            ),
            incarnation=1,
            fill_state=lambda message: None,
            list_work=list,
            on_gossip=self._record,
            is_reader=lambda: False,
        )
        self.gossip_node.key = KEY
        self.sent = 0

    def _record(self, peer, message):
        self.received.append((peer.record.instance, message))

    def received_ended(self, sender: str) -> list[int]:
        return sorted(
            number
            for name, message in self.received
            if name == sender
            for number in message.ended
        )

    def received_items(self, sender: str) -> list[int]:
        return [
            item.id
            for name, message in self.received
            if name == sender
            for item in message.items
        ]


@contextlib.asynccontextmanager
async def open_nodes(zones: dict[str, int]):
    nodes = [
        RecordingNode(f"{zone}-{n}", zone, free_port())
        for zone, count in zones.items()
        for n in range(count)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            await stack.enter_async_context(node.gossip_node.open())
            for other in nodes:
                if other is not node:
                    node.gossip_node.peers.add(other.gossip_node.local_record)
        for node in nodes:
            # State is sent without relays, so all nodes become live.
            node.gossip_node.send_state()
        await wait_until(
            lambda: all(
                len(n.gossip_node.peers.live_peers()) == len(nodes) - 1
                for n in nodes
            )
        )
        yield nodes


def make_frame(sender: str, incarnation: int, sequence: int) -> bytes:
    message = Gossip(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        host="127.0.0.1",
        port=1,
        zone="a",
    )
    return encode_signed(KEY, GossipFrame(messages=[message]))


class GossipTest(unittest.IsolatedAsyncioTestCase):
    async def test_few_daemons_send_to_each_other(self):
        async with open_nodes({"a": 2, "b": 1}) as nodes:
            nodes[0].gossip_node.send_started_work([WorkItem(id=7)])
            await wait_until(
                lambda: all(n.received_items("a-0") == [7] for n in nodes[1:])
            )

    async def test_many_daemons_receive_through_one_relay_per_zone(self):
        zones = {"a": 8, "b": 8, "c": 4}
        async with open_nodes(zones) as nodes:
            await asyncio.sleep(RELAY_REFRESH_INTERVAL_S)
            sender = nodes[3].gossip_node
            datagram_count = _count_datagrams(sender)
            sender.send_started_work([WorkItem(id=7)])
            self.assertLessEqual(datagram_count(), len(zones))
            others = [n for n in nodes if n.gossip_node is not sender]
            await wait_until(
                lambda: all(
                    n.received_items(sender.local_record.instance)
                    for n in others
                )
            )
            await asyncio.sleep(0.1)
            for other in others:
                self.assertEqual(
                    other.received_items(sender.local_record.instance), [7]
                )

    async def test_zone_without_a_live_daemon_is_sent_to_directly(self):
        async with open_nodes({"a": 18, "b": 2}) as nodes:
            sender = nodes[0].gossip_node
            stopping = Gossip(incarnation=1, sequence=99, stopping=True)
            for peer in sender.peers.by_instance.values():
                if peer.record.zone == "b":  # no live peer, so no relay
                    sender.peers.record_message(peer, stopping, 1.0)
            sender.send_started_work([WorkItem(id=7)])
            await wait_until(
                lambda: all(n.received_items("a-0") == [7] for n in nodes[18:])
            )

    async def test_work_of_a_cell_is_sent_to_that_cell_only(self):
        async with open_nodes({"a": 4}) as nodes:
            _split_into_cells(nodes)
            sender, other_cell_peer, cell_peer, _ = nodes
            sender.gossip_node.send_started_work([WorkItem(id=7)], cell=0)
            sender.gossip_node.send_started_work(
                [WorkItem(id=8)], cell=ALL_CELLS
            )
            sender.gossip_node.schedule_ended_work([7], cell=0)
            sender.gossip_node.schedule_ended_work([8])
            await wait_until(lambda: cell_peer.received_ended("a-0") == [7, 8])
            await wait_until(
                lambda: other_cell_peer.received_ended("a-0") == [8]
            )
            self.assertEqual(cell_peer.received_items("a-0"), [7, 8])
            self.assertEqual(other_cell_peer.received_items("a-0"), [8])

    async def test_relays_forward_work_of_a_cell_to_that_cell_only(self):
        async with open_nodes({"a": 14, "b": 6}) as nodes:
            _split_into_cells(nodes)
            await asyncio.sleep(RELAY_REFRESH_INTERVAL_S)
            sender = nodes[2].gossip_node
            name = sender.local_record.instance
            datagram_count = _count_datagrams(sender)
            sender.send_started_work([WorkItem(id=7)], cell=1)
            sender.send_started_work([WorkItem(id=8)], cell=ALL_CELLS)
            self.assertLessEqual(datagram_count(), 4)
            others = [n for n in nodes if n.gossip_node is not sender]
            await wait_until(
                lambda: all(8 in n.received_items(name) for n in others)
            )
            for number, node in enumerate(nodes):
                if node.gossip_node is not sender:
                    expected = [7, 8] if number % 2 else [8]
                    self.assertEqual(node.received_items(name), expected)

    async def test_heartbeats_with_all_work_go_to_the_cell(self):
        async with open_nodes({"a": 4}) as nodes:
            _split_into_cells(nodes)
            sender, other_cell_peer, cell_peer, _ = nodes
            sender.gossip_node.list_work = lambda: [WorkItem(id=7)]
            running = asyncio.create_task(sender.gossip_node.run())
            await wait_until(
                lambda: cell_peer.received_items("a-0").count(7) >= 2
            )
            running.cancel()
            self.assertEqual(other_cell_peer.received_items("a-0"), [])
            heartbeats = [
                m for name, m in other_cell_peer.received if name == "a-0"
            ]
            self.assertGreaterEqual(
                len(heartbeats), 2
            )  # heartbeats without work still show that it is live
            self.assertFalse(any(m.complete for m in heartbeats))

    # Incident of 2026-12-04: timers and tasks sent on a closed socket.
    async def test_closed_node_has_sent_its_queue_and_sends_no_more(self):
        loop_errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: loop_errors.append(context)
        )
        async with open_nodes({"a": 18}) as nodes:
            await asyncio.sleep(RELAY_REFRESH_INTERVAL_S)
            relay = next(
                n.gossip_node for n in nodes if n.gossip_node._relays.is_relay()
            )
            name = relay.local_record.instance
            relay.local_record.port = free_port()
            async with relay.open():
                relay.schedule_ended_work([7])
            relay.schedule_ended_work([8])
            await asyncio.sleep(3 * gossip.MAX_RELAY_BATCH_DELAY_S)
            relay.send_state()
            self.assertEqual(loop_errors, [])
            others = [n for n in nodes if n.gossip_node is not relay]
            await wait_until(
                lambda: all(n.received_ended(name) == [7] for n in others)
            )

    async def test_old_and_repeated_datagrams_are_dropped(self):
        node = RecordingNode("me", "a", free_port())
        for incarnation, sequence in (
            (2, 5),
            (2, 5),
            (2, 4),
            (1, 9),
            (2, 6),
            (3, 1),
        ):
            node.gossip_node.datagram_received(
                make_frame("peer", incarnation, sequence), ("127.0.0.1", 1)
            )
        received = [(m.incarnation, m.sequence) for _, m in node.received]
        self.assertEqual(received, [(2, 5), (2, 6), (3, 1)])

    async def test_forged_datagram_changes_nothing(self):
        node = RecordingNode("me", "a", free_port())
        forged = bytearray(make_frame("peer", 1, 1))
        forged[-1] ^= 1
        node.gossip_node.datagram_received(bytes(forged), ("127.0.0.1", 1))
        node.gossip_node.datagram_received(b"", ("127.0.0.1", 1))
        self.assertEqual(node.received, [])
        self.assertEqual(node.gossip_node.peers.by_instance, {})

    def test_received_heartbeats_are_bounded(self):
        for peers in (8, 68, 410):
            interval_s = gossip.heartbeat_interval_s(peers)
            self.assertLessEqual(peers / interval_s, 40)


def _split_into_cells(nodes: list[RecordingNode]) -> None:
    """Assigns the nodes to two cells alternately."""
    names = [node.gossip_node.local_record.instance for node in nodes]
    cells = {name: number % 2 for number, name in enumerate(names)}
    for node in nodes:
        node.gossip_node.peers.cell_of = cells.__getitem__


def _count_datagrams(node: GossipNode):
    transport = node._transport
    sent = []

    class Counting:
        def sendto(self, data, address):
            sent.append(address)
            transport.sendto(data, address)

        def close(self):
            transport.close()

    node._transport = Counting()
    return lambda: len(sent)


if __name__ == "__main__":
    unittest.main()

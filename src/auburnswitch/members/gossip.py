"""Tells the other entry daemons by datagrams what this one has and knows."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.http_server import ListenError
from auburnswitch.members.gossip_peer import GossipPeer, heartbeat_interval_s
from auburnswitch.members.relay_selector import RelaySelector
from auburnswitch.members.signed_frames import (
    SignedFrameError,
    decode_signed,
    encode_signed,
)
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import (
    ConfigChanges,
    DaemonRecord,
    EndpointChanges,
    Gossip,
    GossipFrame,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from auburnswitch.schema.gossip import (
        EngineReport,
        WorkItem,
    )

ENDED_WORK_BATCH_DELAY_S: Final = 0.02
MAX_HEARTBEAT_ITEMS: Final = 400  # that fit into one datagram
MAX_DATAGRAM_BYTES: Final = 16_000
MAX_DIRECT_PEERS: Final = 16  # above which relays pass on
RELAY_BATCH_DELAY_S: Final = 0.01
CELL_PEERS_REFRESH_INTERVAL_S: Final = 0.25
MAX_RELAYED_MESSAGES_PER_FRAME: Final = 100


class GossipNode(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    Attributes:
        local_record: This daemon's record.
        incarnation: Start of this process, in milliseconds since the epoch.
        key: Key that all daemons share; empty before it is known.
        peers: The other daemons by instance.
        fill_state: Fills in what this daemon knows.
        list_work: Returns all work of this daemon.
        on_gossip: Called with each accepted datagram.
        is_reader: Whether peers rely on this daemon's news of the store.
        is_cell_peer: Tells of an instance whether its daemon is of the same
            cell.
        stopping: This daemon stops.
    """

    def __init__(
        self,
        *,
        local_record: DaemonRecord,
        incarnation: int,
        fill_state: Callable[[Gossip], None],
        list_work: Callable[[], list[WorkItem]],
        on_gossip: Callable[[GossipPeer, Gossip], None],
        is_reader: Callable[[], bool],
        is_cell_peer: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self.is_reader = is_reader
        self.is_cell_peer = is_cell_peer
        self.local_record = local_record
        self.incarnation = incarnation
        self.key = b""
        self.peers: dict[str, GossipPeer] = {}
        self.fill_state = fill_state
        self.list_work = list_work
        self.on_gossip = on_gossip
        self.stopping = False
        self._sequence = 0
        self._ended: dict[bool, list[int]] = {True: [], False: []}
        self._near: list[GossipPeer] = []
        self._near_found_at = -CELL_PEERS_REFRESH_INTERVAL_S
        self._flush: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._relays = RelaySelector(
            local_record=local_record, live_peers=self.live_peers
        )
        self._relayed: list[Gossip] = []

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Listens until the context ends.

        Raises:
            ListenError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        address = (self.local_record.host, self.local_record.port)
        try:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=address
            )
        except OSError as error:
            raise ListenError(f"cannot listen on {address}") from error
        try:
            yield
        finally:
            transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Ignores that a peer's port is closed: its silence shows the same."""

    def add_peer(self, record: DaemonRecord) -> GossipPeer:
        """Adds a daemon, or notes its new address."""
        peer = self.peers.get(record.instance)
        if peer is None:
            peer = self.peers[record.instance] = GossipPeer(record=record)
            self._near_found_at = -CELL_PEERS_REFRESH_INTERVAL_S
        peer.record = record
        return peer

    def remove_silent_peers(self, silence_s: float) -> list[str]:
        """Forgets daemons that were not heard of for a time.

        Returns:
            Their instances.
        """
        since = monotonic_s() - silence_s
        gone = [
            name
            for name, peer in self.peers.items()
            if max(peer.heard_at or 0.0, peer.added_at) < since
        ]
        for name in gone:
            del self.peers[name]
        return gone

    def live_peers(self) -> list[GossipPeer]:
        """Returns the peers that were heard of lately."""
        return [peer for peer in self.peers.values() if peer.is_live]

    def cell_peers(self) -> list[GossipPeer]:
        """Returns the peers of this daemon's cell."""
        now = monotonic_s()
        if now >= self._near_found_at + CELL_PEERS_REFRESH_INTERVAL_S:
            self._near_found_at = now
            self._near = [
                peer
                for name, peer in self.peers.items()
                if self.is_cell_peer(name)
            ]
        return self._near

    def send_started_work(
        self, items: list[WorkItem], *, to_all_cells: bool = True
    ) -> None:
        """Tells peers of work that starts.

        Args:
            items: The work.
            to_all_cells: All peers are told, not just those of the cell.
        """
        ended = self._ended[to_all_cells]
        self._ended[to_all_cells] = []
        message = self._message(items=items, ended=ended)
        if to_all_cells:
            self._send(message)
        else:
            self._send_near(message)

    def schedule_ended_work(
        self, numbers: list[int], *, to_all_cells: bool = True
    ) -> None:
        """Tells peers soon of work that has ended."""
        self._ended[to_all_cells] += numbers
        if self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(
                ENDED_WORK_BATCH_DELAY_S, self._flush_ended
            )

    def send_state(
        self, changes: EndpointChanges | ConfigChanges | None = None
    ) -> None:
        """Tells all peers what this daemon knows, and what has changed."""
        message = self._message(items=[], ended=[])
        match changes:
            case EndpointChanges():
                message.changes = changes
            case ConfigChanges():
                message.config_changes = changes
        self._send_to(self.peers.values(), [message])

    def send_engine_reports(self, reports: list[EngineReport]) -> None:
        """Tells all peers what engines reported."""
        message = self._message(items=[], ended=[])
        message.reports = reports
        self._send(message)

    def _flush_ended(self) -> None:
        self._flush = None
        for to_all_cells in (True, False):
            if self._ended[to_all_cells]:
                self.send_started_work([], to_all_cells=to_all_cells)

    async def run(self) -> None:
        """Sends heartbeats, to peers of other cells less often."""
        next_far_at = 0.0
        while True:
            message = self._heartbeat()
            far_s = heartbeat_interval_s(
                len(self.peers), leading=message.leading
            )
            near = self.cell_peers()
            if len(near) >= len(self.peers):
                self._send(message)
                await asyncio.sleep(far_s)
                continue
            self._send_near(message)
            if monotonic_s() >= next_far_at:
                next_far_at = monotonic_s() + far_s
                self._send(self._message(items=[], ended=[]))
            await asyncio.sleep(
                heartbeat_interval_s(len(near), leading=message.leading)
            )

    def _heartbeat(self) -> Gossip:
        items = self.list_work()[:MAX_HEARTBEAT_ITEMS]
        message = self._message(items=items, ended=[])
        message.complete = True
        return message

    def _message(self, *, items: list[WorkItem], ended: list[int]) -> Gossip:
        self._sequence += 1
        message = Gossip(
            sender=self.local_record.instance,
            incarnation=self.incarnation,
            sequence=self._sequence,
            host=self.local_record.host,
            port=self.local_record.port,
            zone=self.local_record.zone,
            link_mbps=self.local_record.link_mbps,
            stopping=self.stopping,
            items=items,
            ended=ended,
        )
        message.leading = self.is_reader() or self._relays.is_relay()
        self.fill_state(message)
        return message

    def _send_near(self, message: Gossip) -> None:
        near = self.cell_peers()
        if len(near) >= len(self.peers):
            self._send(message)
        else:
            self._send_to(near, [message])

    def _send(self, message: Gossip) -> None:
        """Sends to all peers, by one relay in each zone if they are many."""
        if len(self.peers) <= MAX_DIRECT_PEERS:
            self._send_to(self.peers.values(), [message])
            return
        message.relayed = True
        for zone, members in self._by_zone().items():
            relay = self._relays.relay_for(zone)
            if relay == self.local_record.instance:
                self._relay(message)
            elif relay in self.peers:
                self._send_to([self.peers[relay]], [message], relay=True)
            else:
                self._send_to(members, [message])

    def _by_zone(self) -> dict[str, list[GossipPeer]]:
        zones: dict[str, list[GossipPeer]] = {self.local_record.zone: []}
        for peer in self.peers.values():
            zones.setdefault(peer.record.zone, []).append(peer)
        return zones

    def _relay(self, message: Gossip) -> None:
        """Passes a message on to this zone, together with others."""
        if not self._relayed:
            loop = asyncio.get_running_loop()
            loop.call_later(RELAY_BATCH_DELAY_S, self._flush_relayed)
        self._relayed.append(message)

    def _flush_relayed(self) -> None:
        messages, self._relayed = self._relayed, []
        members = self._by_zone()[self.local_record.zone]
        for start in range(0, len(messages), MAX_RELAYED_MESSAGES_PER_FRAME):
            part = messages[start : start + MAX_RELAYED_MESSAGES_PER_FRAME]
            self._send_to(members, part)

    def _send_to(
        self,
        peers: Iterable[GossipPeer],
        messages: list[Gossip],
        *,
        relay: bool = False,
    ) -> None:
        if not self.key or self._transport is None:
            return
        frame = encode_signed(
            self.key, GossipFrame(messages=messages, relay=relay)
        )
        if len(frame) > MAX_DATAGRAM_BYTES:
            for message in messages:
                message.changes = message.config_changes = None  # is fetched
            frame = encode_signed(
                self.key, GossipFrame(messages=messages, relay=relay)
            )
        for peer in peers:
            address = (peer.record.host, peer.record.port)
            self._transport.sendto(frame, address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes over what a peer tells."""
        if not self.key:
            return
        try:
            frame = decode_signed(self.key, data, GossipFrame())
        except SignedFrameError as error:
            log_event(
                EventId.PEER_FRAME_REJECTED, peer=addr[0], reason=str(error)
            )
            return
        for message in frame.messages:
            if message.sender != self.local_record.instance:
                self._accept(message)
            if frame.relay:
                self._relay(message)

    def _accept(self, message: Gossip) -> None:
        record = DaemonRecord(
            instance=message.sender,
            zone=message.zone,
            host=message.host,
            port=message.port,
            link_mbps=message.link_mbps,
        )
        peer = self.peers.get(message.sender)
        if peer is not None and not peer.is_newer(message):
            return
        if peer is None or peer.record != record:
            peer = self.add_peer(record)
            log_event(EventId.PEER_CONNECTED, peer=message.sender)
        interval_s = heartbeat_interval_s(
            len(self.peers), leading=message.leading
        )
        peer.record_message(message, interval_s)
        self.on_gossip(peer, message)


__all__ = ["GossipNode"]

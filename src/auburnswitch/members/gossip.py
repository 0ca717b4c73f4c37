"""Tells the other entry daemons by datagrams what this one has and knows."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.http_server import ListenError
from auburnswitch.members.peer import Peer, heartbeat_interval_s
from auburnswitch.members.relay_table import RelayTable
from auburnswitch.members.sealed_frames import SealedFrameError, seal, unseal
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

ENDED_DELAY_S: Final = 0.02
MAX_ITEMS: Final = 400  # that fit into one datagram
MAX_DATAGRAM_BYTES: Final = 16_000
MOST_DIRECT_PEERS: Final = 16  # above which relays pass on
RELAY_DELAY_S: Final = 0.01
NEAR_REFRESH_S: Final = 0.25
RELAYED_IN_FRAME: Final = 100


class GossipNode(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    Attributes:
        me: This daemon's record.
        incarnation: Start of this process, in milliseconds since the epoch.
        key: Key that all daemons share; empty before it is known.
        peers: The other daemons by instance.
        describe: Fills in what this daemon knows.
        list_work: Returns all work of this daemon.
        on_gossip: Called with each accepted datagram.
        is_reader: Whether peers rely on this daemon's news of the store.
        is_near: Tells of an instance whether its daemon is of the same cell.
        stopping: This daemon stops.
    """

    def __init__(
        self,
        *,
        me: DaemonRecord,
        incarnation: int,
        describe: Callable[[Gossip], None],
        list_work: Callable[[], list[WorkItem]],
        on_gossip: Callable[[Peer, Gossip], None],
        is_reader: Callable[[], bool],
        is_near: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self.is_reader = is_reader
        self.is_near = is_near
        self.me = me
        self.incarnation = incarnation
        self.key = b""
        self.peers: dict[str, Peer] = {}
        self.describe = describe
        self.list_work = list_work
        self.on_gossip = on_gossip
        self.stopping = False
        self._sequence = 0
        self._ended: dict[bool, list[int]] = {True: [], False: []}
        self._near: list[Peer] = []
        self._near_found_at = -NEAR_REFRESH_S
        self._flush: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._relays = RelayTable(me=me, live_peers=self.live_peers)
        self._relayed: list[Gossip] = []

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Listens until the context ends.

        Raises:
            ListenError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        address = (self.me.host, self.me.port)
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

    def add_peer(self, record: DaemonRecord) -> Peer:
        """Adds a daemon, or notes its new address."""
        peer = self.peers.get(record.instance)
        if peer is None:
            peer = self.peers[record.instance] = Peer(record=record)
            self._near_found_at = -NEAR_REFRESH_S
        peer.record = record
        return peer

    def drop_silent(self, silence_s: float) -> list[str]:
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

    def live_peers(self) -> list[Peer]:
        """Returns the peers that were heard of lately."""
        return [peer for peer in self.peers.values() if peer.live]

    def near_peers(self) -> list[Peer]:
        """Returns the peers of this daemon's cell."""
        now = monotonic_s()
        if now >= self._near_found_at + NEAR_REFRESH_S:
            self._near_found_at = now
            self._near = [
                peer for name, peer in self.peers.items() if self.is_near(name)
            ]
        return self._near

    def tell_started(
        self, items: list[WorkItem], *, everywhere: bool = True
    ) -> None:
        """Tells peers of work that starts.

        Args:
            items: The work.
            everywhere: All peers are told, not just those of the cell.
        """
        ended = self._ended[everywhere]
        self._ended[everywhere] = []
        message = self._message(items=items, ended=ended)
        if everywhere:
            self._send(message)
        else:
            self._send_near(message)

    def tell_ended(
        self, numbers: list[int], *, everywhere: bool = True
    ) -> None:
        """Tells peers soon of work that has ended."""
        self._ended[everywhere] += numbers
        if self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(ENDED_DELAY_S, self._flush_ended)

    def tell_news(
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

    def tell_reports(self, reports: list[EngineReport]) -> None:
        """Tells all peers what engines reported."""
        message = self._message(items=[], ended=[])
        message.reports = reports
        self._send(message)

    def _flush_ended(self) -> None:
        self._flush = None
        for everywhere in (True, False):
            if self._ended[everywhere]:
                self.tell_started([], everywhere=everywhere)

    async def run(self) -> None:
        """Sends heartbeats, to peers of other cells less often."""
        next_far_at = 0.0
        while True:
            message = self._heartbeat()
            far_s = heartbeat_interval_s(
                len(self.peers), leading=message.leading
            )
            near = self.near_peers()
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
        items = self.list_work()[:MAX_ITEMS]
        message = self._message(items=items, ended=[])
        message.complete = True
        return message

    def _message(self, *, items: list[WorkItem], ended: list[int]) -> Gossip:
        self._sequence += 1
        message = Gossip(
            sender=self.me.instance,
            incarnation=self.incarnation,
            sequence=self._sequence,
            host=self.me.host,
            port=self.me.port,
            zone=self.me.zone,
            link_mbps=self.me.link_mbps,
            stopping=self.stopping,
            items=items,
            ended=ended,
        )
        message.leading = self.is_reader() or self._relays.is_relay()
        self.describe(message)
        return message

    def _send_near(self, message: Gossip) -> None:
        near = self.near_peers()
        if len(near) >= len(self.peers):
            self._send(message)
        else:
            self._send_to(near, [message])

    def _send(self, message: Gossip) -> None:
        """Sends to all peers, by one relay in each zone if they are many."""
        if len(self.peers) <= MOST_DIRECT_PEERS:
            self._send_to(self.peers.values(), [message])
            return
        message.relayed = True
        for zone, members in self._by_zone().items():
            relay = self._relays.relay_of(zone)
            if relay == self.me.instance:
                self._relay(message)
            elif relay in self.peers:
                self._send_to([self.peers[relay]], [message], relay=True)
            else:
                self._send_to(members, [message])

    def _by_zone(self) -> dict[str, list[Peer]]:
        zones: dict[str, list[Peer]] = {self.me.zone: []}
        for peer in self.peers.values():
            zones.setdefault(peer.record.zone, []).append(peer)
        return zones

    def _relay(self, message: Gossip) -> None:
        """Passes a message on to this zone, together with others."""
        if not self._relayed:
            loop = asyncio.get_running_loop()
            loop.call_later(RELAY_DELAY_S, self._flush_relayed)
        self._relayed.append(message)

    def _flush_relayed(self) -> None:
        messages, self._relayed = self._relayed, []
        members = self._by_zone()[self.me.zone]
        for start in range(0, len(messages), RELAYED_IN_FRAME):
            part = messages[start : start + RELAYED_IN_FRAME]
            self._send_to(members, part)

    def _send_to(
        self,
        peers: Iterable[Peer],
        messages: list[Gossip],
        *,
        relay: bool = False,
    ) -> None:
        if not self.key or self._transport is None:
            return
        frame = seal(self.key, GossipFrame(messages=messages, relay=relay))
        if len(frame) > MAX_DATAGRAM_BYTES:
            for message in messages:
                message.changes = message.config_changes = None  # is fetched
            frame = seal(self.key, GossipFrame(messages=messages, relay=relay))
        for peer in peers:
            address = (peer.record.host, peer.record.port)
            self._transport.sendto(frame, address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes over what a peer tells."""
        if not self.key:
            return
        try:
            frame = unseal(self.key, data, GossipFrame())
        except SealedFrameError as error:
            log_event(
                EventId.PEER_FRAME_REJECTED, peer=addr[0], reason=str(error)
            )
            return
        for message in frame.messages:
            if message.sender != self.me.instance:
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
        if peer is not None and not peer.is_news(message):
            return
        if peer is None or peer.record != record:
            peer = self.add_peer(record)
            log_event(EventId.PEER_CONNECTED, peer=message.sender)
        interval_s = heartbeat_interval_s(
            len(self.peers), leading=message.leading
        )
        peer.note(message, interval_s)
        self.on_gossip(peer, message)


__all__ = ["GossipNode"]

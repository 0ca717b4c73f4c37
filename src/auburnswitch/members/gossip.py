"""Publishes this daemon's work and state to the other entry daemons by UDP."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.http_server import ListenError
from auburnswitch.members.cells import SINGLE_CELL
from auburnswitch.members.gossip_peer import (
    group_by_zone,
    heartbeat_interval_s,
)
from auburnswitch.members.peer_table import PeerTable
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
    from collections.abc import AsyncIterator, Callable, Collection

    from auburnswitch.members.gossip_peer import GossipPeer
    from auburnswitch.schema.gossip import (
        EngineReport,
        WorkItem,
    )

ENDED_WORK_BATCH_DELAY_S: Final = 0.02
MAX_HEARTBEAT_ITEMS: Final = 400  # fit into one datagram
MAX_DATAGRAM_BYTES: Final = 16_000
MAX_DIRECT_PEERS: Final = 16  # relays forward messages to more peers
ALL_CELLS: Final = -1
# A relay's datagrams per second do not grow with the fleet.
RELAY_BATCH_DELAY_PER_PEER_S: Final = 0.0002
MAX_RELAY_BATCH_DELAY_S: Final = 0.04
MAX_RELAYED_MESSAGES_PER_FRAME: Final = 100


class GossipNode(asyncio.DatagramProtocol):
    """Sends and receives gossip datagrams.

    Attributes:
        local_record: This daemon's record.
        incarnation: Start time of this process, in milliseconds since the
            epoch.
        key: Key that all daemons share; empty until it is available.
        peers: The other daemons.
        fill_state: Adds this daemon's state versions to a message.
        list_work: Returns all work of this daemon.
        on_gossip: Called with each accepted message and its sender.
        is_reader: Returns whether this daemon reads the store for its peers.
        stopping: Whether this daemon is stopping.
        fill_heartbeat: Adds what only heartbeats carry.
        rejected_count: Number of received frames that were rejected.
    """

    def __init__(
        self,
        *,
        local_record: DaemonRecord,
        incarnation: int,
        fill_state: Callable[[Gossip], None],
        fill_heartbeat: Callable[[Gossip], None] = lambda message: None,
        list_work: Callable[[], list[WorkItem]],
        on_gossip: Callable[[GossipPeer, Gossip], None],
        is_reader: Callable[[], bool],
        cell_of: Callable[[str], int] = lambda _: SINGLE_CELL,
    ) -> None:
        self.is_reader = is_reader
        self.local_record = local_record
        self.incarnation = incarnation
        self.key = b""
        self.peers = PeerTable(cell_of=cell_of)
        self.fill_state = fill_state
        self.fill_heartbeat = fill_heartbeat
        self.list_work = list_work
        self.on_gossip = on_gossip
        self.stopping = False
        self.rejected_count = 0
        self._sequence = 0
        self._ended_work: dict[int, list[int]] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        self._relay_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._relays = RelaySelector(
            local_record=local_record, live_peers=self.peers.live_peers
        )
        self._relayed: list[Gossip] = []

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Listens until the context ends, then sends what is queued.

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
            self._flush_queues()
            self._transport = None
            transport.close()

    def _flush_queues(self) -> None:
        """Sends what waits for a timer and stops the timers."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_ended_work()
        if self._relay_timer is not None:
            self._relay_timer.cancel()
            self._flush_relayed()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Ignores errors; the liveness timeout detects a closed peer port."""

    def send_started_work(
        self, items: list[WorkItem], *, cell: int = ALL_CELLS
    ) -> None:
        """Reports started work to peers, with ended work not yet reported.

        Args:
            items: The started work.
            cell: Cell whose daemons receive the report.
        """
        ended = self._ended_work.pop(cell, [])
        self._send(self._new_message(items=items, ended=ended), cell)

    def schedule_ended_work(
        self, ids: list[int], *, cell: int = ALL_CELLS
    ) -> None:
        """Reports ended work to peers after a short batching delay.

        Args:
            ids: Ids of the ended work items.
            cell: Cell whose daemons receive the report.
        """
        self._ended_work.setdefault(cell, []).extend(ids)
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(
                ENDED_WORK_BATCH_DELAY_S, self._flush_ended_work
            )

    def send_state(
        self, changes: EndpointChanges | ConfigChanges | None = None
    ) -> None:
        """Sends the state versions, and optionally changes, to all peers."""
        message = self._new_message(items=[], ended=[])
        match changes:
            case EndpointChanges():
                message.changes = changes
            case ConfigChanges():
                message.config_changes = changes
        self._send_to(self.peers.by_instance.values(), [message])

    def send_engine_reports(
        self, reports: list[EngineReport], *, cell: int = ALL_CELLS
    ) -> None:
        """Sends engine reports to the daemons of a cell."""
        message = self._new_message(items=[], ended=[])
        message.reports = reports
        self._send(message, cell)

    def send_crash_evidence(self, evidence: Gossip) -> None:
        """Sends what concerns prompt parts that crash endpoints to all peers.

        Args:
            evidence: Message of which only these fields are used.
        """
        message = self._new_message(items=[], ended=[])
        message.crash_suspects = evidence.crash_suspects
        message.part_refusals = evidence.part_refusals
        message.part_starts = evidence.part_starts
        self._send(message)

    def _flush_ended_work(self) -> None:
        self._flush_timer = None
        for cell in [*self._ended_work]:
            self.send_started_work([], cell=cell)

    async def run(self) -> None:
        """Sends heartbeats until cancelled, less often to other cells."""
        next_fleet_heartbeat_at = 0.0
        while True:
            message = self._new_heartbeat()
            fleet_interval_s = heartbeat_interval_s(
                len(self.peers), leading=message.leading
            )
            cell = self._local_cell()
            cell_peers = self.peers.by_cell().get(cell, [])
            if len(cell_peers) >= len(self.peers):
                self._send(message)
                await asyncio.sleep(fleet_interval_s)
                continue
            self._send(message, cell)
            if monotonic_s() >= next_fleet_heartbeat_at:
                next_fleet_heartbeat_at = monotonic_s() + fleet_interval_s
                fleet_message = self._new_message(items=[], ended=[])
                self.fill_heartbeat(fleet_message)
                self._send(fleet_message)
            await asyncio.sleep(
                heartbeat_interval_s(len(cell_peers), leading=message.leading)
            )

    def _new_heartbeat(self) -> Gossip:
        items = self.list_work()[:MAX_HEARTBEAT_ITEMS]
        message = self._new_message(items=items, ended=[])
        self.fill_heartbeat(message)
        message.complete = True
        return message

    def _new_message(
        self, *, items: list[WorkItem], ended: list[int]
    ) -> Gossip:
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

    def _send(self, message: Gossip, cell: int = ALL_CELLS) -> None:
        """Sends to a cell, through one relay per zone in a large fleet."""
        message.cell = cell
        recipients = self._recipients(cell)
        if len(self.peers) <= MAX_DIRECT_PEERS:
            self._send_to(recipients, [message])
            return
        message.relayed = True
        for zone, members in group_by_zone(recipients).items():
            relay = self._relays.relay_for(zone)
            if relay == self.local_record.instance:
                self._enqueue_relayed(message)
            elif relay in self.peers.by_instance:
                relay_peer = self.peers.by_instance[relay]
                self._send_to([relay_peer], [message], relay=True)
            else:
                self._send_to(members, [message])

    def _recipients(self, cell: int) -> list[GossipPeer]:
        if cell == ALL_CELLS:
            return [*self.peers.by_instance.values()]
        return self.peers.by_cell().get(cell, [])

    def _enqueue_relayed(self, message: Gossip) -> None:
        """Queues a message to be forwarded in a batch to this zone."""
        if not self._relayed:
            delay_s = len(self.peers) * RELAY_BATCH_DELAY_PER_PEER_S
            loop = asyncio.get_running_loop()
            self._relay_timer = loop.call_later(
                min(delay_s, MAX_RELAY_BATCH_DELAY_S), self._flush_relayed
            )
        self._relayed.append(message)

    def _flush_relayed(self) -> None:
        """Forwards the queued messages to the daemons of this zone, by cell."""
        self._relay_timer = None
        messages, self._relayed = self._relayed, []
        zone = self.local_record.zone
        for cell, peers in self.peers.by_cell().items():
            members = [peer for peer in peers if peer.record.zone == zone]
            cell_messages = [
                message
                for message in messages
                if message.cell in (ALL_CELLS, cell)
            ]
            size = MAX_RELAYED_MESSAGES_PER_FRAME
            for start in range(0, len(cell_messages), size):
                self._send_to(members, cell_messages[start : start + size])

    def _send_to(
        self,
        peers: Collection[GossipPeer],
        messages: list[Gossip],
        *,
        relay: bool = False,
    ) -> None:
        if not self.key or self._transport is None or not peers:
            return
        try:
            frame = self._encode_frame(messages, relay=relay)
        except SignedFrameError as error:
            log_event(EventId.ITEM_NOT_ENCODED, reason=str(error))
            return
        for peer in peers:
            address = (peer.record.host, peer.record.port)
            self._transport.sendto(frame, address)

    def _encode_frame(self, messages: list[Gossip], *, relay: bool) -> bytes:
        """Returns the messages as a datagram.

        Raises:
            SignedFrameError: They cannot be encoded.
        """
        content = GossipFrame(messages=messages, relay=relay)
        frame = encode_signed(self.key, content)
        if len(frame) > MAX_DATAGRAM_BYTES:
            for message in messages:
                # peers fetch the changes instead
                message.changes = message.config_changes = None
            frame = encode_signed(self.key, content)
        return frame

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Verifies a peer's frame, applies its messages and relays them."""
        if not self.key:
            return
        try:
            frame = decode_signed(self.key, data, GossipFrame())
        except SignedFrameError as error:
            self.rejected_count += 1
            log_event(
                EventId.PEER_FRAME_REJECTED, peer=addr[0], reason=str(error)
            )
            return
        for message in frame.messages:
            if message.sender != self.local_record.instance:
                self._apply_message(message)
            if frame.relay:
                self._enqueue_relayed(message)

    def _apply_message(self, message: Gossip) -> None:
        record = DaemonRecord(
            instance=message.sender,
            zone=message.zone,
            host=message.host,
            port=message.port,
            link_mbps=message.link_mbps,
        )
        peer = self.peers.by_instance.get(message.sender)
        if peer is not None and not peer.is_newer(message):
            return
        if peer is None or peer.record != record:
            peer = self.peers.add(record)
            log_event(EventId.PEER_CONNECTED, peer=message.sender)
        interval_s = heartbeat_interval_s(
            len(self.peers), leading=message.leading
        )
        self.peers.record_message(peer, message, interval_s)
        if message.cell in (ALL_CELLS, self._local_cell()):
            self.on_gossip(peer, message)

    def _local_cell(self) -> int:
        return self.peers.cell_of(self.local_record.instance)


__all__ = ["ALL_CELLS", "GossipNode"]

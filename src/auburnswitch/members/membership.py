"""Exchanges heartbeats with the other daemons."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.frames import FrameError
from auburnswitch.members.peer_link import PeerLink
from auburnswitch.schema.objects import Member
from auburnswitch.schema.peers import (
    Done,
    HandoverRequest,
    Heartbeat,
    HeartbeatAck,
    StateReply,
    StateRequest,
)
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.configuration.state import ConfigState
    from auburnswitch.members.isolation import IsolationDetector
    from auburnswitch.members.member_view import MemberView
    from auburnswitch.members.ownership_leases import OwnershipLeases
    from auburnswitch.members.peer_connection import Dialer
    from auburnswitch.members.peer_server import PeerServer
    from auburnswitch.members.termination_detector import TerminationDetector
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.schema.objects import Roster
    from auburnswitch.schema.settings import Settings

SEED_ID_PREFIX: Final = "seed:"
MAX_REPORTED_AGE_S: Final = 1e9  # replaces infinity before the first read
HANDOVER_ATTEMPTS: Final = 5
HANDOVER_RETRY_DELAY_S: Final = 0.2


class Membership:
    """Sends a heartbeat to every known peer and answers theirs.

    Attributes:
        view: Roster and liveness of the peers.
        ownership_leases: Ownership leases of this daemon.
        termination_detector: Proof that members have terminated.
        isolation: Decides whether new work must be refused.
        links: Link to each peer, by member id.
        link_tasks: Tasks of each link, by member id.
        heartbeat_fillers: Called to add fields to a heartbeat for one peer.
        heartbeat_listeners: Called with each heartbeat received.
        handover_fillers: Called to add fields to a handover to a successor.
        handover_listeners: Called with each handover received.
    """

    __slots__ = (
        "dial",
        "handover_fillers",
        "handover_listeners",
        "heartbeat_fillers",
        "heartbeat_listeners",
        "isolation",
        "link_tasks",
        "links",
        "ownership_leases",
        "settings",
        "shared_key",
        "state",
        "tasks",
        "termination_detector",
        "view",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        shared_key: bytes,
        view: MemberView,
        ownership_leases: OwnershipLeases,
        termination_detector: TerminationDetector,
        isolation: IsolationDetector,
        state: ConfigState,
        tasks: TaskSet,
        dial: Dialer = asyncio.open_connection,
    ) -> None:
        self.settings = settings
        self.shared_key = shared_key
        self.view = view
        self.ownership_leases = ownership_leases
        self.termination_detector = termination_detector
        self.isolation = isolation
        self.state = state
        self.tasks = tasks
        self.dial = dial
        self.links: dict[str, PeerLink] = {}
        self.link_tasks: dict[str, list[asyncio.Task[Any]]] = {}
        self.heartbeat_fillers: list[Callable[[Heartbeat, str], None]] = []
        self.heartbeat_listeners: list[Callable[[Heartbeat], None]] = []
        self.handover_fillers: list[Callable[[HandoverRequest], None]] = []
        self.handover_listeners: list[Callable[[HandoverRequest], None]] = []
        view.roster_listeners.append(self._on_roster_change)

    def register(self, server: PeerServer) -> None:
        """Registers handlers of heartbeats, state requests and handovers."""
        server.handlers[Heartbeat] = self._on_heartbeat
        server.handlers[StateRequest] = self._on_state_request
        server.handlers[HandoverRequest] = self._on_handover

    async def run(self) -> None:
        """Keeps the peers, their links and isolation up to date."""
        self._open_seed_links()
        while True:
            self.view.detect_pause()
            self.view.remove_departed_peers()
            self._update_links()
            self.isolation.update()
            await asyncio.sleep(self.settings.members.heartbeat_interval_s)

    def is_isolated(self) -> bool:
        """Returns whether this daemon must refuse new work as isolated."""
        return self.isolation.is_isolated()

    async def hand_over_leases(self) -> None:
        """Releases all ownership leases and sends handovers to successors."""
        requests = self.ownership_leases.release_all(self.state.endpoints)
        await self._send_handovers(requests)

    def _on_roster_change(self, _: Roster) -> None:
        self._update_links()
        for link in self.links.values():
            # peers wait for this daemon to report the new epoch
            link.heartbeat_requested.set()
        requests = self.ownership_leases.release_lost(self.state.endpoints)
        if requests:
            self.tasks.start(self._send_handovers(requests), "hand over")

    async def _send_handovers(
        self, requests: dict[str, HandoverRequest]
    ) -> None:
        for request in requests.values():
            for fill in self.handover_fillers:
                fill(request)
        calls = [
            self._send_handover(self.links[member_id], request)
            for member_id, request in requests.items()
            if member_id in self.links
        ]
        await asyncio.gather(*calls)

    async def _send_handover(
        self, link: PeerLink, request: HandoverRequest
    ) -> None:
        for _ in range(HANDOVER_ATTEMPTS):
            if await link.try_call(request) is not None:
                return
            await asyncio.sleep(
                HANDOVER_RETRY_DELAY_S
            )  # a new link may still be connecting

    def _open_seed_links(self) -> None:
        for address in self.settings.members.seeds.split(","):
            host, _, port = address.strip().rpartition(":")
            if not host:
                continue
            seed = Member(
                id=SEED_ID_PREFIX + address.strip(), host=host, port=int(port)
            )
            if seed.id not in self.links:
                self._open_link(seed)

    def _update_links(self) -> None:
        for peer_id, status in list(self.view.peers.items()):
            if peer_id not in self.links:
                self._open_link(status.member)
        known_ids = self.view.peers.keys()
        for peer_id in self.links.keys() - known_ids:
            if not peer_id.startswith(SEED_ID_PREFIX):
                self._close_link(peer_id)

    def _open_link(self, member: Member) -> None:
        link = PeerLink(
            member=member,
            member_id=self.view.local_member.id,
            settings=self.settings.peers,
            shared_key=self.shared_key,
            rng_seed=self.settings.daemon.seed,
            dial=self.dial,
        )
        self.links[member.id] = link
        self.link_tasks[member.id] = [
            self.tasks.supervise(link.run, f"link {member.id}"),
            self.tasks.supervise(
                partial(self._send_heartbeats, link), f"beat {member.id}"
            ),
        ]

    def _close_link(self, peer_id: str) -> None:
        del self.links[peer_id]
        for task in self.link_tasks.pop(peer_id):
            task.cancel()

    async def _send_heartbeats(self, link: PeerLink) -> None:
        while True:
            if link.connection is not None and not self._is_redundant_seed_link(
                link
            ):
                await self._send_heartbeat(link)
            await link.wait_for_heartbeat(
                self.settings.members.heartbeat_interval_s
            )

    def _is_redundant_seed_link(self, link: PeerLink) -> bool:
        """Returns whether another link connects to a seed link's daemon."""
        seed = link.member
        return seed.id.startswith(SEED_ID_PREFIX) and any(
            other.connection is not None
            and other is not link
            and other.member.host == seed.host
            and other.member.port == seed.port
            for other in self.links.values()
        )

    async def _send_heartbeat(self, link: PeerLink) -> None:
        heartbeat = self._new_heartbeat(link.member.id)
        sent_at = heartbeat.sent_at
        ack = await link.try_call(heartbeat)
        if isinstance(ack, HeartbeatAck):
            self._record_ack(ack, sent_at)
            await self._fetch_state(link, ack.epoch, ack.state_digest)

    def _new_heartbeat(self, peer_id: str) -> Heartbeat:
        heartbeat = Heartbeat(
            sender=self.view.local_member,
            epoch=self.view.roster.epoch,
            sent_at=monotonic_s(),
            state_digest=self.state.digest,
            leaving=self.view.leaving,
            heard=self.view.live_ids(),
            store_age_s=min(
                self.isolation.own_store_read_age_s(), MAX_REPORTED_AGE_S
            ),
            former_ids=self.termination_detector.own_former_ids(),
        )
        self.isolation.fill_heartbeat(heartbeat)
        for fill in self.heartbeat_fillers:
            fill(heartbeat, peer_id)
        return heartbeat

    def _record_ack(self, ack: HeartbeatAck, sent_at: float) -> None:
        status = self.view.peers.get(ack.member_id)
        if status is None:
            return
        previous_epoch = status.roster_epoch
        status.record_ack(ack, sent_at)
        self.ownership_leases.update_first_majority()
        if status.roster_epoch > previous_epoch:
            self.view.notify_peer_change()

    async def _fetch_state(
        self, link: PeerLink, epoch: int, digest: str
    ) -> None:
        up_to_date = (
            digest == self.state.digest and epoch <= self.view.roster.epoch
        )
        if up_to_date and not self.view.reports_unknown_members(link.member.id):
            return
        request = StateRequest(state_digest=self.state.digest)
        reply = await link.try_call(request)
        if not isinstance(reply, StateReply):
            return
        self.state.join_snapshot(reply.snapshot)
        for member in reply.heard_members:
            self.view.get_or_add_peer(member)
        if reply.roster is not None:
            self.view.adopt_roster(reply.roster)

    async def _on_heartbeat(self, heartbeat: Any, peer_id: str) -> HeartbeatAck:
        if heartbeat.sender is None or heartbeat.sender.id != peer_id:
            raise FrameError(
                ResultCode.BAD_FRAME,
                "heartbeat sender is not the connected peer",
            )
        status = self.view.get_or_add_peer(heartbeat.sender)
        if status is not None:
            previous_epoch = status.roster_epoch
            status.record_heartbeat(heartbeat)
            self.termination_detector.record_former_ids(heartbeat.former_ids)
            self.isolation.adopt_quorum_ids(heartbeat)
            if status.roster_epoch > previous_epoch:
                self.view.notify_peer_change()
        for listener in self.heartbeat_listeners:
            listener(heartbeat)
        return HeartbeatAck(
            member_id=self.view.local_member.id,
            epoch=self.view.roster.epoch,
            sent_at=heartbeat.sent_at,
            state_digest=self.state.digest,
            leaving=self.view.leaving,
        )

    async def _on_handover(self, request: Any, peer_id: str) -> Done:
        if request.member_id == peer_id:
            self.ownership_leases.record_handover(request)
            for listener in self.handover_listeners:
                listener(request)
        return Done()

    async def _on_state_request(self, _: Any, __: str) -> StateReply:
        return StateReply(
            snapshot=self.state.snapshot(),
            roster=self.view.roster,
            heard_members=self.view.reachable_members(),
        )


__all__ = ["Membership"]

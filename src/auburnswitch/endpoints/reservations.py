"""Asks owners for reservations and reports what is held."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from auburnswitch.clock import monotonic_s
from auburnswitch.members.frames import FrameError
from auburnswitch.schema.peers import (
    Done,
    Heartbeat,
    ProgressRequest,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
    RunningWork,
)
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.members.server import PeerServer
    from auburnswitch.members.service import Membership


class HeldReservation:
    """A reservation that this daemon holds.

    Attributes:
        endpoint: Endpoint it is on.
        owner_id: Member that granted it.
        id: Identifies it at the owner.
        use_before: Loop time after which it must not be used first.
        boot_id: Start of the endpoint that the owner knew.
        work: What heartbeats report while it is held.
    """

    __slots__ = ("boot_id", "endpoint", "id", "owner_id", "use_before", "work")

    def __init__(
        self,
        *,
        endpoint: str,
        owner_id: str,
        use_before: float,
        boot_id: str,
        work: RunningWork,
    ) -> None:
        self.endpoint = endpoint
        self.owner_id = owner_id
        self.id = work.reservation_id
        self.use_before = use_before
        self.boot_id = boot_id
        self.work = work


class ReservationClient:
    """Holds this daemon's reservations on all endpoints.

    Attributes:
        held: Reservations by id.
    """

    __slots__ = ("held", "membership", "owner_table")

    def __init__(
        self, *, owner_table: OwnerTable, membership: Membership
    ) -> None:
        self.owner_table = owner_table
        self.membership = membership
        self.held: dict[str, HeldReservation] = {}

    def register(self, server: PeerServer) -> None:
        """Registers the owner's side of the messages."""
        server.handlers[ReserveRequest] = self._on_reserve
        server.handlers[ReleaseRequest] = self._on_release
        server.handlers[ProgressRequest] = self._on_progress

    async def reserve(
        self, request: ReserveRequest
    ) -> HeldReservation | ReserveReply:
        """Asks the endpoint's owner for room.

        Returns:
            The reservation, or the owner's refusal.
        """
        asked_at = monotonic_s()
        owner_id = self.owner_table.owner_of(request.endpoint)
        reply = await self._ask(owner_id, request)
        if reply.code != ResultCode.OK:
            return reply
        work = RunningWork(
            endpoint=request.endpoint,
            reservation_id=reply.reservation_id,
            tokens=request.prompt_tokens + request.answer_tokens,
            prefill_tokens=request.prompt_tokens - request.cached_tokens,
            length_class=request.length_class,
            team=request.team,
            fingerprint=request.fingerprint,
        )
        ttl_s = self.owner_table.settings.members.reservation_ttl_s
        held = HeldReservation(
            endpoint=request.endpoint,
            owner_id=owner_id,
            use_before=asked_at + request.max_wait_s + ttl_s,
            boot_id=reply.boot_id,
            work=work,
        )
        self.held[held.id] = held
        return held

    async def note_prefilled(self, held: HeldReservation) -> None:
        """Tells the owner that the prompt has been prefilled."""
        request = ProgressRequest(
            endpoint=held.endpoint, reservation_id=held.id
        )
        await self._tell(held.endpoint, request)

    async def release(
        self,
        held: HeldReservation,
        *,
        succeeded: bool,
        first_token_s: float = 0.0,
        endpoint_lost: bool = False,
    ) -> None:
        """Gives a reservation back to the present owner."""
        self.held.pop(held.id, None)
        request = ReleaseRequest(
            endpoint=held.endpoint,
            reservation_id=held.id,
            used=True,
            succeeded=succeeded,
            first_token_s=first_token_s,
            endpoint_lost=endpoint_lost,
        )
        await self._tell(held.endpoint, request)

    def fill_heartbeat(self, heartbeat: Heartbeat, peer_id: str) -> None:
        """Reports the reservations on endpoints that the peer owns."""
        heartbeat.running = [
            held.work
            for held in self.held.values()
            if self.owner_table.owner_of(held.endpoint) == peer_id
        ]

    async def _ask(
        self, owner_id: str, request: ReserveRequest
    ) -> ReserveReply:
        me = self.owner_table.view.me.id
        if owner_id == me:
            return await self.owner_table.reserve(request, me)
        link = self.membership.links.get(owner_id)
        if link is None:
            return ReserveReply(code=ResultCode.PEER_UNREACHABLE)
        timeout_s = request.max_wait_s + link.settings.call_timeout_s
        try:
            reply = await link.call(request, timeout_s)
        except (OSError, TimeoutError, FrameError):
            return ReserveReply(code=ResultCode.PEER_UNREACHABLE)
        if isinstance(reply, ReserveReply):
            return reply
        return ReserveReply(code=ResultCode.PEER_UNREACHABLE)

    async def _tell(
        self, endpoint: str, request: ReleaseRequest | ProgressRequest
    ) -> None:
        owner_id = self.owner_table.owner_of(endpoint)
        if owner_id == self.owner_table.view.me.id:
            self._apply(request)
            return
        link = self.membership.links.get(owner_id)
        if link is None:
            return  # heartbeats correct the owner's table
        try:
            await link.call(request)
        except (OSError, TimeoutError, FrameError):
            return

    def _apply(self, request: ReleaseRequest | ProgressRequest) -> None:
        match request:
            case ReleaseRequest():
                self.owner_table.release(request)
            case ProgressRequest(endpoint=endpoint, reservation_id=held_id):
                self.owner_table.note_progress(endpoint, held_id)

    async def _on_reserve(self, request: Any, peer_id: str) -> ReserveReply:
        return await self.owner_table.reserve(request, peer_id)

    async def _on_release(self, request: Any, _: str) -> Done:
        self._apply(request)
        return Done()

    async def _on_progress(self, request: Any, _: str) -> Done:
        self._apply(request)
        return Done()


__all__ = ["HeldReservation", "ReservationClient"]

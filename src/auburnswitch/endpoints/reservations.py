"""Asks owners for reservations and reports what is held."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import EndpointFailureError
from auburnswitch.endpoints.phases import CLOSED_PHASES
from auburnswitch.members.frames import FrameError
from auburnswitch.observe.invariants import Invariant
from auburnswitch.schema.peers import (
    Done,
    EndpointPhase,
    Heartbeat,
    ProgressRequest,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
    RunningWork,
)
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.endpoints.client import Attempt
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.members.server import PeerServer
    from auburnswitch.members.service import Membership

LATE_REPLY_TIMEOUT_S = 60.0


class DispatchRefusedError(EndpointFailureError):
    """A reservation may not be used, and nothing was sent."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, sent=False, lost=False)


class HeldReservation:
    """A reservation that this daemon holds.

    Attributes:
        endpoint: Endpoint it is on.
        owner_id: Member that granted it.
        id: Identifies it at the owner.
        use_before: Loop time after which it must not be used first.
        boot_id: Start of the endpoint that the owner knew.
        work: What heartbeats report while it is held.
        dispatched_at: Loop time of the dispatch, None before it.
    """

    __slots__ = (
        "boot_id",
        "dispatched_at",
        "endpoint",
        "id",
        "owner_id",
        "use_before",
        "work",
    )

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
        self.dispatched_at: float | None = None


class ReservationClient:
    """Holds this daemon's reservations on all endpoints.

    Attributes:
        held: Reservations by id.
        asking: Calls to owners that have not been answered.
    """

    __slots__ = ("asking", "held", "membership", "owner_table")

    def __init__(
        self, *, owner_table: OwnerTable, membership: Membership
    ) -> None:
        self.owner_table = owner_table
        self.membership = membership
        self.held: dict[str, HeldReservation] = {}
        self.asking: set[asyncio.Task[ReserveReply]] = set()

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
        ttl_s = self.owner_table.settings.members.reservation_ttl_s
        held = HeldReservation(
            endpoint=request.endpoint,
            owner_id=owner_id,
            use_before=asked_at + reply.waited_s + ttl_s,
            boot_id=reply.boot_id,
            work=_work_of(request, reply.reservation_id),
        )
        self.held[held.id] = held
        return held

    def hold_unasked(
        self, work: RunningWork, use_before: float
    ) -> HeldReservation:
        """Holds work that no owner has granted; heartbeats report it."""
        held = HeldReservation(
            endpoint=work.endpoint,
            owner_id="",
            use_before=use_before,
            boot_id="",
            work=work,
        )
        self.held[held.id] = held
        return held

    def guard(
        self, held: HeldReservation, attempt: Attempt
    ) -> Callable[[], None]:
        """Returns the check to make right before the first byte is sent."""
        return lambda: self.begin(held, attempt)

    def begin(self, held: HeldReservation, attempt: Attempt) -> None:
        """Begins the use of a reservation.

        Raises:
            DispatchRefusedError: It may not be used now.
        """
        if reason := self._refusal(held, attempt):
            raise DispatchRefusedError(reason)
        if held.dispatched_at is None:
            held.dispatched_at = monotonic_s()
        held.work.request_id = attempt.request_id
        held.work.attempt = attempt.number
        self._check_closed(held.endpoint)

    async def note_prefilled(self, held: HeldReservation) -> None:
        """Tells the owner that the prompt has been prefilled."""
        first_token_s = 0.0
        if held.dispatched_at is not None:
            first_token_s = monotonic_s() - held.dispatched_at
        request = ProgressRequest(
            endpoint=held.endpoint,
            reservation_id=held.id,
            first_token_s=first_token_s,
        )
        await self._tell(held.endpoint, held.owner_id, request)

    async def release(
        self,
        held: HeldReservation,
        *,
        succeeded: bool,
        first_token_s: float = 0.0,
        endpoint_lost: bool = False,
        may_still_run: bool | None = None,
    ) -> None:
        """Gives a reservation back to the present owner, once.

        Args:
            held: The reservation.
            succeeded: The endpoint gave a whole answer.
            first_token_s: Seconds from dispatch to first token.
            endpoint_lost: The endpoint refused or dropped the connection.
            may_still_run: The endpoint may still run the attempt; by default
                it may if the connection was dropped.
        """
        if self.held.pop(held.id, None) is None:
            return
        used = held.dispatched_at is not None
        if may_still_run is None:
            may_still_run = endpoint_lost
        request = ReleaseRequest(
            endpoint=held.endpoint,
            reservation_id=held.id,
            used=used or endpoint_lost,
            succeeded=succeeded,
            first_token_s=first_token_s,
            endpoint_lost=endpoint_lost,
            may_still_run=used and may_still_run,
        )
        await self._tell(held.endpoint, held.owner_id, request)

    def fill_heartbeat(self, heartbeat: Heartbeat, peer_id: str) -> None:
        """Reports the reservations on endpoints that the peer owns."""
        heartbeat.running = self._works_for(peer_id)

    def report_own(self) -> None:
        """Reports this daemon's reservations to its own owner table."""
        me = self.owner_table.view.me.id
        self.owner_table.rebuilder.note_report(me, self._works_for(me))

    def _works_for(self, member_id: str) -> list[RunningWork]:
        table = self.owner_table
        return [
            held.work
            for held in self.held.values()
            if member_id == held.owner_id
            or member_id == table.owner_of(held.endpoint)
            or member_id == table.rights.owner_of(held.endpoint)
        ]

    def _refusal(self, held: HeldReservation, attempt: Attempt) -> str:
        if held.id not in self.held:
            return "the reservation was given back"
        if held.dispatched_at is None and monotonic_s() > held.use_before:
            return "the reservation has expired"
        if held.work.attempt not in (0, attempt.number):
            return "the reservation is in use"
        if self.owner_table.is_closed(held.endpoint):
            return "the endpoint receives no new work"
        if self.owner_table.best_hint(held.endpoint).phase in CLOSED_PHASES:
            return "the endpoint's owner grants no new work"
        return ""

    def _check_closed(self, endpoint: str) -> None:
        closed = self.owner_table.closings.phase(endpoint)
        invariants = self.owner_table.invariants
        out = closed is EndpointPhase.OUT
        invariants.check(not out, Invariant.ZONE_OUT, endpoint=endpoint)
        leaving = closed is EndpointPhase.LEAVING
        invariants.check(not leaving, Invariant.LEAVING, endpoint=endpoint)

    async def _ask(
        self, owner_id: str, request: ReserveRequest
    ) -> ReserveReply:
        me = self.owner_table.view.me.id
        if owner_id == me:
            return await self.owner_table.reserve(request, me)
        link = self.membership.links.get(owner_id)
        if link is None:
            return ReserveReply(code=ResultCode.PEER_UNREACHABLE)
        task = asyncio.create_task(self._call(link, request))
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)
        timeout_s = request.max_wait_s + link.settings.call_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError:
            return ReserveReply(code=ResultCode.PEER_UNREACHABLE)
        finally:
            if not task.done():  # the reply may still grant room
                task.add_done_callback(
                    lambda late: self._give_back(owner_id, request, late)
                )

    async def _call(self, link: Any, request: ReserveRequest) -> ReserveReply:
        timeout_s = request.max_wait_s + LATE_REPLY_TIMEOUT_S
        try:
            reply = await link.call(request, timeout_s)
        except (OSError, TimeoutError, FrameError):
            return ReserveReply(code=ResultCode.PEER_UNREACHABLE)
        if isinstance(reply, ReserveReply):
            return reply
        return ReserveReply(code=ResultCode.PEER_UNREACHABLE)

    def _give_back(
        self,
        owner_id: str,
        request: ReserveRequest,
        late: asyncio.Task[ReserveReply],
    ) -> None:
        if late.cancelled() or late.exception() is not None:
            return
        reply = late.result()
        if reply.code != ResultCode.OK or not reply.reservation_id:
            return
        release = ReleaseRequest(
            endpoint=request.endpoint, reservation_id=reply.reservation_id
        )
        self.membership.tasks.start(
            self._send(owner_id, release), "give back a late reservation"
        )

    async def _tell(
        self,
        endpoint: str,
        granted_by: str,
        request: ReleaseRequest | ProgressRequest,
    ) -> None:
        owner_id = self.owner_table.owner_of(endpoint)
        for member_id in dict.fromkeys((owner_id, granted_by)):
            await self._send(member_id, request)

    async def _send(
        self, member_id: str, request: ReleaseRequest | ProgressRequest
    ) -> None:
        if member_id == self.owner_table.view.me.id:
            self._apply(request)
            return
        link = self.membership.links.get(member_id)
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
            case ProgressRequest():
                self.owner_table.note_progress(
                    request.endpoint,
                    request.reservation_id,
                    request.first_token_s,
                )

    async def _on_reserve(self, request: Any, peer_id: str) -> ReserveReply:
        return await self.owner_table.reserve(request, peer_id)

    async def _on_release(self, request: Any, _: str) -> Done:
        self._apply(request)
        return Done()

    async def _on_progress(self, request: Any, _: str) -> Done:
        self._apply(request)
        return Done()


def _work_of(request: ReserveRequest, reservation_id: str) -> RunningWork:
    return RunningWork(
        endpoint=request.endpoint,
        reservation_id=reservation_id,
        tokens=request.prompt_tokens + request.answer_tokens,
        prompt_tokens=request.prompt_tokens,
        prefill_tokens=request.prompt_tokens - request.cached_tokens,
        length_class=request.length_class,
        team=request.team,
        fingerprint=request.fingerprint,
        request_id=request.request_id,
    )


__all__ = ["DispatchRefusedError", "HeldReservation", "ReservationClient"]

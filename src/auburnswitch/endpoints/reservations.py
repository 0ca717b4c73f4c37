"""Requests reservations from owners and reports those that are held."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import EndpointFailureError
from auburnswitch.endpoints.owner_client import OwnerClient
from auburnswitch.endpoints.phases import (
    LEASE_REQUIRED_PHASES,
    UNSCHEDULABLE_PHASES,
)
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
    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.members.membership import Membership
    from auburnswitch.members.peer_server import PeerServer


class DispatchRefusedError(EndpointFailureError):
    """A reservation must not be used; nothing was sent to the endpoint."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, sent=False, lost=False)


class HeldReservation:
    """A reservation that this daemon holds.

    Attributes:
        endpoint: Name of the endpoint.
        owner_id: Member that granted it, empty without a grant.
        id: Id of the reservation at the owner.
        dispatch_deadline: Loop time by which it must be dispatched, in
            seconds.
        boot_id: Boot id of the endpoint at the grant.
        work: Entry that heartbeats report while it is held.
        dispatched_at: Loop time of the first dispatch, in seconds, None before
            it.
    """

    __slots__ = (
        "boot_id",
        "dispatch_deadline",
        "dispatched_at",
        "endpoint",
        "id",
        "owner_id",
        "work",
    )

    def __init__(
        self,
        *,
        endpoint: str,
        owner_id: str,
        dispatch_deadline: float,
        boot_id: str,
        work: RunningWork,
    ) -> None:
        self.endpoint = endpoint
        self.owner_id = owner_id
        self.id = work.reservation_id
        self.dispatch_deadline = dispatch_deadline
        self.boot_id = boot_id
        self.work = work
        self.dispatched_at: float | None = None


class ReservationClient:
    """Holds this daemon's reservations on all endpoints.

    Attributes:
        held: Reservations by id.
        owner_client: Sends messages to owners.
    """

    __slots__ = ("endpoint_manager", "held", "membership", "owner_client")

    def __init__(
        self, *, endpoint_manager: EndpointManager, membership: Membership
    ) -> None:
        self.endpoint_manager = endpoint_manager
        self.membership = membership
        self.held: dict[str, HeldReservation] = {}
        self.owner_client = OwnerClient(
            endpoint_manager=endpoint_manager,
            membership=membership,
            apply_locally=self._apply,
        )

    def register(self, server: PeerServer) -> None:
        """Registers the owner-side message handlers."""
        server.handlers[ReserveRequest] = self._on_reserve
        server.handlers[ReleaseRequest] = self._on_release
        server.handlers[ProgressRequest] = self._on_progress

    async def reserve(
        self, request: ReserveRequest
    ) -> HeldReservation | ReserveReply:
        """Requests a reservation from the endpoint's owner.

        Returns:
            The reservation, or the owner's refusal.
        """
        requested_at = monotonic_s()
        owner_id = self.endpoint_manager.owner_of(request.endpoint)
        reply = await self.owner_client.reserve(owner_id, request)
        for hint in reply.hints:
            self.endpoint_manager.hints.update(hint)
        if reply.code != ResultCode.OK:
            return reply
        ttl_s = self.endpoint_manager.settings.members.reservation_ttl_s
        if request.hold:
            ttl_s = float("inf")
        held = HeldReservation(
            endpoint=request.endpoint,
            owner_id=owner_id,
            dispatch_deadline=requested_at + reply.waited_s + ttl_s,
            boot_id=reply.boot_id,
            work=_running_work(request, reply.reservation_id),
        )
        self.held[held.id] = held
        return held

    def hold_without_grant(
        self, work: RunningWork, dispatch_deadline: float
    ) -> HeldReservation:
        """Holds work without a grant, so that heartbeats report it."""
        held = HeldReservation(
            endpoint=work.endpoint,
            owner_id="",
            dispatch_deadline=dispatch_deadline,
            boot_id="",
            work=work,
        )
        self.held[held.id] = held
        return held

    def guard(
        self, held: HeldReservation, attempt: Attempt
    ) -> Callable[[], None]:
        """Returns the guard to call right before the first byte is sent."""
        return lambda: self.begin_dispatch(held, attempt)

    def begin_dispatch(self, held: HeldReservation, attempt: Attempt) -> None:
        """Marks a reservation as dispatched for an attempt.

        Raises:
            DispatchRefusedError: The reservation must not be used now.
        """
        if reason := self._refusal_reason(held, attempt):
            raise DispatchRefusedError(reason)
        if held.dispatched_at is None:
            held.dispatched_at = monotonic_s()
        held.work.request_id = attempt.request_id
        held.work.attempt = attempt.number
        self._check_schedulable(held.endpoint)

    async def report_prefilled(self, held: HeldReservation) -> None:
        """Reports to the owner that the prompt has been prefilled."""
        first_token_s = 0.0
        if held.dispatched_at is not None:
            first_token_s = monotonic_s() - held.dispatched_at
        request = ProgressRequest(
            endpoint=held.endpoint,
            reservation_id=held.id,
            first_token_s=first_token_s,
        )
        await self._send_to_owners(held.endpoint, held.owner_id, request)

    async def release(
        self,
        held: HeldReservation,
        *,
        succeeded: bool,
        first_token_s: float = 0.0,
        endpoint_lost: bool = False,
        may_still_run: bool | None = None,
    ) -> None:
        """Releases a reservation at its owners; later calls have no effect.

        Args:
            held: The reservation.
            succeeded: Whether the endpoint returned a complete response.
            first_token_s: Time from dispatch to the first token, in seconds.
            endpoint_lost: Whether the endpoint refused or dropped the
                connection.
            may_still_run: Whether the endpoint may still run the attempt;
                defaults to endpoint_lost.
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
        await self._send_to_owners(held.endpoint, held.owner_id, request)
        self._check_freed(held)

    def fill_heartbeat(self, heartbeat: Heartbeat, peer_id: str) -> None:
        """Reports the reservations on endpoints that the peer owns."""
        heartbeat.running = self._work_for_owner(peer_id)

    def report_local_reservations(self) -> None:
        """Reports this daemon's reservations to its own endpoint manager."""
        local_id = self.endpoint_manager.view.local_member.id
        self.endpoint_manager.reservation_reconciler.record_report(
            local_id, self._work_for_owner(local_id)
        )

    def _work_for_owner(self, member_id: str) -> list[RunningWork]:
        manager = self.endpoint_manager
        return [
            held.work
            for held in self.held.values()
            if member_id == held.owner_id
            or member_id == manager.owner_of(held.endpoint)
            or member_id == manager.leases.owner_of(held.endpoint)
        ]

    def _refusal_reason(self, held: HeldReservation, attempt: Attempt) -> str:
        if held.id not in self.held:
            return "the reservation was given back"
        if (
            held.dispatched_at is None
            and monotonic_s() > held.dispatch_deadline
        ):
            return "the reservation has expired"
        if held.work.attempt not in (0, attempt.number):
            return "the reservation is in use"
        if self.membership.is_isolated():
            return "this daemon may have missed changes"
        if self.endpoint_manager.is_unschedulable(held.endpoint):
            return "the endpoint receives no new work"
        hint = self.endpoint_manager.latest_hint(held.endpoint)
        if hint.phase in UNSCHEDULABLE_PHASES:
            return "the endpoint's owner grants no new work"
        if hint.phase not in LEASE_REQUIRED_PHASES or not held.owner_id:
            return ""
        if (
            held.dispatch_deadline == float("inf")
            or hint.boot_id != held.boot_id
        ):
            return "the endpoint has turned cold since the grant"
        return ""

    def _check_freed(self, held: HeldReservation) -> None:
        ledger = self.endpoint_manager.ledgers.get(held.endpoint)
        recorded = (
            ledger.reservations.get(held.id) if ledger is not None else None
        )
        self.endpoint_manager.invariants.check(
            held.id not in self.held
            and (recorded is None or recorded.is_released),
            Invariant.MEMORY_FREED,
            endpoint=held.endpoint,
        )

    def _check_schedulable(self, endpoint: str) -> None:
        unschedulable_phase = self.endpoint_manager.unschedulable.phase(
            endpoint
        )
        invariants = self.endpoint_manager.invariants
        is_out = unschedulable_phase is EndpointPhase.OUT
        invariants.check(not is_out, Invariant.ZONE_OUT, endpoint=endpoint)
        is_leaving = unschedulable_phase is EndpointPhase.LEAVING
        invariants.check(not is_leaving, Invariant.LEAVING, endpoint=endpoint)

    async def _send_to_owners(
        self,
        endpoint: str,
        granted_by: str,
        request: ReleaseRequest | ProgressRequest,
    ) -> None:
        members = [self.endpoint_manager.owner_of(endpoint), granted_by]
        if endpoint in self.endpoint_manager.ledgers:
            members.insert(0, self.endpoint_manager.view.local_member.id)
        for member_id in dict.fromkeys(members):
            await self.owner_client.send(member_id, request)

    def _apply(self, request: ReleaseRequest | ProgressRequest) -> None:
        match request:
            case ReleaseRequest():
                self.endpoint_manager.release(request)
            case ProgressRequest():
                self.endpoint_manager.record_prefilled(
                    request.endpoint,
                    request.reservation_id,
                    request.first_token_s,
                )

    async def _on_reserve(self, request: Any, peer_id: str) -> ReserveReply:
        return await self.endpoint_manager.reserve(request, peer_id)

    async def _on_release(self, request: Any, _: str) -> Done:
        self._apply(request)
        return Done()

    async def _on_progress(self, request: Any, _: str) -> Done:
        self._apply(request)
        return Done()


def _running_work(request: ReserveRequest, reservation_id: str) -> RunningWork:
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

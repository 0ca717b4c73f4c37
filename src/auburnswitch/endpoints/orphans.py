"""Finds and frees engine memory that no daemon claims."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import EndpointClient, EndpointFailureError
from auburnswitch.endpoints.engine_work import (
    AttemptKey,
    EngineWork,
    read_engine_work,
)
from auburnswitch.members.frames import FrameError
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.objects import ServiceKind
from auburnswitch.schema.peers import AttemptId, ClaimsReply, ClaimsRequest

if TYPE_CHECKING:
    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.endpoints.reservation import Reservation
    from auburnswitch.endpoints.reservations import ReservationClient
    from auburnswitch.members.peer_server import PeerServer

CONFIRMATION_ROUNDS: Final = 2


@dataclass(slots=True, kw_only=True)
class OrphanCandidate:
    """Work of an engine that no reservation covers.

    Attributes:
        first_seen_at: Loop time at which it was first found, in seconds.
        rounds: Consecutive comparisons that found it.
    """

    first_seen_at: float
    rounds: int = 1


class OrphanCollector:
    """Compares engines' lists of work with reservations.

    Attributes:
        endpoint_manager: Ledgers of the owned endpoints.
        reservations: This daemon's reservations.
        client: Calls the engines.
        candidates: Unclaimed work by endpoint and resource.
    """

    __slots__ = ("candidates", "client", "endpoint_manager", "reservations")

    def __init__(
        self,
        *,
        endpoint_manager: EndpointManager,
        reservations: ReservationClient,
        client: EndpointClient,
    ) -> None:
        self.endpoint_manager = endpoint_manager
        self.reservations = reservations
        self.client = client
        self.candidates: dict[tuple[str, str], OrphanCandidate] = {}

    def register(self, server: PeerServer) -> None:
        """Registers the handler of other owners' claims requests."""
        server.handlers[ClaimsRequest] = self._on_claims

    async def collect_if_due(self, ledger: EndpointLedger) -> None:
        """Reads an engine's lists of work if due, and frees orphans."""
        if not self._is_due(ledger):
            return
        requested_at = monotonic_s()
        try:
            work_items = await read_engine_work(self.client, ledger.spec)
        except (EndpointFailureError, TimeoutError):
            return
        self._end_abandoned(ledger, work_items, requested_at)
        ledger.unreserved_tokens = {
            work.path: work.tokens
            for work in work_items
            if not _is_covered(ledger, work.key)
        }
        ledger.work_listed_at = requested_at
        unclaimed = [
            w for w in work_items if not self._is_claimed(ledger, w.key)
        ]
        self.endpoint_manager.wake(ledger.name)
        for work in self._update_candidates(ledger, unclaimed):
            await self._free_if_orphaned(ledger, work)

    def _is_due(self, ledger: EndpointLedger) -> bool:
        service = self.endpoint_manager.state.services.get(ledger.spec.service)
        if service is None or service.kind != ServiceKind.MODEL:
            return False
        if self.endpoint_manager.cold_gate.needs_work_listing(ledger):
            return True
        is_abandoned = self.endpoint_manager.reservation_reconciler.is_abandoned
        if any(is_abandoned(r) for r in ledger.reservations.values()):
            return True
        interval_s = self.endpoint_manager.settings.endpoints.orphan_interval_s
        if monotonic_s() < ledger.work_listed_at + interval_s:
            return False
        if ledger.unreserved_tokens:
            return True
        return ledger.load is not None and not ledger.load.is_empty

    def _end_abandoned(
        self,
        ledger: EndpointLedger,
        work_items: list[EngineWork],
        requested_at: float,
    ) -> None:
        """Ends abandoned reservations whose work the engine doesn't list."""
        ttl_s = self.endpoint_manager.settings.members.reservation_ttl_s
        is_abandoned = self.endpoint_manager.reservation_reconciler.is_abandoned
        for reservation in list(ledger.reservations.values()):
            latest_use_at = reservation.granted_at + ttl_s
            if reservation.released_at is not None:
                latest_use_at = reservation.released_at
            if latest_use_at > requested_at or not is_abandoned(reservation):
                continue
            if not any(_matches(reservation, work.key) for work in work_items):
                ledger.end(reservation.id)

    def _is_claimed(self, ledger: EndpointLedger, key: AttemptKey) -> bool:
        is_abandoned = self.endpoint_manager.reservation_reconciler.is_abandoned
        return any(
            _matches(reservation, key) and not is_abandoned(reservation)
            for reservation in ledger.reservations.values()
        )

    def _update_candidates(
        self, ledger: EndpointLedger, unclaimed: list[EngineWork]
    ) -> list[EngineWork]:
        """Counts the rounds of unclaimed work; returns confirmed candidates."""
        now = monotonic_s()
        paths = {work.path for work in unclaimed}
        for name, path in list(self.candidates):
            if name == ledger.name and path not in paths:
                del self.candidates[name, path]
        confirmed = []
        for work in unclaimed:
            candidate = self.candidates.get((ledger.name, work.path))
            if candidate is None:
                candidate = OrphanCandidate(first_seen_at=now)
                self.candidates[ledger.name, work.path] = candidate
                continue
            candidate.rounds += 1
            if self._is_confirmed(candidate):
                confirmed.append(work)
        return confirmed

    def _is_confirmed(self, candidate: OrphanCandidate) -> bool:
        settings = self.endpoint_manager.settings
        wait_s = (
            CONFIRMATION_ROUNDS * settings.members.heartbeat_interval_s
            + settings.endpoints.load_lag_s
        )
        old_enough = monotonic_s() >= candidate.first_seen_at + wait_s
        return old_enough and candidate.rounds > CONFIRMATION_ROUNDS

    async def _free_if_orphaned(
        self, ledger: EndpointLedger, work: EngineWork
    ) -> None:
        if not await self._is_orphaned(ledger, work.key):
            return
        if not await self.client.delete(ledger.spec, work.path):
            return
        self.candidates.pop((ledger.name, work.path), None)
        ledger.unreserved_tokens.pop(work.path, None)
        log_event(
            EventId.ORPHAN_FREED,
            endpoint=ledger.name,
            member=work.key.member_id,
            request_id=work.key.request_id,
            attempt=work.key.attempt,
            tokens=work.tokens,
        )
        self.endpoint_manager.wake(ledger.name)

    async def _is_orphaned(
        self, ledger: EndpointLedger, key: AttemptKey
    ) -> bool:
        """Returns whether the daemon that sent the work no longer holds it."""
        view = self.endpoint_manager.view
        if key.member_id == view.local_member.id:
            return not self._holds_attempt(
                ledger.name, key.request_id, key.attempt
            )
        status = view.peers.get(key.member_id)
        oldest = monotonic_s() - view.settings.suspect_after_s
        has_recent_message = (
            status is not None and status.last_received_at >= oldest
        )
        if has_recent_message:
            return await self._is_unclaimed_by_sender(ledger, key)
        if key.member_id in view.roster_ids():
            return False  # it may be frozen or partitioned
        # Only the roster that a majority acknowledges shows who was removed.
        return self.endpoint_manager.leases.holds_lease(ledger.name)

    async def _is_unclaimed_by_sender(
        self, ledger: EndpointLedger, key: AttemptKey
    ) -> bool:
        link = self.reservations.membership.links.get(key.member_id)
        if link is None:
            return False
        attempt_id = AttemptId(request_id=key.request_id, attempt=key.attempt)
        request = ClaimsRequest(endpoint=ledger.name, attempts=[attempt_id])
        try:
            reply = await link.call(request)
        except (OSError, TimeoutError, FrameError):
            return False
        return isinstance(reply, ClaimsReply) and not reply.attempts

    def _holds_attempt(
        self, endpoint: str, request_id: str, attempt: int
    ) -> bool:
        return any(
            held.endpoint == endpoint
            and held.work.request_id == request_id
            and held.work.attempt in (0, attempt)
            for held in self.reservations.held.values()
        )

    async def _on_claims(self, request: Any, _: str) -> ClaimsReply:
        claimed = [
            attempt
            for attempt in request.attempts
            if self._holds_attempt(
                request.endpoint, attempt.request_id, attempt.attempt
            )
        ]
        return ClaimsReply(attempts=claimed)


def _is_covered(ledger: EndpointLedger, key: AttemptKey) -> bool:
    if (key.request_id, key.attempt) in ledger.ended_attempts:
        return True  # the list predates the release
    return any(_matches(r, key) for r in ledger.reservations.values())


def _matches(reservation: Reservation, key: AttemptKey) -> bool:
    return (
        reservation.request_id == key.request_id
        and reservation.member_id == key.member_id
        and reservation.attempt in (0, key.attempt)
    )


__all__ = ["OrphanCollector"]

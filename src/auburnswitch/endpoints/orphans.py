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
        first_seen_at: Loop time at which it was first seen so, in seconds.
        rounds: Comparisons in a row that found it so.
    """

    first_seen_at: float
    rounds: int = 1


class OrphanCollector:
    """Compares engines' lists with reservations.

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
        """Registers the answer to other owners."""
        server.handlers[ClaimsRequest] = self._on_claims

    async def collect_if_due(self, ledger: EndpointLedger) -> None:
        """Reads an engine's lists if it is time to, and frees orphans."""
        if not self._is_due(ledger):
            return
        asked_at = monotonic_s()
        try:
            works = await read_engine_work(self.client, ledger.spec)
        except (EndpointFailureError, TimeoutError):
            return
        self._end_unheld(ledger, works, asked_at)
        ledger.unreserved_tokens = {
            work.path: work.tokens
            for work in works
            if not _is_covered(ledger, work.key)
        }
        ledger.work_listed_at = asked_at
        unclaimed = [w for w in works if not self._is_claimed(ledger, w.key)]
        self.endpoint_manager.wake(ledger.name)
        for work in self._update_suspects(ledger, unclaimed):
            await self._free_if_dead(ledger, work)

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

    def _end_unheld(
        self,
        ledger: EndpointLedger,
        works: list[EngineWork],
        asked_at: float,
    ) -> None:
        """Ends what no one holds and the engine does not have either."""
        ttl_s = self.endpoint_manager.settings.members.reservation_ttl_s
        is_abandoned = self.endpoint_manager.reservation_reconciler.is_abandoned
        for reservation in list(ledger.reservations.values()):
            used_by = reservation.granted_at + ttl_s
            if reservation.released_at is not None:
                used_by = reservation.released_at
            if used_by > asked_at or not is_abandoned(reservation):
                continue
            if not any(_matches(reservation, work.key) for work in works):
                ledger.end(reservation.id)

    def _is_claimed(self, ledger: EndpointLedger, key: AttemptKey) -> bool:
        is_abandoned = self.endpoint_manager.reservation_reconciler.is_abandoned
        return any(
            _matches(reservation, key) and not is_abandoned(reservation)
            for reservation in ledger.reservations.values()
        )

    def _update_suspects(
        self, ledger: EndpointLedger, unclaimed: list[EngineWork]
    ) -> list[EngineWork]:
        """Counts the rounds of unclaimed work; returns what has had enough."""
        now = monotonic_s()
        paths = {work.path for work in unclaimed}
        for name, path in list(self.candidates):
            if name == ledger.name and path not in paths:
                del self.candidates[name, path]
        ripe = []
        for work in unclaimed:
            suspect = self.candidates.get((ledger.name, work.path))
            if suspect is None:
                suspect = OrphanCandidate(first_seen_at=now)
                self.candidates[ledger.name, work.path] = suspect
                continue
            suspect.rounds += 1
            if self._is_ripe(suspect):
                ripe.append(work)
        return ripe

    def _is_ripe(self, suspect: OrphanCandidate) -> bool:
        settings = self.endpoint_manager.settings
        wait_s = (
            CONFIRMATION_ROUNDS * settings.members.heartbeat_interval_s
            + settings.endpoints.load_lag_s
        )
        old = monotonic_s() >= suspect.first_seen_at + wait_s
        return old and suspect.rounds > CONFIRMATION_ROUNDS

    async def _free_if_dead(
        self, ledger: EndpointLedger, work: EngineWork
    ) -> None:
        if not await self._is_dead(ledger, work.key):
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

    async def _is_dead(self, ledger: EndpointLedger, key: AttemptKey) -> bool:
        """Tells whether the daemon that sent the work has it no longer."""
        view = self.endpoint_manager.view
        if key.member_id == view.local_member.id:
            return not self._has(ledger.name, key.request_id, key.attempt)
        status = view.peers.get(key.member_id)
        oldest = monotonic_s() - view.settings.suspect_after_s
        heard = status is not None and status.last_received_at >= oldest
        if heard:
            return await self._is_given_up(ledger, key)
        if key.member_id in view.roster_ids():
            return False  # it may be frozen or cut off
        # Only the roster that a majority goes by shows who is gone.
        return self.endpoint_manager.rights.holds_lease(ledger.name)

    async def _is_given_up(
        self, ledger: EndpointLedger, key: AttemptKey
    ) -> bool:
        link = self.reservations.membership.links.get(key.member_id)
        if link is None:
            return False
        asked = AttemptId(request_id=key.request_id, attempt=key.attempt)
        request = ClaimsRequest(endpoint=ledger.name, attempts=[asked])
        try:
            reply = await link.call(request)
        except (OSError, TimeoutError, FrameError):
            return False
        return isinstance(reply, ClaimsReply) and not reply.attempts

    def _has(self, endpoint: str, request_id: str, attempt: int) -> bool:
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
            if self._has(request.endpoint, attempt.request_id, attempt.attempt)
        ]
        return ClaimsReply(attempts=claimed)


def _is_covered(ledger: EndpointLedger, key: AttemptKey) -> bool:
    if (key.request_id, key.attempt) in ledger.ended_attempts:
        return True  # the list was made before the release
    return any(_matches(r, key) for r in ledger.reservations.values())


def _matches(reservation: Reservation, key: AttemptKey) -> bool:
    return (
        reservation.request_id == key.request_id
        and reservation.member_id == key.member_id
        and reservation.attempt in (0, key.attempt)
    )


__all__ = ["OrphanCollector"]

"""Finds and frees engine memory that no daemon claims."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import EndpointClient, EndpointFailureError
from auburnswitch.endpoints.engine_work import (
    EngineWork,
    WorkKey,
    read_engine_work,
)
from auburnswitch.members.frames import FrameError
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.objects import ServiceKind
from auburnswitch.schema.peers import AttemptId, ClaimsReply, ClaimsRequest

if TYPE_CHECKING:
    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.endpoints.reservation import Reservation
    from auburnswitch.endpoints.reservations import ReservationClient
    from auburnswitch.members.peer_server import PeerServer

ROUNDS: Final = 2


@dataclass(slots=True, kw_only=True)
class Suspect:
    """Work of an engine that no reservation covers.

    Attributes:
        since: Loop time at which it was first seen so, in seconds.
        rounds: Comparisons in a row that found it so.
    """

    since: float
    rounds: int = 1


class OrphanCollector:
    """Compares engines' lists with reservations.

    Attributes:
        owner_table: Ledgers of the owned endpoints.
        reservations: This daemon's reservations.
        client: Calls the engines.
        suspects: Unclaimed work by endpoint and resource.
    """

    __slots__ = ("client", "owner_table", "reservations", "suspects")

    def __init__(
        self,
        *,
        owner_table: OwnerTable,
        reservations: ReservationClient,
        client: EndpointClient,
    ) -> None:
        self.owner_table = owner_table
        self.reservations = reservations
        self.client = client
        self.suspects: dict[tuple[str, str], Suspect] = {}

    def register(self, server: PeerServer) -> None:
        """Registers the answer to other owners."""
        server.handlers[ClaimsRequest] = self._on_claims

    async def compare(self, ledger: EndpointLedger) -> None:
        """Reads an engine's lists if it is time to, and frees orphans."""
        if not self._is_due(ledger):
            return
        asked_at = monotonic_s()
        try:
            works = await read_engine_work(self.client, ledger.spec)
        except (EndpointFailureError, TimeoutError):
            return
        self._end_unheld(ledger, works, asked_at)
        ledger.uncovered = {
            work.path: work.tokens
            for work in works
            if not _is_covered(ledger, work.key)
        }
        ledger.listed_at = asked_at
        unclaimed = [w for w in works if not self._is_claimed(ledger, w.key)]
        self.owner_table.wake(ledger.name)
        for work in self._update_suspects(ledger, unclaimed):
            await self._free_if_dead(ledger, work)

    def _is_due(self, ledger: EndpointLedger) -> bool:
        service = self.owner_table.state.services.get(ledger.spec.service)
        if service is None or service.kind != ServiceKind.MODEL:
            return False
        if self.owner_table.gate.needs_survey(ledger):
            return True
        is_unheld = self.owner_table.rebuilder.is_unheld
        if any(is_unheld(r) for r in ledger.reservations.values()):
            return True
        interval_s = self.owner_table.settings.endpoints.orphan_interval_s
        if monotonic_s() < ledger.listed_at + interval_s:
            return False
        if ledger.uncovered:
            return True
        return ledger.load is not None and not ledger.load.is_empty

    def _end_unheld(
        self,
        ledger: EndpointLedger,
        works: list[EngineWork],
        asked_at: float,
    ) -> None:
        """Ends what no one holds and the engine does not have either."""
        ttl_s = self.owner_table.settings.members.reservation_ttl_s
        is_unheld = self.owner_table.rebuilder.is_unheld
        for reservation in list(ledger.reservations.values()):
            used_by = reservation.granted_at + ttl_s
            if reservation.lingering_since is not None:
                used_by = reservation.lingering_since
            if used_by > asked_at or not is_unheld(reservation):
                continue
            if not any(_matches(reservation, work.key) for work in works):
                ledger.end(reservation.id)

    def _is_claimed(self, ledger: EndpointLedger, key: WorkKey) -> bool:
        is_unheld = self.owner_table.rebuilder.is_unheld
        return any(
            _matches(reservation, key) and not is_unheld(reservation)
            for reservation in ledger.reservations.values()
        )

    def _update_suspects(
        self, ledger: EndpointLedger, unclaimed: list[EngineWork]
    ) -> list[EngineWork]:
        """Counts the rounds of unclaimed work; returns what has had enough."""
        now = monotonic_s()
        paths = {work.path for work in unclaimed}
        for name, path in list(self.suspects):
            if name == ledger.name and path not in paths:
                del self.suspects[name, path]
        ripe = []
        for work in unclaimed:
            suspect = self.suspects.get((ledger.name, work.path))
            if suspect is None:
                suspect = Suspect(since=now)
                self.suspects[ledger.name, work.path] = suspect
                continue
            suspect.rounds += 1
            if self._is_ripe(suspect):
                ripe.append(work)
        return ripe

    def _is_ripe(self, suspect: Suspect) -> bool:
        settings = self.owner_table.settings
        wait_s = (
            ROUNDS * settings.members.heartbeat_interval_s
            + settings.endpoints.load_lag_s
        )
        old = monotonic_s() >= suspect.since + wait_s
        return old and suspect.rounds > ROUNDS

    async def _free_if_dead(
        self, ledger: EndpointLedger, work: EngineWork
    ) -> None:
        if not await self._is_dead(ledger, work.key):
            return
        if not await self.client.delete(ledger.spec, work.path):
            return
        self.suspects.pop((ledger.name, work.path), None)
        ledger.uncovered.pop(work.path, None)
        log_event(
            EventId.ORPHAN_FREED,
            endpoint=ledger.name,
            member=work.key.member_id,
            request_id=work.key.request_id,
            attempt=work.key.attempt,
            tokens=work.tokens,
        )
        self.owner_table.wake(ledger.name)

    async def _is_dead(self, ledger: EndpointLedger, key: WorkKey) -> bool:
        """Tells whether the daemon that sent the work has it no longer."""
        view = self.owner_table.view
        if key.member_id == view.local_member.id:
            return not self._has(ledger.name, key.request_id, key.attempt)
        status = view.peers.get(key.member_id)
        oldest = monotonic_s() - view.settings.suspect_after_s
        heard = status is not None and status.heard_at >= oldest
        if heard:
            return await self._is_given_up(ledger, key)
        if key.member_id in view.roster_ids():
            return False  # it may be frozen or cut off
        # Only the roster that a majority goes by shows who is gone.
        return self.owner_table.rights.holds_lease(ledger.name)

    async def _is_given_up(self, ledger: EndpointLedger, key: WorkKey) -> bool:
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


def _is_covered(ledger: EndpointLedger, key: WorkKey) -> bool:
    if (key.request_id, key.attempt) in ledger.ended_attempts:
        return True  # the list was made before the release
    return any(_matches(r, key) for r in ledger.reservations.values())


def _matches(reservation: Reservation, key: WorkKey) -> bool:
    return (
        reservation.request_id == key.request_id
        and reservation.member_id == key.member_id
        and reservation.attempt in (0, key.attempt)
    )


__all__ = ["OrphanCollector"]

"""Grants reservations on the endpoints that this daemon owns."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.admission import (
    can_ever_hold,
    has_room,
    predicted_wait_s,
)
from auburnswitch.endpoints.ledger import CLOSED_PHASES, EndpointLedger
from auburnswitch.endpoints.queue import ReservationQueue
from auburnswitch.members.rendezvous import rendezvous_first
from auburnswitch.observe.invariants import Invariant, Invariants
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.peers import (
    EndpointHint,
    EndpointPhase,
    Heartbeat,
    LengthClass,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
)
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from auburnswitch.members.view import MemberView
    from auburnswitch.platform.state import ConfigState
    from auburnswitch.schema.settings import Settings

UNREPORTED_INTERVALS: Final = 4


class OwnerTable:
    """The ledgers of this daemon's endpoints.

    Attributes:
        ledgers: Ledger by endpoint name; made on first use.
        hints: Newest hint of each endpoint from its owner, with its time.
    """

    __slots__ = (
        "hints",
        "invariants",
        "ledgers",
        "next_id",
        "owned_since",
        "queues",
        "settings",
        "state",
        "view",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        view: MemberView,
        state: ConfigState,
        invariants: Invariants,
    ) -> None:
        self.settings = settings
        self.view = view
        self.state = state
        self.invariants = invariants
        self.ledgers: dict[str, EndpointLedger] = {}
        self.owned_since: dict[str, float] = {}
        self.hints: dict[str, tuple[float, EndpointHint]] = {}
        self.queues: dict[str, ReservationQueue] = {}
        self.next_id = 0

    def owner_of(self, endpoint: str) -> str:
        """Returns the live member that owns an endpoint."""
        return rendezvous_first(endpoint, self.view.live_ids())

    def owns(self, endpoint: str) -> bool:
        """Tells whether this daemon owns an endpoint."""
        return self.owner_of(endpoint) == self.view.me.id

    def owned(self) -> list[str]:
        """Returns the endpoints that this daemon owns."""
        return [name for name in self.state.endpoints if self.owns(name)]

    def ledger(self, endpoint: str) -> EndpointLedger | None:
        """Returns the ledger of a configured endpoint."""
        spec = self.state.endpoints.get(endpoint)
        if spec is None:
            self.ledgers.pop(endpoint, None)
            return None
        ledger = self.ledgers.get(endpoint)
        if ledger is None:
            ledger = EndpointLedger(name=endpoint, spec=spec)
            self._adopt_hint(ledger)
            self.ledgers[endpoint] = ledger
            self.queues[endpoint] = ReservationQueue(
                try_reserve=self._try_reserve
            )
        ledger.spec = spec
        return ledger

    def is_closed(self, endpoint: str) -> bool:
        """Tells whether the endpoint or its zone is out of service."""
        spec = self.state.endpoints.get(endpoint)
        if spec is None or spec.leaving:
            return True
        zone = self.state.zones.get(spec.zone)
        return zone is not None and zone.out

    async def reserve(
        self, request: ReserveRequest, member_id: str
    ) -> ReserveReply:
        """Grants a reservation, waiting for room as long as asked."""
        ledger = self.ledger(request.endpoint)
        if ledger is None:
            return ReserveReply(code=ResultCode.NOT_OWNER)
        retry_after_s = max(1.0, predicted_wait_s(ledger))
        queue = self.queues[request.endpoint]
        return await queue.reserve(request, member_id, retry_after_s)

    def release(self, request: ReleaseRequest) -> ResultCode:
        """Ends a reservation and learns from its outcome."""
        ledger = self.ledger(request.endpoint)
        if ledger is None:
            return ResultCode.OK
        ledger.reservations.pop(request.reservation_id, None)
        if request.succeeded:
            self._note_phase(ledger, ledger.note_success)
        if request.endpoint_lost:
            boot_id = ledger.boot_id
            self._note_phase(ledger, lambda: ledger.note_cold(boot_id))
        self._wake(request.endpoint)
        return ResultCode.OK

    def note_progress(self, endpoint: str, reservation_id: str) -> None:
        """Takes note that a reservation's prompt has been prefilled."""
        ledger = self.ledgers.get(endpoint)
        if ledger is None:
            return
        reservation = ledger.reservations.get(reservation_id)
        if reservation is not None:
            reservation.prefill_tokens = 0
            self._wake(endpoint)

    def note_boot(self, endpoint: str, boot_id: str) -> None:
        """Takes note of a load report and the start it comes from."""
        ledger = self.ledger(endpoint)
        if ledger is None:
            return
        ledger.load_failures = 0
        if boot_id != ledger.boot_id or ledger.phase is EndpointPhase.DOWN:
            self._note_phase(ledger, lambda: ledger.note_cold(boot_id))
            self._wake(endpoint)

    def note_queued(self, endpoint: str, prefill_tokens: int) -> None:
        """Takes note of the work that a load report speaks of."""
        ledger = self.ledger(endpoint)
        if ledger is not None:
            ledger.reported_prefill_tokens = prefill_tokens

    def note_unreachable(self, endpoint: str) -> None:
        """Takes note of a load report that could not be read."""
        ledger = self.ledger(endpoint)
        if ledger is None:
            return
        ledger.load_failures += 1
        limit = self.settings.endpoints.down_after_failures
        if ledger.load_failures >= limit:
            self._note_phase(ledger, lambda: self._mark_down(ledger))

    def fill_heartbeat(self, heartbeat: Heartbeat, _: str) -> None:
        """Adds hints of the owned endpoints to a heartbeat."""
        heartbeat.hints = [self.hint(name) for name in self.owned()]

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes a peer's hints and its running work on owned endpoints."""
        now = monotonic_s()
        for hint in heartbeat.hints:
            self.hints[hint.endpoint] = (now, hint)
        sender = heartbeat.sender.id
        for work in heartbeat.running:
            self._note_running(work, sender)
        self._drop_unreported(sender)

    def hint(self, endpoint: str) -> EndpointHint:
        """Returns what peers should know of an owned endpoint."""
        ledger = self.ledger(endpoint)
        if ledger is None:
            return EndpointHint(endpoint=endpoint)
        phase = ledger.phase
        if self.is_closed(endpoint):
            phase = EndpointPhase.LEAVING
        free = ledger.spec.memory_tokens - ledger.reserved_tokens
        return EndpointHint(
            endpoint=endpoint,
            phase=phase,
            free_tokens=free,
            short_wait_s=predicted_wait_s(ledger),
            long_wait_s=predicted_wait_s(ledger),
            running=len(ledger.reservations),
            max_running=ledger.max_running,
            boot_id=ledger.boot_id,
            reported_prefill_tokens=ledger.reported_prefill_tokens,
        )

    def best_hint(self, endpoint: str) -> EndpointHint:
        """Returns the own hint of an owned endpoint, else its owner's."""
        if self.owns(endpoint):
            return self.hint(endpoint)
        _, hint = self.hints.get(endpoint, (0.0, None))
        return hint or EndpointHint(endpoint=endpoint)

    def _try_reserve(
        self, request: ReserveRequest, member_id: str
    ) -> ReserveReply | None:
        """Returns a final reply, or None while there is no room."""
        ledger = self.ledger(request.endpoint)
        if ledger is None or not self.owns(request.endpoint):
            return ReserveReply(code=ResultCode.NOT_OWNER)
        if self.is_closed(request.endpoint) or ledger.phase in CLOSED_PHASES:
            return ReserveReply(code=ResultCode.NO_ENDPOINT)
        if not can_ever_hold(ledger, request):
            return ReserveReply(code=ResultCode.PROMPT_TOO_LONG)
        if not has_room(ledger, request):
            return None
        self.next_id += 1
        reservation_id = f"{self.view.me.id}/{self.next_id}"
        ledger.grant(request, member_id, reservation_id)
        self._check_cold_bound(ledger)
        return ReserveReply(
            reservation_id=reservation_id, boot_id=ledger.boot_id
        )

    def _check_cold_bound(self, ledger: EndpointLedger) -> None:
        holds = (
            not ledger.is_cold
            or len(ledger.reservations) <= ledger.spec.cold_max_running
        )
        self.invariants.check(holds, Invariant.COLD_BOUND, endpoint=ledger.name)

    def _wake(self, endpoint: str) -> None:
        queue = self.queues.get(endpoint)
        if queue is not None:
            queue.pump()

    def _adopt_hint(self, ledger: EndpointLedger) -> None:
        _, hint = self.hints.get(ledger.name, (0.0, None))
        if hint is not None and hint.phase is not EndpointPhase.LEAVING:
            ledger.phase = EndpointPhase(hint.phase)
            ledger.boot_id = hint.boot_id

    def _mark_down(self, ledger: EndpointLedger) -> None:
        ledger.phase = EndpointPhase.DOWN

    def _note_phase(self, ledger: EndpointLedger, change) -> None:  # noqa: ANN001
        before = ledger.phase
        change()
        if ledger.phase is not before:
            log_event(
                EventId.ENDPOINT_PHASE_CHANGED,
                endpoint=ledger.name,
                before=before.name.lower(),
                after=ledger.phase.name.lower(),
            )

    def _note_running(self, work, sender: str) -> None:  # noqa: ANN001
        ledger = self.ledger(work.endpoint)
        if ledger is None:
            return
        known = ledger.reservations.get(work.reservation_id)
        if known is None:
            request = ReserveRequest(
                endpoint=work.endpoint,
                prompt_tokens=work.tokens,
                length_class=LengthClass(work.length_class),
                team=work.team,
                fingerprint=work.fingerprint,
            )
            known = ledger.grant(request, sender, work.reservation_id)
            known.prefill_tokens = work.prefill_tokens
        known.reported_at = monotonic_s()

    def _drop_unreported(self, sender: str) -> None:
        members = self.settings.members
        silence_s = (
            UNREPORTED_INTERVALS * members.heartbeat_interval_s
            + members.reservation_ttl_s
        )
        oldest = monotonic_s() - silence_s
        for name, ledger in self.ledgers.items():
            gone = [
                r.id
                for r in ledger.reservations.values()
                if r.member_id == sender and r.reported_at < oldest
            ]
            for reservation_id in gone:
                del ledger.reservations[reservation_id]
            if gone:
                self._wake(name)


__all__ = ["OwnerTable"]

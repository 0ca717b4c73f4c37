"""Grants reservations on the endpoints that this daemon owns."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.admission import (
    deadline_overrun_s,
    predicted_wait_s,
    prefill_rate,
)
from auburnswitch.endpoints.admission_controller import (
    MIN_RETRY_AFTER_S,
    AdmissionController,
)
from auburnswitch.endpoints.cold_endpoint_gate import ColdEndpointGate
from auburnswitch.endpoints.hints import HintCache
from auburnswitch.endpoints.ledger import EndpointLedger
from auburnswitch.endpoints.owner_map import OwnerMap
from auburnswitch.endpoints.phase_transitions import PhaseTransitions
from auburnswitch.endpoints.queue import ReservationQueue
from auburnswitch.endpoints.reservation_reconciler import ReservationReconciler
from auburnswitch.endpoints.unschedulable import UnschedulableEndpoints
from auburnswitch.schema.objects import ServiceKind
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
    from collections.abc import Callable

    from auburnswitch.configuration.state import ConfigState
    from auburnswitch.endpoints.load_report import LoadReport
    from auburnswitch.endpoints.rights import StrictOwnership
    from auburnswitch.members.member_view import MemberView
    from auburnswitch.observe.invariants import Invariants
    from auburnswitch.schema.settings import Settings

MAX_REPLY_HINTS: Final = 3
HINT_BATCH_S: Final = 0.05  # heartbeats to peers spread over their interval
_NEVER: Final = float("-inf")


class EndpointManager:
    """The ledgers of this daemon's endpoints.

    Attributes:
        is_struck: Tells by a fingerprint whether a request was in flight at a
            crash.
        rights: Tells whether this daemon is a strict owner.
        cold_gate: Tells whether cold endpoints may be used.
        admission_controller: Decides whether a request gets room.
        owners: Owner of each endpoint by the live view.
        unschedulable: Endpoints that receive no new work.
        hints: Newest hint of each endpoint from its owner.
        ledgers: Ledger by endpoint name; made on first use.
        queues: Waiting requests by endpoint name.
        phase_transitions: Changes the phases of the ledgers.
        reservation_reconciler: Keeps the ledgers in step with the holders'
            reports.
    """

    __slots__ = (
        "admission_controller",
        "cold_gate",
        "hint_batch",
        "hints",
        "invariants",
        "is_struck",
        "ledgers",
        "owners",
        "phase_transitions",
        "queues",
        "reservation_reconciler",
        "rights",
        "settings",
        "state",
        "unschedulable",
        "view",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        view: MemberView,
        state: ConfigState,
        invariants: Invariants,
        rights: StrictOwnership,
    ) -> None:
        self.settings = settings
        self.view = view
        self.state = state
        self.invariants = invariants
        self.rights = rights
        self.cold_gate = ColdEndpointGate(rights=rights)
        self.owners = OwnerMap(view=view, state=state)
        self.unschedulable = UnschedulableEndpoints(state=state)
        self.hints = HintCache()
        self.ledgers: dict[str, EndpointLedger] = {}
        self.queues: dict[str, ReservationQueue] = {}
        self.hint_batch: tuple[float, list[EndpointHint]] = (_NEVER, [])
        self.is_struck: Callable[[str], bool] = lambda _: False
        self.admission_controller = AdmissionController(
            ledgers=self.ledgers,
            routing=settings.routing,
            view=view,
            owns=self.owns,
            is_unschedulable=self.is_unschedulable,
            is_struck=lambda fingerprint: self.is_struck(fingerprint),
            unschedulable=self.unschedulable,
            cold_gate=self.cold_gate,
            rights=rights,
            invariants=invariants,
        )
        state.listeners.append(self.on_config_change)
        self.phase_transitions = PhaseTransitions(
            settings=settings.endpoints,
            hints=self.hints,
            unschedulable=self.unschedulable,
        )
        self.reservation_reconciler = ReservationReconciler(
            settings=settings, view=view, ledgers=self.ledgers, wake=self.wake
        )

    def owner_of(self, endpoint: str) -> str:
        """Returns the live member that owns an endpoint."""
        return self.owners.owner_of(endpoint)

    def owns(self, endpoint: str) -> bool:
        """Tells whether this daemon owns an endpoint."""
        return self.owner_of(endpoint) == self.view.local_member.id

    def owned(self) -> list[str]:
        """Returns the endpoints that this daemon owns."""
        return self.owners.owned()

    def ledger(self, endpoint: str) -> EndpointLedger | None:
        """Returns the ledger of a configured endpoint."""
        spec = self.state.endpoints.get(endpoint)
        if spec is None:
            self.drop_ledger(endpoint)
            return None
        ledger = self.ledgers.get(endpoint)
        if ledger is None:
            ledger = EndpointLedger(name=endpoint, spec=spec)
            self.ledgers[endpoint] = ledger
            self.queues[endpoint] = ReservationQueue(
                try_reserve=self.admission_controller.try_reserve,
                aging_s=self.settings.routing.aging_s,
            )
        ledger.spec = spec
        return ledger

    def drop_ledger(self, endpoint: str) -> None:
        """Forgets an endpoint that this daemon no longer owns."""
        ledger = self.ledgers.pop(endpoint, None)
        if ledger is None:
            return
        if ledger.phase is not EndpointPhase.UNKNOWN:
            self.hints.update(self.build_hint(ledger))
        self.wake(endpoint)
        del self.queues[endpoint]

    def is_unschedulable(self, endpoint: str) -> bool:
        """Tells whether the endpoint may receive no new work."""
        return self.unschedulable.phase(endpoint) is not None

    async def reserve(
        self, request: ReserveRequest, member_id: str
    ) -> ReserveReply:
        """Grants a reservation, waiting for room as long as asked."""
        asked_at = monotonic_s()
        ledger = self.ledger(request.endpoint)
        if ledger is None or not self.owns(request.endpoint):
            return ReserveReply(code=ResultCode.NOT_OWNER)
        wait_s = self._wait_s(ledger, LengthClass(request.length_class))
        refused = _refuse_wait(ledger, request, wait_s)
        if refused is not None and not self.admission_controller.refusal(
            ledger, request
        ):
            refused.hints = self._hints_for(request)
            return refused
        reply: ReserveReply | None = None
        try:
            reply = await self.queues[request.endpoint].reserve(
                request, member_id, max(MIN_RETRY_AFTER_S, wait_s)
            )
            reply.hints = self._hints_for(request)
        finally:
            granted = ledger.find_by_request(request)
            if granted is not None and (
                reply is None or reply.code != ResultCode.OK
            ):
                ledger.end(granted.id)  # nobody waits for the reply
                self.wake(request.endpoint)
        if granted is not None and reply.code == ResultCode.OK:
            reply.waited_s = granted.granted_at - asked_at
        return reply

    def release(self, request: ReleaseRequest) -> ResultCode:
        """Ends a reservation and learns from its outcome."""
        ledger = self.ledgers.get(request.endpoint)
        if ledger is None:
            return ResultCode.OK
        known = ledger.reservations.get(request.reservation_id)
        if known is not None and known.is_released:
            return ResultCode.OK  # released before
        if known is not None and request.used:
            self.phase_transitions.note_outcome(ledger, known, request)
        if known is not None and request.may_still_run:
            known.released_at = monotonic_s()
        else:
            ledger.end(request.reservation_id)
        self.wake(request.endpoint)
        return ResultCode.OK

    def note_progress(
        self, endpoint: str, reservation_id: str, first_token_s: float = 0.0
    ) -> None:
        """Takes note that a reservation's prompt has been prefilled."""
        ledger = self.ledgers.get(endpoint)
        if ledger is None:
            return
        reservation = ledger.reservations.get(reservation_id)
        if reservation is None:
            return
        reservation.prefill_tokens = 0
        self.phase_transitions.note_first_token(
            ledger, reservation, first_token_s
        )
        self.wake(endpoint)

    def note_load(
        self, endpoint: str, report: LoadReport, asked_at: float
    ) -> None:
        """Takes a load report that the owner has read.

        Args:
            endpoint: The endpoint's name.
            report: The report.
            asked_at: Loop time at which it was asked for, in seconds.
        """
        ledger = self.ledger(endpoint)
        if ledger is None:
            return
        self.unschedulable.note_engine_report(endpoint, leaving=report.leaving)
        self.phase_transitions.note_load(ledger, report)
        self.reservation_reconciler.note_load(ledger, report)
        service = self.state.services.get(ledger.spec.service)
        if service is not None and service.kind == ServiceKind.PLAIN:
            # A plain service lists no work; its load report must do.
            ledger.work_listed_at = (
                asked_at - self.settings.endpoints.load_lag_s
            )
        self.cold_gate.update_strict_since(ledger)
        self.wake(endpoint)

    def on_model_load_ordered(self, ledger: EndpointLedger) -> None:
        """Takes note that an engine was told to load a model."""
        self.phase_transitions.mark_cold(ledger)
        self.wake(ledger.name)

    def note_unreachable(self, endpoint: str) -> None:
        """Takes note of a load report that could not be read."""
        ledger = self.ledger(endpoint)
        if ledger is not None:
            self.phase_transitions.note_unreachable(ledger)
            self.wake(endpoint)

    def fill_heartbeat(self, heartbeat: Heartbeat, _: str) -> None:
        """Adds hints of the owned endpoints to a heartbeat."""
        made_at, hints = self.hint_batch
        now = monotonic_s()
        if now >= made_at + HINT_BATCH_S:
            hints = [self.local_hint(name) for name in self.owned()]
            self.hint_batch = (now, hints)
        heartbeat.hints = hints

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes a peer's hints and its running work on owned endpoints."""
        for hint in heartbeat.hints:
            self.hints.update(hint)
        self.reservation_reconciler.note_report(
            heartbeat.sender.id, heartbeat.running
        )

    def on_config_change(self) -> None:
        """Turns what has been closed cold and refuses what waits for it."""
        self.hint_batch = (_NEVER, [])
        for name, ledger in list(self.ledgers.items()):
            if self.is_unschedulable(name):
                self.phase_transitions.mark_cold(ledger)
                self.wake(name)

    def local_hint(self, endpoint: str) -> EndpointHint:
        """Returns what peers should know of an owned endpoint."""
        ledger = self.ledger(endpoint)
        if ledger is None:
            return EndpointHint(endpoint=endpoint)
        return self.build_hint(ledger)

    def latest_hint(self, endpoint: str) -> EndpointHint:
        """Returns the own hint of an owned endpoint, else its owner's."""
        if self.owns(endpoint):
            return self.local_hint(endpoint)
        return self.hints.newest(endpoint) or EndpointHint(endpoint=endpoint)

    def note_paused(self) -> None:
        """Distrusts everything after a pause of this daemon."""
        self.hints.clear()
        for ledger in self.ledgers.values():
            self.phase_transitions.note_paused(ledger)
            ledger.begin_recovery()

    def count_waiting(self) -> int:
        """Returns the requests that wait in the queues of this owner."""
        return sum(len(queue.waiters) for queue in self.queues.values())

    def wake(self, endpoint: str) -> None:
        """Grants what waits and has room now."""
        queue = self.queues.get(endpoint)
        if queue is not None:
            queue.grant_waiting()

    def build_hint(self, ledger: EndpointLedger) -> EndpointHint:
        """Returns what peers should know of a ledger's endpoint."""
        closed = self.unschedulable.phase(ledger.name)
        load = ledger.load
        return EndpointHint(
            endpoint=ledger.name,
            phase=ledger.phase if closed is None else closed,
            free_tokens=ledger.spec.memory_tokens - ledger.reserved_tokens,
            short_wait_s=self._wait_s(ledger, LengthClass.SHORT),
            long_wait_s=self._wait_s(ledger, LengthClass.LONG),
            running=ledger.running,
            max_running=ledger.max_running,
            boot_id=ledger.boot_id,
            successes=ledger.warm_up.successes,
            window=ledger.warm_up.window,
            reported_prefill_tokens=load.prefill_queued_tokens if load else 0,
        )

    def _wait_s(self, ledger: EndpointLedger, length: LengthClass) -> float:
        waiting = 0
        if queue := self.queues.get(ledger.name):
            waiting = queue.waiting_tokens(length)
        wait_s = predicted_wait_s(ledger, length)
        return wait_s + waiting / prefill_rate(ledger)

    def _hints_for(self, request: ReserveRequest) -> list[EndpointHint]:
        names = self.state.endpoints_of(request.service)
        hints = [self.local_hint(name) for name in names if self.owns(name)]
        long = request.length_class == LengthClass.LONG
        hints.sort(key=lambda h: h.long_wait_s if long else h.short_wait_s)
        own = [hint for hint in hints if hint.endpoint == request.endpoint]
        return own + [h for h in hints if h not in own][:MAX_REPLY_HINTS]


def _refuse_wait(
    ledger: EndpointLedger, request: ReserveRequest, wait_s: float
) -> ReserveReply | None:
    """Refuses what would wait longer than its deadline or asker allows."""
    late_s = deadline_overrun_s(ledger, request, wait_s)
    if late_s > 0 and request.time_left_s:
        return ReserveReply(
            code=ResultCode.QUEUE_FULL,
            retry_after_s=max(MIN_RETRY_AFTER_S, late_s),
        )
    if 0 < request.max_start_wait_s < wait_s:
        return ReserveReply(
            code=ResultCode.QUEUE_FULL,
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
        )
    return None


__all__ = ["EndpointManager"]

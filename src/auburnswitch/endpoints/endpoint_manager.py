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
    from auburnswitch.endpoints.endpoint_leases import EndpointLeases
    from auburnswitch.endpoints.load_report import LoadReport
    from auburnswitch.members.member_view import MemberView
    from auburnswitch.observe.invariants import Invariants
    from auburnswitch.schema.settings import Settings

MAX_ALTERNATIVE_HINTS: Final = 3
HINT_BATCH_MAX_AGE_S: Final = 0.05  # shared by heartbeats close in time
_NEVER: Final = float("-inf")


class EndpointManager:
    """Manages the ledgers and queues of the endpoints this daemon owns.

    Attributes:
        has_strikes: Returns whether a request with this fingerprint was in
            flight at a crash.
        leases: Ownership leases of this daemon.
        cold_gate: Decides whether cold endpoints may be used.
        admission_controller: Grants or refuses reservation requests.
        owners: Owner of each endpoint among the live members.
        unschedulable: Endpoints that receive no new work.
        hint_batch: Loop time at which the hints for heartbeats were built, in
            seconds, and the hints.
        hints: Newest hint of each endpoint from its owner.
        ledgers: Ledger by endpoint name; created on first use.
        queues: Queue of waiting requests by endpoint name.
        phase_transitions: Changes the phases of the ledgers.
        reservation_reconciler: Reconciles the ledgers with the holders'
            reports.
    """

    __slots__ = (
        "admission_controller",
        "cold_gate",
        "has_strikes",
        "hint_batch",
        "hints",
        "invariants",
        "leases",
        "ledgers",
        "owners",
        "phase_transitions",
        "queues",
        "reservation_reconciler",
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
        leases: EndpointLeases,
    ) -> None:
        self.settings = settings
        self.view = view
        self.state = state
        self.invariants = invariants
        self.leases = leases
        self.cold_gate = ColdEndpointGate(leases=leases)
        self.owners = OwnerMap(view=view, state=state)
        self.unschedulable = UnschedulableEndpoints(state=state)
        self.hints = HintCache()
        self.ledgers: dict[str, EndpointLedger] = {}
        self.queues: dict[str, ReservationQueue] = {}
        self.hint_batch: tuple[float, list[EndpointHint]] = (_NEVER, [])
        self.has_strikes: Callable[[str], bool] = lambda _: False
        self.admission_controller = AdmissionController(
            ledgers=self.ledgers,
            routing=settings.routing,
            view=view,
            owns=self.owns,
            is_unschedulable=self.is_unschedulable,
            has_strikes=lambda fingerprint: self.has_strikes(fingerprint),
            unschedulable=self.unschedulable,
            cold_gate=self.cold_gate,
            leases=leases,
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
        """Returns whether this daemon owns an endpoint."""
        return self.owner_of(endpoint) == self.view.local_member.id

    def owned(self) -> list[str]:
        """Returns the endpoints that this daemon owns."""
        return self.owners.owned()

    def ledger(self, endpoint: str) -> EndpointLedger | None:
        """Returns the ledger of an endpoint, which is created on first use.

        Returns:
            The ledger; None if the endpoint isn't configured, in which case
            any ledger of it is dropped.
        """
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
        """Removes an endpoint's ledger and refuses its waiting requests."""
        ledger = self.ledgers.pop(endpoint, None)
        if ledger is None:
            return
        if ledger.phase is not EndpointPhase.UNKNOWN:
            self.hints.update(self.build_hint(ledger))
        self.wake(endpoint)
        del self.queues[endpoint]

    def is_unschedulable(self, endpoint: str) -> bool:
        """Returns whether the endpoint may receive no new work."""
        return self.unschedulable.phase(endpoint) is not None

    async def reserve(
        self, request: ReserveRequest, member_id: str
    ) -> ReserveReply:
        """Grants a reservation, waiting for capacity up to `max_wait_s`."""
        requested_at = monotonic_s()
        ledger = self.ledger(request.endpoint)
        if ledger is None or not self.owns(request.endpoint):
            return ReserveReply(code=ResultCode.NOT_OWNER)
        wait_s = self._wait_s(ledger, LengthClass(request.length_class))
        refused = _refuse_excessive_wait(ledger, request, wait_s)
        if refused is not None and not self.admission_controller.refusal_code(
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
                ledger.end(granted.id)  # the requester stopped waiting
                self.wake(request.endpoint)
        if granted is not None and reply.code == ResultCode.OK:
            reply.waited_s = granted.granted_at - requested_at
        return reply

    def release(self, request: ReleaseRequest) -> ResultCode:
        """Ends a reservation and applies its outcome to the phase."""
        ledger = self.ledgers.get(request.endpoint)
        if ledger is None:
            return ResultCode.OK
        reservation = ledger.reservations.get(request.reservation_id)
        if reservation is not None and reservation.is_released:
            return ResultCode.OK
        if reservation is not None and request.used:
            self.phase_transitions.record_outcome(ledger, reservation, request)
        if reservation is not None and request.may_still_run:
            reservation.released_at = monotonic_s()
        else:
            ledger.end(request.reservation_id)
        self.wake(request.endpoint)
        return ResultCode.OK

    def record_prefilled(
        self, endpoint: str, reservation_id: str, first_token_s: float = 0.0
    ) -> None:
        """Records that a reservation's prompt has been prefilled."""
        ledger = self.ledgers.get(endpoint)
        if ledger is None:
            return
        reservation = ledger.reservations.get(reservation_id)
        if reservation is None:
            return
        reservation.prefill_tokens = 0
        self.phase_transitions.record_first_token(
            ledger, reservation, first_token_s
        )
        self.wake(endpoint)

    def on_load_report(
        self, endpoint: str, report: LoadReport, requested_at: float
    ) -> None:
        """Applies a load report that this owner has read.

        Args:
            endpoint: The endpoint's name.
            report: The report.
            requested_at: Loop time of the load request, in seconds.
        """
        ledger = self.ledger(endpoint)
        if ledger is None:
            return
        self.unschedulable.record_engine_report(
            endpoint, leaving=report.leaving
        )
        self.phase_transitions.on_load_report(ledger, report)
        self.reservation_reconciler.on_load_report(ledger, report)
        service = self.state.services.get(ledger.spec.service)
        if service is not None and service.kind == ServiceKind.PLAIN:
            # A plain service lists no work; its load report is used instead.
            ledger.work_listed_at = (
                requested_at - self.settings.endpoints.load_lag_s
            )
        self.cold_gate.update_lease_held_since(ledger)
        self.wake(endpoint)

    def on_model_load_ordered(self, ledger: EndpointLedger) -> None:
        """Marks an endpoint cold after an order to load a model."""
        self.phase_transitions.mark_cold(ledger)
        self.wake(ledger.name)

    def record_unreachable(self, endpoint: str) -> None:
        """Records a load report that could not be read."""
        ledger = self.ledger(endpoint)
        if ledger is not None:
            self.phase_transitions.record_unreachable(ledger)
            self.wake(endpoint)

    def fill_heartbeat(self, heartbeat: Heartbeat, _: str) -> None:
        """Adds hints of the owned endpoints to a heartbeat."""
        built_at, hints = self.hint_batch
        now = monotonic_s()
        if now >= built_at + HINT_BATCH_MAX_AGE_S:
            hints = [self.local_hint(name) for name in self.owned()]
            self.hint_batch = (now, hints)
        heartbeat.hints = hints

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Applies a peer's hints and its running work on owned endpoints."""
        for hint in heartbeat.hints:
            self.hints.update(hint)
        self.reservation_reconciler.record_report(
            heartbeat.sender.id, heartbeat.running
        )

    def on_config_change(self) -> None:
        """Marks unschedulable endpoints cold, refusing queued requests."""
        self.hint_batch = (_NEVER, [])
        for name, ledger in list(self.ledgers.items()):
            if self.is_unschedulable(name):
                self.phase_transitions.mark_cold(ledger)
                self.wake(name)

    def local_hint(self, endpoint: str) -> EndpointHint:
        """Returns the hint of an owned endpoint to send to peers."""
        ledger = self.ledger(endpoint)
        if ledger is None:
            return EndpointHint(endpoint=endpoint)
        return self.build_hint(ledger)

    def latest_hint(self, endpoint: str) -> EndpointHint:
        """Returns the local hint of an owned endpoint, else the owner's."""
        if self.owns(endpoint):
            return self.local_hint(endpoint)
        return self.hints.newest(endpoint) or EndpointHint(endpoint=endpoint)

    def on_pause(self) -> None:
        """Discards hints and phases and restarts recovery after a pause.

        Hints and phases may be out of date then.
        """
        self.hints.clear()
        for ledger in self.ledgers.values():
            self.phase_transitions.on_pause(ledger)
            ledger.begin_recovery()

    def count_waiting(self) -> int:
        """Returns the number of requests queued at this owner."""
        return sum(len(queue.waiters) for queue in self.queues.values())

    def wake(self, endpoint: str) -> None:
        """Grants the endpoint's queued requests that fit now."""
        queue = self.queues.get(endpoint)
        if queue is not None:
            queue.grant_waiting()

    def build_hint(self, ledger: EndpointLedger) -> EndpointHint:
        """Returns the hint of a ledger's endpoint."""
        override = self.unschedulable.phase(ledger.name)
        load = ledger.load
        return EndpointHint(
            endpoint=ledger.name,
            phase=ledger.phase if override is None else override,
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
        queued_tokens = 0
        if queue := self.queues.get(ledger.name):
            queued_tokens = queue.waiting_tokens(length)
        wait_s = predicted_wait_s(ledger, length)
        return wait_s + queued_tokens / prefill_rate(ledger)

    def _hints_for(self, request: ReserveRequest) -> list[EndpointHint]:
        names = self.state.endpoints_of(request.service)
        hints = [self.local_hint(name) for name in names if self.owns(name)]
        long = request.length_class == LengthClass.LONG
        hints.sort(key=lambda h: h.long_wait_s if long else h.short_wait_s)
        requested = [
            hint for hint in hints if hint.endpoint == request.endpoint
        ]
        return (
            requested
            + [h for h in hints if h not in requested][:MAX_ALTERNATIVE_HINTS]
        )


def _refuse_excessive_wait(
    ledger: EndpointLedger, request: ReserveRequest, wait_s: float
) -> ReserveReply | None:
    """Refuses a wait beyond the request's deadline or its maximum wait.

    Returns:
        The refusal, or None if the wait is acceptable.
    """
    overrun_s = deadline_overrun_s(ledger, request, wait_s)
    if overrun_s > 0 and request.time_left_s:
        return ReserveReply(
            code=ResultCode.QUEUE_FULL,
            retry_after_s=max(MIN_RETRY_AFTER_S, overrun_s),
        )
    if 0 < request.max_start_wait_s < wait_s:
        return ReserveReply(
            code=ResultCode.QUEUE_FULL,
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
        )
    return None


__all__ = ["EndpointManager"]

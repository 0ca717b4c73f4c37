"""Tracks the work that an owner has granted on one endpoint."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.backlog import PrefillBacklog
from auburnswitch.endpoints.phases import (
    UNSCHEDULABLE_PHASES,
    LoadLimits,
    WarmUpState,
)
from auburnswitch.endpoints.reservation import (
    Reservation,
    reservation_from_report,
)
from auburnswitch.schema.peers import (
    EndpointPhase,
    LengthClass,
    ReserveRequest,
    RunningWork,
)

if TYPE_CHECKING:
    from auburnswitch.endpoints.load_report import LoadReport
    from auburnswitch.schema.objects import Endpoint

MAX_ENDED_RESERVATIONS: Final = 1024
_NEVER: Final = float("-inf")


class EndpointLedger:
    """The reservations and the phase of one endpoint.

    Attributes:
        name: The endpoint's name.
        spec: The endpoint as configured.
        warm_up: The endpoint's phase and load limits.
        backlog: Estimated prefill progress of the granted prompts.
        reservations: Granted reservations by id.
        ended: Ids of recently ended reservations.
        ended_attempts: Request ids and attempts of those reservations.
        unreserved_tokens: Tokens of the endpoint's work that no reservation
            covers, by resource.
        load: Newest load report that this owner has read.
        load_failures: Consecutive load reports that could not be read.
        recovery_started_at: Loop time of the takeover, or of the end of this
            daemon's last pause, in seconds.
        work_listed_at: Loop time of the request for the newest list of the
            endpoint's work, in seconds.
        lease_held_since: Loop time at which the current ownership lease was
            first observed, in seconds, None without a lease.
        recovering: Whether peers may still have unreported work on the
            endpoint.
    """

    __slots__ = (
        "backlog",
        "ended",
        "ended_attempts",
        "lease_held_since",
        "load",
        "load_failures",
        "name",
        "recovering",
        "recovery_started_at",
        "reservations",
        "spec",
        "unreserved_tokens",
        "warm_up",
        "work_listed_at",
    )

    def __init__(self, *, name: str, spec: Endpoint) -> None:
        self.name = name
        self.spec = spec
        self.warm_up = WarmUpState()
        self.backlog = PrefillBacklog()
        self.reservations: dict[str, Reservation] = {}
        self.ended: OrderedDict[str, None] = OrderedDict()
        self.ended_attempts: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.unreserved_tokens: dict[str, int] = {}
        self.lease_held_since: float | None = None
        self.load: LoadReport | None = None
        self.load_failures = 0
        self.recovery_started_at = monotonic_s()
        self.work_listed_at = _NEVER
        self.recovering = True

    @property
    def phase(self) -> EndpointPhase:
        """The endpoint's phase, which sets its load limits."""
        return self.warm_up.phase

    @property
    def boot_id(self) -> str:
        """Boot id of the endpoint's current incarnation."""
        return self.warm_up.boot_id

    @property
    def is_cold(self) -> bool:
        """Whether the limits of a cold endpoint apply."""
        return self.warm_up.requires_lease

    @property
    def limits(self) -> LoadLimits:
        """The current load limits, reduced during recovery."""
        limits = self.warm_up.limits(self.spec)
        if self.recovering and not self.is_cold:
            limits.running = max(1, limits.running // 2)
        return limits

    @property
    def max_running(self) -> int:
        """Requests that may run concurrently in the current phase."""
        return self.limits.running

    @property
    def running(self) -> int:
        """Granted requests and those that no reservation covers."""
        return len(self.reservations) + self.unreserved_count

    @property
    def unreserved_count(self) -> int:
        """Requests on the endpoint that no reservation covers.

        Load reports count only during recovery, since they lag.
        """
        if not self.recovering or self.load is None:
            return len(self.unreserved_tokens)
        reported = self.load.running + self.load.waiting
        return max(
            len(self.unreserved_tokens), reported - len(self.reservations)
        )

    @property
    def is_work_listed(self) -> bool:
        """Whether the endpoint's work was listed since the lease began."""
        if self.lease_held_since is None:
            return False
        return self.work_listed_at >= self.lease_held_since

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens of all known work."""
        granted = sum(r.prompt_tokens for r in self.reservations.values())
        return granted + sum(self.unreserved_tokens.values())

    @property
    def reserved_tokens(self) -> int:
        """Memory reserved for all known work, in tokens."""
        granted = sum(r.tokens for r in self.reservations.values())
        return granted + sum(self.unreserved_tokens.values())

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens granted and not yet prefilled."""
        return sum(r.prefill_tokens for r in self.reservations.values())

    def begin_recovery(self) -> None:
        """Starts to wait for the reports of every live member."""
        self.recovery_started_at = monotonic_s()
        self.recovering = True
        self.lease_held_since = None

    def admits(self, request: ReserveRequest) -> bool:
        """Returns whether the phase allows one more request."""
        limits = self.limits
        if self.running >= limits.running:
            return False
        if not self.is_cold:
            return self.prompt_tokens < limits.prompt_tokens
        tokens = self.prompt_tokens + request.prompt_tokens
        return tokens <= limits.prompt_tokens

    def admits_when_idle(self, request: ReserveRequest) -> bool:
        """Returns whether the phase allows a request on an idle endpoint."""
        if not self.is_cold:
            return True  # a single request may exceed the token limit
        return request.prompt_tokens <= self.limits.prompt_tokens

    def grant(
        self, request: ReserveRequest, member_id: str, reservation_id: str
    ) -> Reservation:
        """Creates the reservation of a request that fits."""
        reservation = Reservation(
            id=reservation_id,
            member_id=member_id,
            tokens=request.prompt_tokens + request.answer_tokens,
            prompt_tokens=request.prompt_tokens,
            prefill_tokens=request.prompt_tokens - request.cached_tokens,
            length_class=LengthClass(request.length_class),
            team=request.team,
            fingerprint=request.fingerprint,
            request_id=request.request_id,
            boot_id=self.boot_id,
            generation=self.warm_up.generation,
        )
        reservation.request = request
        self.reservations[reservation_id] = reservation
        return reservation

    def record_reported_work(self, work: RunningWork, member_id: str) -> None:
        """Records a holder's report of one reservation."""
        if work.reservation_id in self.ended:
            return  # the report was sent before the release
        reservation = self.reservations.get(work.reservation_id)
        if reservation is None:
            reservation = reservation_from_report(work, member_id, self.warm_up)
            self.reservations[reservation.id] = reservation
        reservation.attempt = work.attempt or reservation.attempt
        reservation.prefill_tokens = min(
            reservation.prefill_tokens, work.prefill_tokens
        )
        reservation.reported_at = monotonic_s()
        reservation.missed_reports = 0

    def end(self, reservation_id: str) -> Reservation | None:
        """Ends a reservation; returns it unless it has already ended."""
        _add_bounded(self.ended, reservation_id)
        reservation = self.reservations.pop(reservation_id, None)
        if reservation is not None:
            attempt = (reservation.request_id, reservation.attempt)
            _add_bounded(self.ended_attempts, attempt)
        return reservation

    def find_by_request(self, request: ReserveRequest) -> Reservation | None:
        """Returns the reservation granted to this request object, if any."""
        for reservation in self.reservations.values():
            if reservation.request is request:
                return reservation
        return None


def _add_bounded(entries: OrderedDict[Any, None], key: Any) -> None:
    entries[key] = None
    if len(entries) > MAX_ENDED_RESERVATIONS:
        entries.popitem(last=False)


__all__ = ["UNSCHEDULABLE_PHASES", "EndpointLedger", "Reservation"]

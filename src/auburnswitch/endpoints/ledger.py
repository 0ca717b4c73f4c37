"""Work granted on one endpoint by its owner."""

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

MAX_ENDED_KEPT: Final = 1024
_NEVER: Final = float("-inf")


class EndpointLedger:
    """The reservations and the phase of one endpoint.

    Attributes:
        name: The endpoint's name.
        spec: The endpoint as configured.
        warm_up: What load the endpoint can bear.
        backlog: How far the endpoint has come with the prompts.
        reservations: Granted room, by reservation id.
        ended: Ids of reservations that ended lately.
        ended_attempts: Their requests and attempts.
        unreserved_tokens: Tokens of the endpoint's work that no reservation
            covers, by resource.
        load: Newest load report that this owner has read.
        load_failures: Load reports in a row that could not be read.
        recovery_started_at: When this daemon became the owner, in seconds of
            loop time.
        work_listed_at: When the endpoint's streams were last compared, in
            seconds of loop time.
        strict_since: When the present strict rights were first seen, in
            seconds of loop time, None without them.
        recovering: Peers may still have unreported work on the endpoint.
    """

    __slots__ = (
        "backlog",
        "ended",
        "ended_attempts",
        "load",
        "load_failures",
        "name",
        "recovering",
        "recovery_started_at",
        "reservations",
        "spec",
        "strict_since",
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
        self.strict_since: float | None = None
        self.load: LoadReport | None = None
        self.load_failures = 0
        self.recovery_started_at = monotonic_s()
        self.work_listed_at = _NEVER
        self.recovering = True

    @property
    def phase(self) -> EndpointPhase:
        """What load the endpoint can bear."""
        return self.warm_up.phase

    @property
    def boot_id(self) -> str:
        """The endpoint's present start."""
        return self.warm_up.boot_id

    @property
    def is_cold(self) -> bool:
        """Whether only the small bound of a cold endpoint may be used."""
        return self.warm_up.is_strict

    @property
    def limits(self) -> LoadLimits:
        """The most work at present; less while a take-over settles."""
        limits = self.warm_up.limits(self.spec)
        if self.recovering and not self.is_cold:
            limits.running = max(1, limits.running // 2)
        return limits

    @property
    def max_running(self) -> int:
        """Requests that may run at one time in the present phase."""
        return self.limits.running

    @property
    def running(self) -> int:
        """Requests granted, or at least those that the endpoint reports."""
        return len(self.reservations) + self.unreserved_count

    @property
    def unreserved_count(self) -> int:
        """Requests on the endpoint that no reservation covers.

        Load reports count while a take-over settles only, since they lag.
        """
        if not self.recovering or self.load is None:
            return len(self.unreserved_tokens)
        reported = self.load.running + self.load.waiting
        return max(
            len(self.unreserved_tokens), reported - len(self.reservations)
        )

    @property
    def is_work_listed(self) -> bool:
        """Whether the endpoint's work was listed since rights are strict."""
        if self.strict_since is None:
            return False
        return self.work_listed_at >= self.strict_since

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens of all work that is known."""
        granted = sum(r.prompt_tokens for r in self.reservations.values())
        return granted + sum(self.unreserved_tokens.values())

    @property
    def reserved_tokens(self) -> int:
        """Memory taken by all work that is known, in tokens."""
        granted = sum(r.tokens for r in self.reservations.values())
        return granted + sum(self.unreserved_tokens.values())

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens granted and not yet prefilled."""
        return sum(r.prefill_tokens for r in self.reservations.values())

    def begin_recovery(self) -> None:
        """Waits again for the reports of every live member."""
        self.recovery_started_at = monotonic_s()
        self.recovering = True
        self.strict_since = None

    def admits(self, request: ReserveRequest) -> bool:
        """Tells whether the phase allows one more request."""
        limits = self.limits
        if self.running >= limits.running:
            return False
        if not self.is_cold:
            return self.prompt_tokens < limits.prompt_tokens
        tokens = self.prompt_tokens + request.prompt_tokens
        return tokens <= limits.prompt_tokens

    def admits_when_idle(self, request: ReserveRequest) -> bool:
        """Tells whether the phase allows a request when nothing else runs."""
        if not self.is_cold:
            return True  # one request may be larger than the risen bound
        return request.prompt_tokens <= self.limits.prompt_tokens

    def grant(
        self, request: ReserveRequest, member_id: str, reservation_id: str
    ) -> Reservation:
        """Grants room to a request that fits."""
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
        """Takes a holder's report of one reservation."""
        if work.reservation_id in self.ended:
            return  # the report crossed its release
        known = self.reservations.get(work.reservation_id)
        if known is None:
            known = reservation_from_report(work, member_id, self.warm_up)
            self.reservations[known.id] = known
        known.attempt = work.attempt or known.attempt
        known.prefill_tokens = min(known.prefill_tokens, work.prefill_tokens)
        known.reported_at = monotonic_s()
        known.missed_reports = 0

    def end(self, reservation_id: str) -> Reservation | None:
        """Ends a reservation; returns it if it had not ended before."""
        _remember(self.ended, reservation_id)
        reservation = self.reservations.pop(reservation_id, None)
        if reservation is not None:
            attempt = (reservation.request_id, reservation.attempt)
            _remember(self.ended_attempts, attempt)
        return reservation

    def find_by_request(self, request: ReserveRequest) -> Reservation | None:
        """Returns the reservation granted to one call, if there is one."""
        for reservation in self.reservations.values():
            if reservation.request is request:
                return reservation
        return None


def _remember(entries: OrderedDict[Any, None], key: Any) -> None:
    entries[key] = None
    if len(entries) > MAX_ENDED_KEPT:
        entries.popitem(last=False)


__all__ = ["UNSCHEDULABLE_PHASES", "EndpointLedger", "Reservation"]

"""Work granted on one endpoint by its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.peers import EndpointPhase, LengthClass

if TYPE_CHECKING:
    from auburnswitch.schema.objects import Endpoint
    from auburnswitch.schema.peers import ReserveRequest

CLOSED_PHASES: Final = (
    EndpointPhase.LEAVING,
    EndpointPhase.OUT,
    EndpointPhase.DOWN,
)
_COLD_PHASES: Final = (EndpointPhase.UNKNOWN, EndpointPhase.COLD)


class Reservation:
    """Room granted on an endpoint.

    Attributes:
        id: Identifies the reservation.
        member_id: Daemon that holds it.
        tokens: Memory it takes, in tokens.
        prefill_tokens: Prompt tokens not yet prefilled.
        granted_at: When it was granted, in seconds of loop time.
        reported_at: When its holder last reported it, in seconds of loop time.
    """

    __slots__ = (
        "fingerprint",
        "granted_at",
        "id",
        "length_class",
        "member_id",
        "prefill_tokens",
        "reported_at",
        "team",
        "tokens",
    )

    def __init__(
        self,
        *,
        id: str,
        member_id: str,
        tokens: int,
        prefill_tokens: int,
        length_class: LengthClass,
        team: str,
        fingerprint: str,
    ) -> None:
        self.id = id
        self.member_id = member_id
        self.tokens = tokens
        self.prefill_tokens = prefill_tokens
        self.length_class = length_class
        self.team = team
        self.fingerprint = fingerprint
        self.granted_at = monotonic_s()
        self.reported_at = self.granted_at


class EndpointLedger:
    """The reservations and the phase of one endpoint.

    Attributes:
        name: The endpoint's name.
        spec: The endpoint as configured.
        phase: What load the endpoint can bear.
        boot_id: The endpoint's present start.
        successes: Requests that succeeded since it was cold.
        reservations: Granted room, by reservation id.
        reported_prefill_tokens: Tokens still to prefill by the last report.
    """

    __slots__ = (
        "boot_id",
        "load_failures",
        "name",
        "phase",
        "reported_prefill_tokens",
        "reservations",
        "spec",
        "successes",
    )

    def __init__(self, *, name: str, spec: Endpoint) -> None:
        self.name = name
        self.spec = spec
        self.phase = EndpointPhase.UNKNOWN
        self.boot_id = ""
        self.successes = 0
        self.load_failures = 0
        self.reported_prefill_tokens = 0
        self.reservations: dict[str, Reservation] = {}

    @property
    def is_cold(self) -> bool:
        """Whether only the small bound of a cold endpoint may be used."""
        return self.phase in _COLD_PHASES

    @property
    def max_running(self) -> int:
        """Requests that may run at one time in the present phase."""
        if self.is_cold:
            return self.spec.cold_max_running
        return self.spec.max_running

    @property
    def reserved_tokens(self) -> int:
        """Memory granted, in tokens."""
        return sum(r.tokens for r in self.reservations.values())

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens granted and not yet prefilled."""
        return sum(r.prefill_tokens for r in self.reservations.values())

    def grant(
        self, request: ReserveRequest, member_id: str, reservation_id: str
    ) -> Reservation:
        """Grants room to a request that fits."""
        reservation = Reservation(
            id=reservation_id,
            member_id=member_id,
            tokens=request.prompt_tokens + request.answer_tokens,
            prefill_tokens=request.prompt_tokens - request.cached_tokens,
            length_class=LengthClass(request.length_class),
            team=request.team,
            fingerprint=request.fingerprint,
        )
        self.reservations[reservation_id] = reservation
        return reservation

    def note_success(self) -> None:
        """Counts a success, which lets a cold endpoint bear more."""
        self.successes += 1
        if self.is_cold and self.successes >= self.spec.warm_after:
            self.phase = EndpointPhase.WARM

    def note_cold(self, boot_id: str) -> None:
        """Takes note of a new start of the endpoint."""
        self.boot_id = boot_id
        self.successes = 0
        self.phase = EndpointPhase.COLD


__all__ = ["CLOSED_PHASES", "EndpointLedger", "Reservation"]

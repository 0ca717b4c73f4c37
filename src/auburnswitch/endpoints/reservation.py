"""Represents the reservations that an owner has granted on an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.peers import LengthClass, RunningWork

if TYPE_CHECKING:
    from auburnswitch.endpoints.phases import WarmUpState
    from auburnswitch.schema.peers import ReserveRequest


class Reservation:
    """Capacity granted on an endpoint.

    Attributes:
        id: Id of the reservation.
        member_id: Daemon that holds it.
        tokens: Reserved memory, in tokens.
        prompt_tokens: Prompt tokens, prefilled or not.
        prefill_tokens: Prompt tokens not yet prefilled.
        request_id: Request that it was granted for.
        attempt: Attempt that was dispatched, 0 if none is known.
        boot_id: Boot id of the endpoint at the grant.
        generation: Number of times that the endpoint had become cold before
            the grant.
        expected_first_token_s: Expected time to the first token, in seconds.
        granted_at: Loop time of the grant, in seconds.
        reported_at: Loop time of its holder's newest report of it, in seconds.
        missed_reports: Consecutive reports of its holder that omit it.
        released_at: Loop time at which its holder released it while the
            endpoint may still run its work, in seconds, None before that.
        request: The original request, if this daemon granted it.
    """

    __slots__ = (
        "attempt",
        "boot_id",
        "expected_first_token_s",
        "fingerprint",
        "generation",
        "granted_at",
        "id",
        "length_class",
        "member_id",
        "missed_reports",
        "prefill_tokens",
        "prompt_tokens",
        "released_at",
        "reported_at",
        "request",
        "request_id",
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
        prompt_tokens: int = 0,
        request_id: str = "",
        attempt: int = 0,
        boot_id: str = "",
        generation: int = 0,
    ) -> None:
        self.id = id
        self.member_id = member_id
        self.tokens = tokens
        self.prompt_tokens = prompt_tokens
        self.prefill_tokens = prefill_tokens
        self.length_class = length_class
        self.team = team
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.attempt = attempt
        self.boot_id = boot_id
        self.generation = generation
        self.expected_first_token_s = 0.0
        self.granted_at = monotonic_s()
        self.reported_at = self.granted_at
        self.missed_reports = 0
        self.released_at: float | None = None
        self.request: ReserveRequest | None = None

    @property
    def is_released(self) -> bool:
        """Whether it was released while its work may still run."""
        return self.released_at is not None

    def to_work(self, endpoint: str) -> RunningWork:
        """Returns the reservation as its holder would report it."""
        return RunningWork(
            endpoint=endpoint,
            reservation_id=self.id,
            tokens=self.tokens,
            prompt_tokens=self.prompt_tokens,
            prefill_tokens=self.prefill_tokens,
            length_class=self.length_class,
            team=self.team,
            fingerprint=self.fingerprint,
            request_id=self.request_id,
            attempt=self.attempt,
        )


def reservation_from_report(
    work: RunningWork, member_id: str, warm_up: WarmUpState
) -> Reservation:
    """Builds a reservation from its holder's report."""
    return Reservation(
        id=work.reservation_id,
        member_id=member_id,
        tokens=work.tokens,
        prompt_tokens=work.prompt_tokens or work.tokens,
        prefill_tokens=work.prefill_tokens,
        length_class=LengthClass(work.length_class),
        team=work.team,
        fingerprint=work.fingerprint,
        request_id=work.request_id,
        attempt=work.attempt,
        boot_id=warm_up.boot_id,
        generation=warm_up.generation,
    )


__all__ = ["Reservation", "reservation_from_report"]

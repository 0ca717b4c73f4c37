"""A request on its way to an endpoint."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.schema.peers import LengthClass


@dataclass(slots=True, kw_only=True)
class RoutedRequest:
    """A checked request of one team.

    Attributes:
        id: Request id, known to the caller.
        team: Team that pays for it.
        team_weight: The team's share of a full fleet.
        service: Service that runs it.
        deadline_at: Loop time by which it must end, in seconds.
        prompt_tokens: Estimated tokens of the prompt.
        answer_tokens: Most tokens of the answer.
        length_class: Class of the prompt's length.
        fingerprint: Hash of team and body, for crash strikes.
        path: Path at the endpoint.
        body: JSON body for the endpoint.
        idempotent: Whether it may be run again.
        max_attempts: Attempts allowed.
        allow_continuation: A broken answer may go on at another endpoint.
        attempts: Attempts made so far.
        dispatched: Some byte of it may have reached an endpoint.
    """

    id: str
    team: str
    team_weight: float
    service: str
    deadline_at: float
    prompt_tokens: int
    answer_tokens: int
    length_class: LengthClass
    fingerprint: str
    path: str
    body: dict[str, Any] = field(default_factory=dict)
    idempotent: bool = True
    max_attempts: int = 1
    allow_continuation: bool = False
    attempts: int = 0
    dispatched: bool = False

    def time_left_s(self) -> float:
        """Returns the time until the deadline, in seconds."""
        return self.deadline_at - monotonic_s()


def compute_fingerprint(team: str, body: bytes) -> str:
    """Returns the hash that recognises a request sent again."""
    digest = hashlib.blake2b(team.encode() + b"\0", digest_size=12)
    digest.update(body)
    return digest.hexdigest()


__all__ = ["RoutedRequest", "compute_fingerprint"]

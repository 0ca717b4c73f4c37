"""Represents a caller's request as it is routed to an endpoint."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.schema.peers import LengthClass


@dataclass(slots=True, kw_only=True)
class RoutedRequest:
    """A validated request of one team.

    Attributes:
        id: Request id, which the caller also gets.
        team: Team that the usage is charged to.
        team_weight: Weight of the team's share of a fleet at capacity.
        service: Service that runs the request.
        deadline_at: Loop time by which the request must end, in seconds.
        prompt_tokens: Estimated number of prompt tokens.
        answer_tokens: Maximum number of answer tokens.
        length_class: Length class of the prompt.
        fingerprint: Hash of team and body, for crash strikes.
        path: URL path at the endpoint.
        body: JSON body for the endpoint.
        idempotent: Whether the request may run more than once.
        max_attempts: Maximum number of attempts.
        allow_continuation: Whether another endpoint may continue a broken
            answer.
        attempts: Number of attempts made so far.
        dispatched: Whether a byte of the request may have reached an endpoint.
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
    """Returns a hash that identifies a request when it is sent again."""
    digest = hashlib.blake2b(team.encode() + b"\0", digest_size=12)
    digest.update(body)
    return digest.hexdigest()


__all__ = ["RoutedRequest", "compute_fingerprint"]

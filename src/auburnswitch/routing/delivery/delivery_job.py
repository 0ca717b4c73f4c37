"""Holds the state of a caller's request while it is being delivered."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.installation import RequestKind

if TYPE_CHECKING:
    from auburnswitch.platform.requests import CallerRequest
    from auburnswitch.schema.installation import Route, Service


@dataclass(slots=True, kw_only=True)
class DeliveryJob:
    """A caller's request with its route, deadlines and attempts.

    Attributes:
        request: The request.
        body: The complete request body.
        route: Route in the configuration at the request's arrival.
        service: Service that runs the request.
        team: Team of the caller, empty if the request needs none.
        arrived_at: Loop time of the request's arrival, in seconds.
        deadline_at: Loop time by which the request must be answered, in
            seconds.
        caller_deadline_at: Loop time until which the caller waits, in seconds.
        fingerprint: Identifies the request when it is sent again.
        parts: Identify the parts of its prompt that others may share.
        attempts: Number of attempts that count as sent to an endpoint.
        excluded: Endpoints that must not be tried again.
    """

    request: CallerRequest
    body: bytes
    route: Route
    service: Service
    team: str
    arrived_at: float
    deadline_at: float
    caller_deadline_at: float
    fingerprint: str = ""
    parts: tuple[str, ...] = ()
    attempts: int = 0
    excluded: set[str] = field(default_factory=set)

    @property
    def retryable(self) -> bool:
        """Whether the request may run more than once."""
        match self.route.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAM:
                return self.route.resumable
        return False

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind == RequestKind.STREAM

    def time_left_s(self) -> float:
        """Returns the time until the deadline, in seconds."""
        return self.deadline_at - monotonic_s()

    def target_time_left_s(self) -> float:
        """Returns the time left until the target latency, in seconds."""
        elapsed_s = monotonic_s() - self.arrived_at
        return self.route.target_latency_s - elapsed_s


__all__ = ["DeliveryJob"]

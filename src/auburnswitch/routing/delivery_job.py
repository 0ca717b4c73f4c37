"""A caller's request on its way to endpoints."""

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
    """One attempt of a caller, with all that was decided about it.

    Attributes:
        request: The request.
        body: Its whole body.
        route: Route as of the configuration at its arrival.
        service: Service that runs it.
        team: Team of the caller, empty if it needs none.
        arrived_at: Loop time of its arrival, in seconds.
        deadline_at: Loop time by which it must be answered.
        caller_deadline_at: Loop time until which the caller waits.
        fingerprint: Recognises the request when it comes again.
        attempts: Endpoints that it was sent to.
        excluded: Endpoints that have failed it.
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
    attempts: int = 0
    excluded: set[str] = field(default_factory=set)

    @property
    def retryable(self) -> bool:
        """Whether it may run more than once."""
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
        """Returns the time until it must be answered, in seconds."""
        return self.deadline_at - monotonic_s()

    def target_time_left_s(self) -> float:
        """Returns the time left in which an answer is worth most."""
        passed_s = monotonic_s() - self.arrived_at
        return self.route.target_latency_s - passed_s


__all__ = ["DeliveryJob"]

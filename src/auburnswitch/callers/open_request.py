"""Describes a caller's request whose response is not complete."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from auburnswitch.callers.caller_writer import CallerWriter
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob

_MS_PER_S: Final = 1000.0


@dataclass(slots=True, kw_only=True, eq=False)
class OpenRequest:
    """A request of a caller until its response is complete.

    Attributes:
        id: Id of the request.
        arrived_at: Loop time of the request's arrival, in seconds.
        writer: Writes the response.
        job: The request once it has been read and routed.
    """

    id: str
    arrived_at: float
    writer: CallerWriter
    job: DeliveryJob | None = None

    def log_unfinished(self, stopping_at: float, now: float) -> None:
        """Logs the state of the request at the end of a stop.

        Args:
            stopping_at: Loop time of the stop signal, in seconds.
            now: Loop time, in seconds.
        """
        log_event(
            EventId.REQUEST_UNFINISHED,
            request=self.id,
            age_ms=round((now - self.arrived_at) * _MS_PER_S, 1),
            since_stop_ms=since_stop_ms(self.arrived_at, stopping_at),
            attempts=self.job.attempts if self.job else 0,
            response_started=self.writer.started,
        )


def since_stop_ms(arrived_at: float, stopping_at: float | None) -> float | None:
    """Returns the time between the stop signal and an arrival.

    Args:
        arrived_at: Loop time of the request's arrival, in seconds.
        stopping_at: Loop time of the stop signal, None without one.

    Returns:
        The time in milliseconds, negative for an earlier request; None
        without a stop signal.
    """
    if stopping_at is None:
        return None
    return round((arrived_at - stopping_at) * _MS_PER_S, 1)


__all__ = ["OpenRequest", "since_stop_ms"]

"""Decides which requests a stopping daemon still sends to endpoints."""

from __future__ import annotations

import math
from typing import Final

from auburnswitch.clock import monotonic_s

EXIT_MARGIN_S: Final = 1.0  # for the exit after the last answer
MAX_EXIT_MARGIN_SHARE: Final = 1 / 7  # of the grace time
DEREGISTRATION_DELAY_S: Final = 2.6  # until no new connections arrive
MAX_DEREGISTRATION_SHARE: Final = 1 / 3  # of the grace time


class StopDeadline:
    """The end of a planned stop, by which every response must be complete.

    Before the stop signal every request may be sent. While new connections
    still arrive, a stopping daemon sends the requests that are expected to end
    in time. After that it accepts only those whose own deadline is earlier than
    the end of the stop: a caller that reuses its connection loses nothing by a
    refusal, as another daemon serves it at once. A request that has been
    accepted is retried as long as it is expected to end in time.

    Attributes:
        stopping_at: Loop time of the stop signal, in seconds; None before it.
        deregistered_at: Loop time from which no new connections are expected,
            in seconds; infinite before the signal.
        ends_at: Loop time at which the last response must be complete, in
            seconds; infinite before the signal.
        ended: Whether no further request is sent and those in flight are cut
            off.
    """

    __slots__ = ("deregistered_at", "ended", "ends_at", "stopping_at")

    def __init__(self) -> None:
        self.stopping_at: float | None = None
        self.deregistered_at = math.inf
        self.ends_at = math.inf
        self.ended = False

    def begin(self, grace_s: float) -> None:
        """Begins the stop.

        Args:
            grace_s: Time from now until the process is killed, in seconds.
        """
        now = monotonic_s()
        margin_s = min(EXIT_MARGIN_S, grace_s * MAX_EXIT_MARGIN_SHARE)
        delay_s = min(
            DEREGISTRATION_DELAY_S, grace_s * MAX_DEREGISTRATION_SHARE
        )
        self.stopping_at = now
        self.deregistered_at = now + delay_s
        self.ends_at = now + grace_s - margin_s

    def end(self) -> None:
        """Ends the stop now: no further request is sent."""
        self.ended = True
        self.deregistered_at = self.ends_at = monotonic_s()

    @property
    def stopping(self) -> bool:
        """Whether the stop signal has been received."""
        return self.stopping_at is not None

    def may_begin(self, deadline_at: float) -> bool:
        """Returns whether a request may be sent if it is short enough.

        Args:
            deadline_at: Loop time of the request's deadline, in seconds.
        """
        return (
            deadline_at <= self.ends_at or monotonic_s() < self.deregistered_at
        )

    def may_send(
        self, deadline_at: float, duration_s: float, *, is_retry: bool = False
    ) -> bool:
        """Returns whether a request may be sent to an endpoint.

        Args:
            deadline_at: Loop time of the request's deadline, in seconds.
            duration_s: Expected time until the answer is complete, in seconds.
            is_retry: Whether an endpoint may already have run the request, so
                that no other daemon can serve it in this one's place.
        """
        if deadline_at <= self.ends_at:
            return True
        now = monotonic_s()
        if not is_retry and now >= self.deregistered_at:
            return False
        return now + duration_s <= self.ends_at


__all__ = ["StopDeadline"]

"""Computes how long an endpoint may be silent before another is sought."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.selection.placement import Placement

MIN_FIRST_EVENT_TIMEOUT_S: Final = 1.0
FIRST_EVENT_TARGET_FACTOR: Final = 2.0  # multiple of the target latency
FIRST_EVENT_PREDICTION_FACTOR: Final = 2.5  # multiple of the predicted time
GAP_TARGET_FACTOR: Final = 4.0  # multiple of the target gap between events
# Fraction of the time left, for an attempt that is not the last.
IDEMPOTENT_TIMEOUT_FRACTION: Final = 0.35


class AttemptTimeouts:
    """Computes how long an endpoint may be silent during one attempt.

    After that the attempt goes on until another one can follow. The last
    allowed attempt of a request has no such timeout.

    Attributes:
        job: The request.
        placement: The endpoint chosen for the request.
    """

    __slots__ = ("job", "placement")

    def __init__(self, *, job: DeliveryJob, placement: Placement) -> None:
        self.job = job
        self.placement = placement

    def _is_last_attempt(self) -> bool:
        job = self.job
        return not job.retryable or job.attempts + 1 >= job.route.max_attempts

    def start_timeout_s(self) -> float | None:
        """Returns the timeout for the start of the answer, in seconds.

        None means no timeout.
        """
        if self._is_last_attempt():
            return None
        if not self.job.is_stream:
            return self.job.time_left_s() * IDEMPOTENT_TIMEOUT_FRACTION
        return max(
            MIN_FIRST_EVENT_TIMEOUT_S,
            FIRST_EVENT_TARGET_FACTOR * self.job.route.target_latency_s,
            FIRST_EVENT_PREDICTION_FACTOR * self.placement.first_token_s,
        )

    def gap_timeout_s(self) -> float | None:
        """Returns the timeout for the next event, in seconds.

        None means no timeout.
        """
        gap_s = self.job.route.target_gap_s
        if self._is_last_attempt() or gap_s <= 0:
            return None
        return GAP_TARGET_FACTOR * gap_s


__all__ = ["AttemptTimeouts"]

"""Corrects predicted durations of attempts by those of recent ones."""

from __future__ import annotations

from typing import Final

from auburnswitch.clock import monotonic_s

WINDOW_S: Final = 30.0
MIN_PREDICTED_S: Final = 1.0  # shorter predictions differ by queueing alone


class RecentMaximum:
    """Maximum of the values of the current and of the last window.

    Attributes:
        current: Maximum in the current window.
        previous: Maximum in the window before it.
        started_at: Loop time at which the current window began, in seconds.
    """

    __slots__ = ("current", "previous", "started_at")

    def __init__(self) -> None:
        self.current = 0.0
        self.previous = 0.0
        self.started_at = monotonic_s()

    def add(self, value: float) -> None:
        """Adds a value."""
        self._advance()
        self.current = max(self.current, value)

    def value(self) -> float:
        """Returns the maximum, 0 without values."""
        self._advance()
        return max(self.current, self.previous)

    def _advance(self) -> None:
        elapsed_s = monotonic_s() - self.started_at
        if elapsed_s < WINDOW_S:
            return
        self.previous = self.current if elapsed_s < 2 * WINDOW_S else 0.0
        self.current = 0.0
        self.started_at = monotonic_s()


class DurationEstimator:
    """Estimates how long an attempt at an endpoint of a service may take.

    Attributes:
        excess_ratios: By how much the longest recent attempts of a service
            exceeded their predictions, as a ratio.
    """

    __slots__ = ("excess_ratios",)

    def __init__(self) -> None:
        self.excess_ratios: dict[str, RecentMaximum] = {}

    def record(self, service: str, predicted_s: float, actual_s: float) -> None:
        """Records a successful attempt.

        Args:
            service: Service of the request.
            predicted_s: Predicted duration, in seconds.
            actual_s: Duration until the answer was complete, in seconds.
        """
        ratios = self.excess_ratios.get(service)
        if ratios is None:
            ratios = self.excess_ratios[service] = RecentMaximum()
        ratios.add(actual_s / max(predicted_s, MIN_PREDICTED_S))

    def estimate_s(self, service: str, predicted_s: float) -> float:
        """Returns the duration that is not expected to be exceeded.

        Args:
            service: Service of the request.
            predicted_s: Predicted duration, in seconds.
        """
        ratios = self.excess_ratios.get(service)
        ratio = max(1.0, ratios.value()) if ratios is not None else 1.0
        return max(predicted_s, MIN_PREDICTED_S) * ratio


__all__ = ["DurationEstimator", "RecentMaximum"]

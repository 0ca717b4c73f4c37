"""Suspends calls to a store that does not answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    import random

FAILURES_TO_OPEN: Final = 3
INITIAL_DELAY_S: Final = 0.25
MAX_DELAY_S: Final = 2.0


class CircuitBreaker:
    """Opens after consecutive failures and admits a probe at intervals.

    Attributes:
        failures: Number of failures since the last success.
        next_probe_at: Loop time from which the next probe is admitted, in
            seconds.
    """

    __slots__ = ("delay_s", "failures", "next_probe_at", "rng")

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0
        self.delay_s = INITIAL_DELAY_S
        self.next_probe_at = 0.0

    def wait_s(self) -> float:
        """Returns the seconds until a call is admitted, 0 if it is now."""
        if self.failures < FAILURES_TO_OPEN:
            return 0.0
        return max(0.0, self.next_probe_at - monotonic_s())

    def record_call(self) -> None:
        """Records that a call starts; while open, it delays the next probe."""
        if self.failures >= FAILURES_TO_OPEN:
            self._schedule_probe()

    def record_success(self) -> None:
        """Records a response of the store."""
        self.failures = 0
        self.delay_s = INITIAL_DELAY_S

    def record_failure(self) -> None:
        """Records a call without a response, or with a server error."""
        self.failures += 1
        if self.failures >= FAILURES_TO_OPEN:
            self._schedule_probe()
            self.delay_s = min(2 * self.delay_s, MAX_DELAY_S)

    def _schedule_probe(self) -> None:
        delay_s = self.delay_s * self.rng.uniform(0.5, 1.0)
        self.next_probe_at = monotonic_s() + delay_s


__all__ = ["CircuitBreaker"]

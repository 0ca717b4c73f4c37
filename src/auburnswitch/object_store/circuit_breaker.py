"""Keeps calls from a store that does not answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    import random

FAILURES_TO_OPEN: Final = 3
INITIAL_DELAY_S: Final = 0.25
MAX_DELAY_S: Final = 2.0


class CircuitBreaker:
    """Opens after failures in a row and lets one call through now and then.

    Attributes:
        failures: Failures since the last success.
        next_probe_at: Loop time of the next call that is let through, in
            seconds.
    """

    __slots__ = ("delay_s", "failures", "next_probe_at", "rng")

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0
        self.delay_s = INITIAL_DELAY_S
        self.next_probe_at = 0.0

    def wait_s(self) -> float:
        """Returns the time until a call is let through, 0 if it is now."""
        if self.failures < FAILURES_TO_OPEN:
            return 0.0
        return max(0.0, self.next_probe_at - monotonic_s())

    def record_call(self) -> None:
        """Notes that a call is let through; others wait for its end."""
        if self.failures >= FAILURES_TO_OPEN:
            self._set_next_try()

    def record_success(self) -> None:
        """Notes an answer of the store."""
        self.failures = 0
        self.delay_s = INITIAL_DELAY_S

    def record_failure(self) -> None:
        """Notes a call without an answer, or answered as an outage."""
        self.failures += 1
        if self.failures >= FAILURES_TO_OPEN:
            self._set_next_try()
            self.delay_s = min(2 * self.delay_s, MAX_DELAY_S)

    def _set_next_try(self) -> None:
        delay_s = self.delay_s * self.rng.uniform(0.5, 1.0)
        self.next_probe_at = monotonic_s() + delay_s


__all__ = ["CircuitBreaker"]

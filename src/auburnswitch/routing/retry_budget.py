"""Bounds the retries of one daemon by a share of its requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.schema.settings import RoutingSettings

FLOOR_REFILL_S: Final = 60.0
MAX_SAVED_REQUESTS: Final = 1000  # whose shares may be saved up


class RetryBudget:
    """Retries that may still be made.

    Each admitted request adds its share. The floor refills with time, so that
    a daemon with few requests can retry them too.

    Attributes:
        available_retries: Retries left, with fractions.
    """

    __slots__ = ("available_retries", "filled_at", "settings")

    def __init__(self, *, settings: RoutingSettings) -> None:
        self.settings = settings
        self.available_retries = float(settings.retry_budget_floor)
        self.filled_at = monotonic_s()

    def note_admitted(self) -> None:
        """Adds the share of one request."""
        self._add(self.settings.retry_budget_share)

    def try_acquire(self) -> bool:
        """Takes one retry; returns whether there was one."""
        now = monotonic_s()
        passed = (now - self.filled_at) / FLOOR_REFILL_S
        self.filled_at = now
        floor = self.settings.retry_budget_floor
        if self.available_retries < floor:
            missing = floor - self.available_retries
            self._add(min(missing, passed * floor))
        if self.available_retries < 1:
            return False
        self.available_retries -= 1
        return True

    def _add(self, retries: float) -> None:
        settings = self.settings
        saved = MAX_SAVED_REQUESTS * settings.retry_budget_share
        most = settings.retry_budget_floor + saved
        self.available_retries = min(most, self.available_retries + retries)


__all__ = ["RetryBudget"]

"""Limits the retries of one daemon to a share of its requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.schema.settings import RoutingSettings

FLOOR_REFILL_S: Final = 60.0
MAX_ACCUMULATED_REQUESTS: Final = 1000  # whose unused shares accumulate


class RetryBudget:
    """Token bucket of the retries that may be made.

    Each admitted request adds a share of a retry. Below the floor the bucket
    also refills with time, so that a daemon with few requests can retry them
    too.

    Attributes:
        available_retries: Retries available, as a fractional number.
        refilled_at: Loop time up to which the floor has been refilled, in
            seconds.
        settings: Settings of the floor and of the share per request.
    """

    __slots__ = ("available_retries", "refilled_at", "settings")

    def __init__(self, *, settings: RoutingSettings) -> None:
        self.settings = settings
        self.available_retries = float(settings.retry_budget_floor)
        self.refilled_at = monotonic_s()

    def record_admission(self) -> None:
        """Adds the share of one admitted request."""
        self._add(self.settings.retry_budget_share)

    def try_acquire(self) -> bool:
        """Consumes one retry and returns True, or False if none is left."""
        now = monotonic_s()
        refill_periods = (now - self.refilled_at) / FLOOR_REFILL_S
        self.refilled_at = now
        floor = self.settings.retry_budget_floor
        if self.available_retries < floor:
            shortfall = floor - self.available_retries
            self._add(min(shortfall, refill_periods * floor))
        if self.available_retries < 1:
            return False
        self.available_retries -= 1
        return True

    def _add(self, retries: float) -> None:
        settings = self.settings
        max_accumulated_retries = (
            MAX_ACCUMULATED_REQUESTS * settings.retry_budget_share
        )
        capacity = settings.retry_budget_floor + max_accumulated_retries
        self.available_retries = min(capacity, self.available_retries + retries)


__all__ = ["RetryBudget"]

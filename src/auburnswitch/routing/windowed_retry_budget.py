"""Limits retries in a sliding window, over all daemons together."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.entry import BoundSettings

SAFETY_FACTOR: Final = 0.7  # of the fleet's retries, as windows differ


class _Window:
    """Times of a service's requests and retries."""

    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def forget_before(self, time_s: float) -> None:
        """Drops what lies before a time."""
        for times in (self.requests, self.retries):
            while times and times[0] < time_s:
                times.popleft()


class WindowedRetryBudget:
    """Gives out this daemon's part of the fleet's retries.

    The extra retries are shared out by the daemons that are known, whether
    they answer at the moment or not, so that the parts of a fleet that cannot
    reach each other do not spend them twice.

    Attributes:
        bounds: Ratio, extra and length of the window.
        count_daemons: Returns how many daemons share the extra.
    """

    __slots__ = ("_windows", "bounds", "count_daemons")

    def __init__(
        self, *, bounds: BoundSettings, count_daemons: Callable[[], int]
    ) -> None:
        self.bounds = bounds
        self.count_daemons = count_daemons
        self._windows: defaultdict[str, _Window] = defaultdict(_Window)

    def note_request(self, service: str) -> None:
        """Counts a request of a caller."""
        self._window(service).requests.append(monotonic_s())

    def try_acquire(self, service: str) -> bool:
        """Takes one retry, False if none is left."""
        window = self._window(service)
        extra = self.bounds.retry_extra / max(1, self.count_daemons())
        ratio = self.bounds.retry_ratio * len(window.requests)
        if len(window.retries) + 1 > SAFETY_FACTOR * (ratio + extra):
            return False
        window.retries.append(monotonic_s())
        return True

    def _window(self, service: str) -> _Window:
        window = self._windows[service]
        window.forget_before(monotonic_s() - self.bounds.retry_window_s)
        return window


__all__ = ["WindowedRetryBudget"]

"""Limits the retries of all daemons together in a sliding window."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.entry import BoundSettings

SAFETY_FACTOR: Final = 0.7  # of the fleet's retries, since windows differ


class _Window:
    """Loop times of a service's requests and retries, in seconds."""

    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def discard_before(self, time_s: float) -> None:
        """Discards all entries before a loop time in seconds."""
        for times in (self.requests, self.retries):
            while times and times[0] < time_s:
                times.popleft()


class WindowedRetryBudget:
    """Grants this daemon's share of the fleet's retries.

    The extra retries are divided among all known daemons, including those that
    are unreachable at the moment, so that the sides of a network partition
    don't spend them twice.

    Attributes:
        bounds: Retry ratio, extra retries and window length.
        count_daemons: Returns the number of daemons that share the extra
            retries.
    """

    __slots__ = ("_windows", "bounds", "count_daemons")

    def __init__(
        self, *, bounds: BoundSettings, count_daemons: Callable[[], int]
    ) -> None:
        self.bounds = bounds
        self.count_daemons = count_daemons
        self._windows: defaultdict[str, _Window] = defaultdict(_Window)

    def record_request(self, service: str) -> None:
        """Records a request of a caller."""
        self._window(service).requests.append(monotonic_s())

    def has_retry(self, service: str) -> bool:
        """Returns whether a retry is left."""
        window = self._window(service)
        extra = self.bounds.retry_extra / max(1, self.count_daemons())
        ratio = self.bounds.retry_ratio * len(window.requests)
        return len(window.retries) + 1 <= SAFETY_FACTOR * (ratio + extra)

    def try_acquire(self, service: str) -> bool:
        """Consumes one retry and returns True, or False if none is left."""
        if not self.has_retry(service):
            return False
        self._window(service).retries.append(monotonic_s())
        return True

    def release(self, service: str) -> None:
        """Gives back a retry that was consumed but not made."""
        retries = self._window(service).retries
        if retries:  # otherwise the window has passed
            retries.pop()

    def _window(self, service: str) -> _Window:
        window = self._windows[service]
        window.discard_before(monotonic_s() - self.bounds.retry_window_s)
        return window


__all__ = ["WindowedRetryBudget"]

"""Limits how many requests in a second one endpoint gets."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.entry import BoundSettings
    from auburnswitch.schema.installation import Service

WINDOW_S: Final = 1.1  # a second, and how much later one request may arrive
FLEET_RATE_FRACTION: Final = (
    0.6  # of the fleet's rate, as news of others is late
)
UNSEEN_DAEMON_ALLOWANCE: Final = (
    3  # that may be started before this one knows of them
)


class SendRateLimiter:
    """Keeps endpoints that may be cold under the rate they tolerate.

    An endpoint may turn cold without a sign, so the limit holds for all
    endpoints of a service with a cold rate. The rate is shared out equally by
    all daemons there can be; besides, no daemon sends more to an endpoint for
    which it knows that all together have come close to the rate.

    Attributes:
        bounds: How far over its stated rate a cold endpoint may get.
        count_daemons: Returns how many daemons are known.
    """

    __slots__ = ("_by_all", "_sent", "bounds", "count_daemons")

    def __init__(
        self, *, bounds: BoundSettings, count_daemons: Callable[[], int]
    ) -> None:
        self.bounds = bounds
        self.count_daemons = count_daemons
        self._sent: defaultdict[str, deque[float]] = defaultdict(deque)
        self._by_all: defaultdict[str, deque[float]] = defaultdict(deque)

    def allows(self, service: Service, endpoint: str) -> bool:
        """Whether one more request may be sent now."""
        if service.cold_requests_per_s <= 0:
            return True
        fleet = (
            service.cold_requests_per_s * self.bounds.cold_ratio
            + self.bounds.cold_extra
        )
        daemons = self.count_daemons() + UNSEEN_DAEMON_ALLOWANCE
        own = _count(self._sent[endpoint])
        by_all = _count(self._by_all[endpoint])
        return own + 1 <= max(1, int(fleet / daemons)) and (
            by_all + 1 <= fleet * FLEET_RATE_FRACTION
        )

    def record_send(self, endpoint: str) -> None:
        """Counts a request that this daemon sends."""
        self._sent[endpoint].append(monotonic_s())
        self.record_fleet_send(endpoint)

    def record_fleet_send(self, endpoint: str) -> None:
        """Counts a request that some daemon sends."""
        self._by_all[endpoint].append(monotonic_s())


def _count(times: deque[float]) -> int:
    since = monotonic_s() - WINDOW_S
    while times and times[0] < since:
        times.popleft()
    return len(times)


__all__ = ["SendRateLimiter"]

"""Limits the requests per second sent to one endpoint."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.entry import BoundSettings
    from auburnswitch.schema.installation import Service

WINDOW_S: Final = 1.1  # one second plus the arrival delay of a request
# Fraction of the fleet's rate, as sends of other daemons are reported late.
FLEET_RATE_FRACTION: Final = 0.6
# Daemons that have started but are not yet known to this one.
UNSEEN_DAEMON_ALLOWANCE: Final = 3


class SendRateLimiter:
    """Keeps the request rate of endpoints below what a cold one tolerates.

    An endpoint may become cold without notice, so the limit applies to all
    endpoints of a service with a cold rate. Each daemon gets an equal share of
    the rate, with an allowance for daemons that are not known yet. In addition,
    a daemon sends nothing more to an endpoint once the known sends of all
    daemons together come close to the rate.

    Attributes:
        bounds: Allowed excess over the configured cold rate.
        count_daemons: Returns the number of known daemons.
    """

    __slots__ = ("_fleet_sends", "_local_sends", "bounds", "count_daemons")

    def __init__(
        self, *, bounds: BoundSettings, count_daemons: Callable[[], int]
    ) -> None:
        self.bounds = bounds
        self.count_daemons = count_daemons
        self._local_sends: defaultdict[str, deque[float]] = defaultdict(deque)
        self._fleet_sends: defaultdict[str, deque[float]] = defaultdict(deque)

    def allows(self, service: Service, endpoint: str) -> bool:
        """Returns whether one more request may be sent to an endpoint now."""
        if service.cold_requests_per_s <= 0:
            return True
        fleet_rate_per_s = (
            service.cold_requests_per_s * self.bounds.cold_ratio
            + self.bounds.cold_extra
        )
        daemon_count = self.count_daemons() + UNSEEN_DAEMON_ALLOWANCE
        local_sends = len(_discard_old(self._local_sends[endpoint]))
        fleet_sends = len(_discard_old(self._fleet_sends[endpoint]))
        return local_sends + 1 <= max(
            1, int(fleet_rate_per_s / daemon_count)
        ) and (fleet_sends + 1 <= fleet_rate_per_s * FLEET_RATE_FRACTION)

    def record_send(self, endpoint: str) -> None:
        """Records a request that this daemon sends."""
        _discard_old(self._local_sends[endpoint]).append(monotonic_s())
        self.record_fleet_send(endpoint)

    def record_fleet_send(self, endpoint: str) -> None:
        """Records a request that any daemon of the fleet sends."""
        _discard_old(self._fleet_sends[endpoint]).append(monotonic_s())


def _discard_old(times: deque[float]) -> deque[float]:
    """Returns the times without those before the window."""
    window_start = monotonic_s() - WINDOW_S
    while times and times[0] < window_start:
        times.popleft()
    return times


__all__ = ["SendRateLimiter"]

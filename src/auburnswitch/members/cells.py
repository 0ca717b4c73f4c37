"""Splits a large fleet into cells of endpoints and daemons.

A daemon prefers the endpoints of its own cell and reports its work on them only
to the daemons of that cell, so that the messages it receives and the endpoints
it compares do not grow with the fleet. Small fleets are one cell.

Names are assigned by rendezvous hashing with bounded loads, so that no cell has
many daemons for few endpoints, and few names move when one is added or removed.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from auburnswitch.configuration.installation import Installation
    from auburnswitch.configuration.store_revision import StoreRevision
    from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint

ENDPOINTS_PER_CELL: Final = 32
MAX_SINGLE_CELL_ENDPOINTS: Final = 128
SINGLE_CELL: Final = 0
INSTANCES_REFRESH_INTERVAL_S: Final = 0.25


class Cells:
    """Assigns endpoints and daemons to cells, as computed by this daemon.

    Daemons may have different endpoint lists for a short time and then assign
    a few names to different cells; this only makes load estimates less
    accurate.

    Attributes:
        installation: Provides the endpoint list.
        instance: Name of this daemon's instance.
        list_instances: Returns the instances of the other known daemons.
    """

    __slots__ = (
        "_cell_by_endpoint",
        "_cell_by_instance",
        "_count",
        "_endpoint_counts",
        "_instances_refreshed_at",
        "_known_instances",
        "_local_endpoints",
        "_revision",
        "installation",
        "instance",
        "list_instances",
    )

    def __init__(
        self,
        *,
        installation: Installation,
        instance: str,
        list_instances: Callable[[], Collection[str]],
    ) -> None:
        self.installation = installation
        self.instance = instance
        self.list_instances = list_instances
        self._revision: StoreRevision | None = None
        self._count = 1
        self._endpoint_counts: collections.Counter[str] = collections.Counter()
        self._cell_by_endpoint: dict[str, int] = {}
        self._cell_by_instance: dict[str, int] = {}
        self._instances_refreshed_at = -INSTANCES_REFRESH_INTERVAL_S
        self._known_instances: frozenset[str] = frozenset()
        self._local_endpoints: dict[str, list[TrackedEndpoint]] = {}

    @property
    def count(self) -> int:
        """Number of cells."""
        self._refresh_endpoints()
        return self._count

    @property
    def local_cell(self) -> int:
        """Number of this daemon's cell."""
        return self.cell_of_instance(self.instance)

    def cell_of_instance(self, instance: str) -> int:
        """Returns the number of a daemon's cell."""
        if self.count == 1:
            return SINGLE_CELL
        now = monotonic_s()
        if now >= self._instances_refreshed_at + INSTANCES_REFRESH_INTERVAL_S:
            self._instances_refreshed_at = now
            self._refresh_instances()
        return self._cell_by_instance.get(instance, SINGLE_CELL)

    def cell_of_endpoint(self, endpoint: str) -> int:
        """Returns the number of an endpoint's cell."""
        if self.count == 1:
            return SINGLE_CELL
        return self._cell_by_endpoint.get(endpoint, SINGLE_CELL)

    def is_cell_peer(self, instance: str) -> bool:
        """Returns whether a daemon is in this daemon's cell."""
        return self.cell_of_instance(instance) == self.local_cell

    def spans_cells(self, service: str) -> bool:
        """Returns whether the endpoints of a service are in several cells."""
        return (
            self.count > 1
            and self._endpoint_counts[service] > MAX_SINGLE_CELL_ENDPOINTS
        )

    def is_cell_endpoint(self, endpoint: str) -> bool:
        """Returns whether an endpoint is in this daemon's cell."""
        return self.cell_of_endpoint(endpoint) == self.local_cell

    def cell_endpoints(self, service: str) -> list[TrackedEndpoint]:
        """Returns the local cell's endpoints of a service in several cells."""
        self._refresh_endpoints()
        return self._local_endpoints.get(service, [])

    def _refresh_instances(self) -> None:
        """Assigns the daemons again if the known ones have changed."""
        known = frozenset([*self.list_instances(), self.instance])
        if known == self._known_instances:
            return
        previous_cell = self._cell_by_instance.get(self.instance)
        self._known_instances = known
        self._cell_by_instance = assign_to_cells(known, self._count)
        if self._cell_by_instance[self.instance] != previous_cell:
            self._revision = None  # the local endpoints are others now

    def _refresh_endpoints(self) -> None:
        revision = self.installation.endpoints_revision
        if revision == self._revision:
            return
        self._revision = revision
        endpoints = self.installation.endpoints.values()
        self._endpoint_counts = collections.Counter(
            endpoint.entry.service_name for endpoint in endpoints
        )
        previous_count, self._count = self._count, self._choose_count()
        if self._count != previous_count:
            self._known_instances = frozenset()
            self._refresh_instances()
            self._revision = revision  # the endpoints are assigned below
        self._cell_by_endpoint, self._local_endpoints = {}, {}
        if self._count > 1:
            self._assign_endpoints()

    def _choose_count(self) -> int:
        largest = max(self._endpoint_counts.values(), default=0)
        if largest <= MAX_SINGLE_CELL_ENDPOINTS:
            return 1
        return largest // ENDPOINTS_PER_CELL

    def _assign_endpoints(self) -> None:
        """Assigns the endpoints of each service evenly to the cells."""
        services: dict[str, list[TrackedEndpoint]] = {}
        for endpoint in self.installation.endpoints.values():
            name = endpoint.entry.service_name
            services.setdefault(name, []).append(endpoint)
        local_cell = self._cell_by_instance[self.instance]
        for name, endpoints in services.items():
            cells = assign_to_cells(
                [endpoint.entry.id for endpoint in endpoints], self._count
            )
            self._cell_by_endpoint |= cells
            self._local_endpoints[name] = [
                endpoint
                for endpoint in endpoints
                if cells[endpoint.entry.id] == local_cell
            ]


def assign_to_cells(names: Collection[str], count: int) -> dict[str, int]:
    """Assigns names to cells of nearly the same size.

    Each name gets the first cell in its rendezvous order that is not full.

    Args:
        names: The names, in any order.
        count: Number of cells.

    Returns:
        The number of the cell by name.
    """
    capacity = math.ceil(len(names) / count)
    free = {str(number): capacity for number in range(count)}
    assigned = {}
    for name in sorted(names):
        cell = next(c for c in rendezvous_order(name, free) if free[c])
        free[cell] -= 1
        assigned[name] = int(cell)
    return assigned


__all__ = ["SINGLE_CELL", "Cells", "assign_to_cells"]

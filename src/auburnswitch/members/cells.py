"""Splits a large fleet into cells of endpoints and daemons.

A daemon prefers the endpoints of its own cell and reports its work on them only
to the daemons of that cell, so that the messages it receives and the endpoints
it compares do not grow with the fleet. Small fleets are one cell.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

from auburnswitch.members.hash_ring import HashRing

if TYPE_CHECKING:
    from auburnswitch.configuration.installation import (
        Installation,
        TrackedEndpoint,
    )

ENDPOINTS_PER_CELL: Final = 32
MAX_SINGLE_CELL_ENDPOINTS: Final = 128
SINGLE_CELL: Final = 0


class Cells:
    """Assigns endpoints and daemons to cells, as computed by this daemon.

    Daemons may have different endpoint lists for a short time and then assign
    a few names to different cells; this only makes load estimates less
    accurate.

    Attributes:
        installation: Provides the endpoint list.
        instance: Name of this daemon's instance.
    """

    __slots__ = (
        "_endpoint_counts",
        "_local_cell",
        "_local_endpoints",
        "_revision",
        "_ring",
        "installation",
        "instance",
    )

    def __init__(self, *, installation: Installation, instance: str) -> None:
        self.installation = installation
        self.instance = instance
        self._revision = -1
        self._endpoint_counts: collections.Counter[str] = collections.Counter()
        self._ring = HashRing(members=["0"])
        self._local_cell = SINGLE_CELL
        self._local_endpoints: dict[str, list[TrackedEndpoint]] = {}

    @property
    def count(self) -> int:
        """Number of cells."""
        self._refresh()
        return len(self._ring.members)

    @property
    def local_cell(self) -> int:
        """Number of this daemon's cell."""
        self._refresh()
        return self._local_cell

    def cell_of(self, name: str) -> int:
        """Returns the number of the cell of an endpoint or of an instance."""
        return SINGLE_CELL if self.count == 1 else int(self._ring.owner(name))

    def is_cell_peer(self, instance: str) -> bool:
        """Returns whether a daemon is in this daemon's cell."""
        return self.cell_of(instance) == self._local_cell

    def spans_cells(self, service: str) -> bool:
        """Returns whether the endpoints of a service are in several cells."""
        return (
            self.count > 1
            and self._endpoint_counts[service] > MAX_SINGLE_CELL_ENDPOINTS
        )

    def is_cell_endpoint(self, endpoint: str) -> bool:
        """Returns whether an endpoint is in this daemon's cell."""
        return self.cell_of(endpoint) == self._local_cell

    def cell_endpoints(self, service: str) -> list[TrackedEndpoint]:
        """Returns the local cell's endpoints of a service in several cells."""
        self._refresh()
        return self._local_endpoints.get(service, [])

    def _refresh(self) -> None:
        revision = self.installation.endpoints_revision
        if revision == self._revision:
            return
        self._revision = revision
        endpoints = self.installation.endpoints.values()
        self._endpoint_counts = collections.Counter(
            endpoint.entry.service_name for endpoint in endpoints
        )
        largest = max(self._endpoint_counts.values(), default=0)
        count = 1
        if largest > MAX_SINGLE_CELL_ENDPOINTS:
            count = largest // ENDPOINTS_PER_CELL
        if count != len(self._ring.members):
            self._ring = HashRing(members=[str(n) for n in range(count)])
            self._local_cell = int(self._ring.owner(self.instance))
        self._local_endpoints = {}
        if count > 1:
            for endpoint in endpoints:
                if int(self._ring.owner(endpoint.entry.id)) == self._local_cell:
                    service_endpoints = self._local_endpoints.setdefault(
                        endpoint.entry.service_name, []
                    )
                    service_endpoints.append(endpoint)


__all__ = ["Cells"]

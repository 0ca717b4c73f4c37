"""Splits a large fleet into cells of endpoints and daemons.

A daemon prefers the endpoints of its own cell and tells of its work there only
the daemons of that cell, so that what it hears and weighs does not grow with
the fleet. Small fleets are one cell.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

from auburnswitch.members.hash_ring import HashRing

if TYPE_CHECKING:
    from auburnswitch.configuration.installation import (
        Installation,
        KnownEndpoint,
    )

ENDPOINTS_PER_CELL: Final = 64
MAX_SINGLE_CELL_ENDPOINTS: Final = 128


class Cells:
    """The cells as this daemon knows them.

    Daemons may see different endpoints for a moment and disagree on a few
    names; that costs accuracy and nothing else.

    Attributes:
        installation: The endpoints.
        instance: This daemon's instance.
    """

    __slots__ = (
        "_mine",
        "_own",
        "_revision",
        "_ring",
        "_sizes",
        "installation",
        "instance",
    )

    def __init__(self, *, installation: Installation, instance: str) -> None:
        self.installation = installation
        self.instance = instance
        self._revision = -1
        self._sizes: collections.Counter[str] = collections.Counter()
        self._ring = HashRing(members=["0"])
        self._mine = "0"
        self._own: dict[str, list[KnownEndpoint]] = {}

    @property
    def count(self) -> int:
        """How many cells there are."""
        self._refresh()
        return len(self._ring.members)

    def is_cell_peer(self, instance: str) -> bool:
        """Whether a daemon is of this daemon's cell."""
        return self.count == 1 or self._ring.owner(instance) == self._mine

    def spans_cells(self, service: str) -> bool:
        """Whether the endpoints of a service are in several cells."""
        return (
            self.count > 1 and self._sizes[service] > MAX_SINGLE_CELL_ENDPOINTS
        )

    def is_cell_endpoint(self, endpoint: str) -> bool:
        """Whether an endpoint is of this daemon's cell."""
        return self.count == 1 or self._ring.owner(endpoint) == self._mine

    def cell_endpoints(self, service: str) -> list[KnownEndpoint]:
        """Returns the endpoints of a split service in this daemon's cell."""
        self._refresh()
        return self._own.get(service, [])

    def _refresh(self) -> None:
        revision = self.installation.endpoints_revision
        if revision == self._revision:
            return
        self._revision = revision
        endpoints = self.installation.endpoints.values()
        self._sizes = collections.Counter(
            known.entry.service_name for known in endpoints
        )
        largest = max(self._sizes.values(), default=0)
        count = 1
        if largest > MAX_SINGLE_CELL_ENDPOINTS:
            count = largest // ENDPOINTS_PER_CELL
        if count != len(self._ring.members):
            self._ring = HashRing(members=[str(n) for n in range(count)])
            self._mine = self._ring.owner(self.instance)
        self._own = {}
        if count > 1:
            for known in endpoints:
                if self._ring.owner(known.entry.id) == self._mine:
                    own = self._own.setdefault(known.entry.service_name, [])
                    own.append(known)


__all__ = ["Cells"]

"""Keeps what a store that came back from an older copy may have forgotten.

Until the writers have written it again, what was known before goes on to hold
where forgetting it would send requests to endpoints that must not get them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from auburnswitch.schema.installation import EndpointEntry

DEFAULT_RETENTION_S: Final = 4.8
MAX_COPY_AGE_S: Final = 60.0
MAX_REMOVED_ENDPOINTS: Final = 10_000


@dataclass(slots=True, kw_only=True)
class _RemovedEndpoint:
    boot_ms: int
    removed_at: float


class RestoredState:
    """Closed zones and removed endpoints that an older copy lacks.

    Attributes:
        retention_s: Time within which all writers write again after the store
            has come back, in seconds.
    """

    __slots__ = ("_removed", "_zones_until", "retention_s")

    def __init__(self, *, retention_s: float = DEFAULT_RETENTION_S) -> None:
        self.retention_s = retention_s
        self._zones_until: dict[str, float] = {}
        self._removed: dict[str, _RemovedEndpoint] = {}

    @property
    def retained_until(self) -> float:
        """Loop time until which what was known before now is kept."""
        return monotonic_s() + self.retention_s

    def retain_zones(self, zones: Iterable[str]) -> None:
        """Keeps zones closed that the copy does not name."""
        for zone in zones:
            self._zones_until[zone] = self.retained_until

    def release_zones(self, zones: Iterable[str]) -> None:
        """Ends the retention of zones that the store names itself."""
        for zone in zones:
            self._zones_until.pop(zone, None)

    def is_zone_retained(self, zone: str) -> bool:
        """Returns whether a zone that the copy does not name stays closed."""
        until = self._zones_until.get(zone)
        return until is not None and monotonic_s() < until

    def record_removed(self, entry: EndpointEntry) -> None:
        """Remembers that an endpoint is gone, which a copy may not know."""
        self._removed.pop(entry.id, None)
        self._removed[entry.id] = _RemovedEndpoint(
            boot_ms=entry.boot_ms, removed_at=monotonic_s()
        )
        if len(self._removed) > MAX_REMOVED_ENDPOINTS:
            del self._removed[next(iter(self._removed))]

    def is_removed(self, entry: EndpointEntry) -> bool:
        """Returns whether an entry is of an endpoint that has left."""
        removed = self._removed.get(entry.id)
        return (
            removed is not None
            and removed.boot_ms == entry.boot_ms
            and monotonic_s() < removed.removed_at + MAX_COPY_AGE_S
        )


__all__ = ["RestoredState"]

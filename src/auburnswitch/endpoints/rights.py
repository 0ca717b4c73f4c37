"""What the owner table needs to know of ownership by the roster."""

from __future__ import annotations

from typing import Protocol


class StrictOwnership(Protocol):
    """Tells who may use cold endpoints and send orders to engines."""

    def owner_of(self, endpoint: str) -> str:
        """Returns the roster member that owns an endpoint."""

    def holds_lease(self, endpoint: str) -> bool:
        """Tells whether this daemon holds the strict rights now."""


__all__ = ["StrictOwnership"]

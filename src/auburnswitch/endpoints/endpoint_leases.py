"""Defines the interface of the ownership leases that this package uses."""

from __future__ import annotations

from typing import Protocol


class EndpointLeases(Protocol):
    """Leases to use cold endpoints and to send orders to engines."""

    def owner_of(self, endpoint: str) -> str:
        """Returns the roster member that owns an endpoint."""

    def holds_lease(self, endpoint: str) -> bool:
        """Returns whether this daemon holds the endpoint's lease now."""


__all__ = ["EndpointLeases"]

"""Caches the hints that owners publish about their endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.schema.peers import EndpointHint


class HintCache:
    """The newest hint of each endpoint.

    Attributes:
        hints: Loop time of receipt, in seconds, and hint, by endpoint.
    """

    __slots__ = ("hints",)

    def __init__(self) -> None:
        self.hints: dict[str, tuple[float, EndpointHint]] = {}

    def update(self, hint: EndpointHint) -> None:
        """Stores a hint as the newest of its endpoint."""
        self.hints[hint.endpoint] = (monotonic_s(), hint)

    def newest(
        self, endpoint: str, *, max_age_s: float | None = None
    ) -> EndpointHint | None:
        """Returns the newest hint, or None if it is missing or too old."""
        received_at, hint = self.hints.get(endpoint, (0.0, None))
        if max_age_s is not None and received_at < monotonic_s() - max_age_s:
            return None
        return hint

    def age_s(self, endpoint: str) -> float:
        """Returns the time since the newest hint was received, in seconds."""
        received_at, _ = self.hints.get(endpoint, (0.0, None))
        return monotonic_s() - received_at

    def clear(self) -> None:
        """Discards all hints, which may be out of date after a pause."""
        self.hints.clear()


__all__ = ["HintCache"]

"""An endpoint as its entry in the store describes it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.schema.installation import EndpointEntry


class TrackedEndpoint:
    """An endpoint with its newest entry and the times derived from it.

    Attributes:
        entry: Newest entry of the endpoint.
        cold_until: Loop time until which the endpoint is cold and tolerates
            little load, in seconds.
        removal_due_at: Loop time from which the endpoint counts as removed, in
            seconds; None while its entry is present.
        withheld_until: Loop time until which its entry may be out of date and
            it gets no requests, in seconds.
    """

    __slots__ = ("cold_until", "entry", "removal_due_at", "withheld_until")

    def __init__(self, *, entry: EndpointEntry) -> None:
        self.entry = entry
        self.cold_until = monotonic_s() + entry.cold_s
        self.removal_due_at: float | None = None
        self.withheld_until = 0.0

    def update(self, entry: EndpointEntry) -> None:
        """Applies a newer entry."""
        if entry.cold_s > 0:
            self.cold_until = monotonic_s() + entry.cold_s
        self.entry = entry
        self.removal_due_at = None

    @property
    def cold(self) -> bool:
        """Whether the endpoint is cold and tolerates only little load."""
        return monotonic_s() < self.cold_until

    @property
    def accepts_requests(self) -> bool:
        """Whether the entry lets new requests be sent to the endpoint now."""
        if not self.entry.ready:
            return False
        if not self.withheld_until and self.removal_due_at is None:
            return True  # asked for each endpoint and request
        now = monotonic_s()
        return now >= self.withheld_until and (
            self.removal_due_at is None or now < self.removal_due_at
        )


__all__ = ["TrackedEndpoint"]

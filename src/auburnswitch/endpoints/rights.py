"""What the owner table needs to know of ownership."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from auburnswitch.clock import monotonic_s
from auburnswitch.members.rendezvous import rendezvous_first

if TYPE_CHECKING:
    from auburnswitch.members.view import MemberView

CLOCK_MARGIN_S: Final = 0.1


class StrictOwnership(Protocol):
    """Tells who may use cold endpoints and send orders to engines."""

    def owner_of(self, endpoint: str) -> str:
        """Returns the roster member that owns an endpoint."""

    def may_use(self, endpoint: str) -> bool:
        """Tells whether this daemon holds the strict rights now."""


class RosterRights:
    """Strict rights from a majority's acknowledgements of the roster.

    An owner waits until every earlier owner's rights have run out.

    Attributes:
        view: What is known of the members.
        first_quorum_at: Loop time of the first majority at the present epoch,
            in seconds.
    """

    __slots__ = ("epoch", "first_quorum_at", "view")

    def __init__(self, *, view: MemberView) -> None:
        self.view = view
        self.epoch = 0
        self.first_quorum_at = float("inf")

    def owner_of(self, endpoint: str) -> str:
        """Returns the roster member that owns an endpoint."""
        return rendezvous_first(endpoint, self.view.roster_ids())

    def may_use(self, endpoint: str) -> bool:
        """Tells whether this daemon holds the strict rights now."""
        self.note_quorum()
        settings = self.view.settings
        now = monotonic_s()
        if self.view.quorum_at() < now - settings.strict_lease_s:
            return False
        wait_s = settings.strict_lease_s + settings.reservation_ttl_s
        if now < self.first_quorum_at + wait_s + CLOCK_MARGIN_S:
            return False
        return self.owner_of(endpoint) == self.view.me.id

    def note_quorum(self) -> None:
        """Starts the wait again when the roster has changed."""
        epoch = self.view.roster.epoch
        if epoch != self.epoch:
            self.epoch = epoch
            self.first_quorum_at = float("inf")
        now = monotonic_s()
        recent = self.view.quorum_at() >= now - (
            self.view.settings.strict_lease_s
        )
        if recent and self.first_quorum_at == float("inf"):
            self.first_quorum_at = now


__all__ = ["RosterRights", "StrictOwnership"]

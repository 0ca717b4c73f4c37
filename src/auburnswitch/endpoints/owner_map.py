"""Maps each endpoint to its owner among the live members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.members.rendezvous import rendezvous_owner

if TYPE_CHECKING:
    from auburnswitch.configuration.state import ConfigState
    from auburnswitch.members.member_view import MemberView


class OwnerMap:
    """Caches the owners of endpoints until the live members change.

    Attributes:
        view: Local view of the members.
        state: The configuration in force.
    """

    __slots__ = ("live_ids", "owners", "state", "view")

    def __init__(self, *, view: MemberView, state: ConfigState) -> None:
        self.view = view
        self.state = state
        self.live_ids: list[str] = []
        self.owners: dict[str, str] = {}

    def owner_of(self, endpoint: str) -> str:
        """Returns the live member that owns an endpoint."""
        self._refresh()
        return self._owner(endpoint)

    def owned(self) -> list[str]:
        """Returns the configured endpoints that this daemon owns."""
        self._refresh()
        local_id = self.view.local_member.id
        return [n for n in self.state.endpoints if self._owner(n) == local_id]

    def _owner(self, endpoint: str) -> str:
        owner = self.owners.get(endpoint)
        if owner is None:
            owner = rendezvous_owner(endpoint, self.live_ids)
            self.owners[endpoint] = owner
        return owner

    def _refresh(self) -> None:
        live_ids = self.view.live_ids()
        if live_ids != self.live_ids:
            self.live_ids = live_ids
            self.owners.clear()


__all__ = ["OwnerMap"]

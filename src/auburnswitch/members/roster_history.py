"""Remembers the rosters that this daemon has learned, in order."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.members.rendezvous import rendezvous_owner

if TYPE_CHECKING:
    from auburnswitch.schema.objects import Roster

RETAINED_EPOCHS: Final = 64


class RosterHistory:
    """Member ids of consecutive epochs up to the present one.

    A gap in the epochs forgets all that came before it, since nothing is
    known of the owners in between.

    Attributes:
        member_ids: Members by epoch, of consecutive epochs.
        epoch: The present epoch; 0 before the first roster.
    """

    __slots__ = ("epoch", "member_ids")

    def __init__(self) -> None:
        self.epoch = 0
        self.member_ids: dict[int, tuple[str, ...]] = {}

    def append(self, roster: Roster) -> None:
        """Takes a newer roster."""
        if roster.epoch != self.epoch + 1:
            self.member_ids.clear()
        self.epoch = roster.epoch
        ids = tuple(member.id for member in roster.members)
        self.member_ids[roster.epoch] = ids
        self.member_ids.pop(roster.epoch - RETAINED_EPOCHS, None)

    def owner_of(self, endpoint: str, epoch: int) -> str:
        """Returns the owner in an epoch, empty if it is not known."""
        return rendezvous_owner(endpoint, self.member_ids.get(epoch, ()))

    def ownership_start_epoch(self, endpoint: str, through: int) -> int:
        """Returns the first epoch of the tenure that includes an epoch.

        Args:
            endpoint: Name of the endpoint.
            through: Last epoch of the tenure looked at.

        Returns:
            The oldest epoch from which on, through the given one, the
            endpoint is known to have had one owner.
        """
        owner = self.owner_of(endpoint, through)
        start = through
        while start - 1 in self.member_ids:
            if self.owner_of(endpoint, start - 1) != owner:
                break
            start -= 1
        return start


__all__ = ["RETAINED_EPOCHS", "RosterHistory"]

"""Stores the newest consecutive rosters that this daemon has received."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.members.rendezvous import rendezvous_owner

if TYPE_CHECKING:
    from auburnswitch.schema.objects import Roster

RETAINED_EPOCHS: Final = 64


class RosterHistory:
    """Member ids of consecutive epochs up to the current one.

    A gap in the epochs discards all earlier epochs, since the owners during
    the gap are unknown.

    Attributes:
        member_ids: Member ids by epoch, for consecutive epochs.
        epoch: The current epoch; 0 before the first roster.
    """

    __slots__ = ("epoch", "member_ids")

    def __init__(self) -> None:
        self.epoch = 0
        self.member_ids: dict[int, tuple[str, ...]] = {}

    def append(self, roster: Roster) -> None:
        """Appends a newer roster."""
        if roster.epoch != self.epoch + 1:
            self.member_ids.clear()
        self.epoch = roster.epoch
        ids = tuple(member.id for member in roster.members)
        self.member_ids[roster.epoch] = ids
        self.member_ids.pop(roster.epoch - RETAINED_EPOCHS, None)

    def owner_of(self, endpoint: str, epoch: int) -> str:
        """Returns an endpoint's owner in an epoch, empty if unknown."""
        return rendezvous_owner(endpoint, self.member_ids.get(epoch, ()))

    def ownership_start_epoch(self, endpoint: str, through: int) -> int:
        """Returns the first epoch of the ownership period around an epoch.

        Args:
            endpoint: Name of the endpoint.
            through: Last epoch of the ownership period to consider.

        Returns:
            The oldest known epoch since which, through the given one, the
            endpoint has had the same owner.
        """
        owner = self.owner_of(endpoint, through)
        start = through
        while start - 1 in self.member_ids:
            if self.owner_of(endpoint, start - 1) != owner:
                break
            start -= 1
        return start


__all__ = ["RETAINED_EPOCHS", "RosterHistory"]

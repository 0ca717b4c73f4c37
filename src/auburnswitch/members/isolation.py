"""Decides whether this daemon's configuration may be outdated."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.member_view import is_majority
from auburnswitch.members.peer_status import NEVER
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from auburnswitch.members.member_view import MemberView
    from auburnswitch.schema.objects import Roster
    from auburnswitch.schema.peers import Heartbeat

STORE_READ_INTERVAL_S: Final = 1.0
ISOLATION_CHECK_INTERVAL_S: Final = 0.25


class IsolationDetector:
    """Detects that this daemon may have missed configuration changes.

    This daemon's group is the set of daemons that exchange messages with it.
    The configuration is current if a member of the group has read the store
    recently, or if the group is a majority: then the store is unavailable to
    all daemons and accepts no ticket. The majority is one of the quorum set,
    which starts as the roster. While the store is unavailable the roster can't
    change, so a group with a majority of the quorum set adds joining daemons
    to the set and removes those that have left or become silent; a group
    without a majority leaves the set unchanged.

    Attributes:
        view: Liveness of the members.
        get_store_read_at: Returns when this daemon last read the store's
            configuration, in seconds of loop time.
        quorum_ids: Member ids of the quorum set.
        roster_ids: Member ids of the newest roster.
        isolated: Whether new work was refused at the last update.
    """

    __slots__ = (
        "get_store_read_at",
        "isolated",
        "quorum_ids",
        "roster_ids",
        "view",
    )

    def __init__(
        self, *, view: MemberView, get_store_read_at: Callable[[], float]
    ) -> None:
        self.view = view
        self.get_store_read_at = get_store_read_at
        self.roster_ids: frozenset[str] = frozenset()
        self.quorum_ids: frozenset[str] = frozenset()
        self.isolated = False
        view.roster_listeners.append(self.on_roster_change)

    def is_isolated(self) -> bool:
        """Returns whether new work must be refused now."""
        if self.has_majority():
            return False
        limit_s = self.view.settings.isolated_after_s
        return self.group_store_read_age_s() >= limit_s

    def has_majority(self, within_s: float | None = None) -> bool:
        """Returns whether a majority of the quorum set is reachable.

        A daemon that reaches no peer has no majority, even if it is the only
        member of the set, since it can't distinguish an outage of the store
        from its own network partition.

        Args:
            within_s: Maximum time since a member's last message, in seconds;
                the isolation time if None.
        """
        if within_s is None:
            within_s = self.view.settings.isolated_after_s
        reachable = self.view.reachable_ids(within_s)
        reachable_quorum = self.quorum_ids & (
            reachable | {self.view.local_member.id}
        )
        return bool(reachable) and is_majority(
            reachable_quorum, self.quorum_ids
        )

    def own_store_read_age_s(self) -> float:
        """Returns the time since this daemon read the store, in seconds."""
        return monotonic_s() - self.get_store_read_at()

    def group_store_read_age_s(self) -> float:
        """Returns the time since the group's last store read, in seconds."""
        reachable = self.view.reachable_ids(self.view.settings.isolated_after_s)
        peer_read_times = [
            self.view.peers[peer_id].store_read_at for peer_id in reachable
        ]
        return monotonic_s() - max(
            self.get_store_read_at(), *peer_read_times, NEVER
        )

    def on_roster_change(self, roster: Roster) -> None:
        """Applies the changes of a newer roster to the quorum set."""
        members = frozenset(member.id for member in roster.members)
        kept = self.quorum_ids - (self.roster_ids - members)
        self.quorum_ids = kept | (members - self.roster_ids)
        self.roster_ids = members

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Adds the quorum set if it differs from the roster.

        Only a daemon with a majority publishes its quorum set.
        """
        if self.quorum_ids != self.roster_ids and self.has_majority():
            heartbeat.quorum_ids = sorted(self.quorum_ids)

    def adopt_quorum_ids(self, heartbeat: Heartbeat) -> None:
        """Adopts a quorum set published by a group with a majority."""
        if heartbeat.quorum_ids and not self.has_majority():
            self.quorum_ids = frozenset(heartbeat.quorum_ids)

    def needs_store_read(self) -> bool:
        """Returns whether this daemon should read the store now.

        Without a majority, the first live member in id order reads it each
        second; later members read it after a longer delay if that read has
        not succeeded.
        """
        if self.has_majority(self.view.settings.suspect_after_s):
            return False
        rank = sum(i < self.view.local_member.id for i in self.view.live_ids())
        return self.group_store_read_age_s() >= STORE_READ_INTERVAL_S * (
            1 + min(rank, 2) / 2
        )

    async def run(self, refresh: Callable[[], Awaitable[None]]) -> None:
        """Reads the store whenever needed, until cancelled."""
        while True:
            if self.needs_store_read():
                await refresh()
            await asyncio.sleep(ISOLATION_CHECK_INTERVAL_S)

    def update(self) -> None:
        """Updates the quorum set and logs changes of isolation."""
        if self.has_majority():
            self._update_quorum_ids()
        since_resume_s = monotonic_s() - self.view.last_resumed_at
        isolated = self.is_isolated()
        if isolated and since_resume_s < self.view.settings.isolated_after_s:
            return  # peers' messages may not have arrived yet
        if isolated != self.isolated:
            self.isolated = isolated
            event = EventId.ISOLATED if isolated else EventId.ISOLATION_ENDED
            log_event(event, live=self.view.live_ids())

    def _update_quorum_ids(self) -> None:
        view = self.view
        remove_after_s = view.settings.remove_after_s
        departed = {
            member_id
            for member_id in self.quorum_ids - {view.local_member.id}
            if member_id not in view.peers
            or view.peers[member_id].leaving
            or view.silence_s(member_id) >= remove_after_s
        }
        self.quorum_ids = (self.quorum_ids - departed) | set(view.live_ids())


__all__ = ["IsolationDetector"]

"""Decides whether this daemon may still trust its configuration."""

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
    """Tells whether the configuration may have moved on unseen.

    It can't have if someone in this group has just read the store, or if the
    group is a majority: then the store is out for all, and takes no ticket.
    The majority is one of the quorum set, which starts as the roster. While
    the store is out the roster can't change, so a group with a majority of
    the quorum set takes daemons that come into it and drops those that have
    left or gone silent; a group without a majority leaves it as it is.

    Attributes:
        view: What is known of the members.
        get_store_read_at: Tells when this daemon last read the store's
            configuration, in seconds of loop time.
        quorum_ids: The quorum set.
        isolated: New work was refused at the last update.
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
        """Tells whether new work must be refused now."""
        if self.has_majority():
            return False
        limit_s = self.view.settings.isolated_after_s
        return self.group_store_read_age_s() >= limit_s

    def has_majority(self, within_s: float | None = None) -> bool:
        """Tells whether a majority of the quorum set was heard lately.

        A daemon that hears no peer has none, even if it is alone in the set,
        since it can't tell an outage from a cut of its own.

        Args:
            within_s: How lately, in seconds; the isolation time if None.
        """
        if within_s is None:
            within_s = self.view.settings.isolated_after_s
        heard = self.view.heard_ids(within_s)
        near = self.quorum_ids & (heard | {self.view.local_member.id})
        return bool(heard) and is_majority(near, self.quorum_ids)

    def own_store_read_age_s(self) -> float:
        """Returns the time since this daemon read the store."""
        return monotonic_s() - self.get_store_read_at()

    def group_store_read_age_s(self) -> float:
        """Returns the time since anyone in this group read the store."""
        heard = self.view.heard_ids(self.view.settings.isolated_after_s)
        reads = [self.view.peers[peer_id].store_read_at for peer_id in heard]
        return monotonic_s() - max(self.get_store_read_at(), *reads, NEVER)

    def on_roster_change(self, roster: Roster) -> None:
        """Applies what a newer roster changes to the quorum set."""
        members = frozenset(member.id for member in roster.members)
        kept = self.quorum_ids - (self.roster_ids - members)
        self.quorum_ids = kept | (members - self.roster_ids)
        self.roster_ids = members

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Adds the quorum set, if it is not the roster."""
        if self.quorum_ids != self.roster_ids and self.has_majority():
            heartbeat.quorum_ids = sorted(self.quorum_ids)

    def adopt_quorum_ids(self, heartbeat: Heartbeat) -> None:
        """Takes the quorum set of a group that has a majority."""
        if heartbeat.quorum_ids and not self.has_majority():
            self.quorum_ids = frozenset(heartbeat.quorum_ids)

    def needs_store_read(self) -> bool:
        """Tells whether this daemon should read the store now.

        Without a majority, one member of the group reads it each second, and
        the next one if that does not help.
        """
        if self.has_majority(self.view.settings.suspect_after_s):
            return False
        rank = sum(i < self.view.local_member.id for i in self.view.live_ids())
        return self.group_store_read_age_s() >= STORE_READ_INTERVAL_S * (
            1 + min(rank, 2) / 2
        )

    async def run(self, refresh: Callable[[], Awaitable[None]]) -> None:
        """Reads the store for ever whenever that is needed."""
        while True:
            if self.needs_store_read():
                await refresh()
            await asyncio.sleep(ISOLATION_CHECK_INTERVAL_S)

    def update(self) -> None:
        """Follows the daemons that come and go; logs changes."""
        if self.has_majority():
            self._follow()
        awake_s = monotonic_s() - self.view.last_resumed_at
        isolated = self.is_isolated()
        if isolated and awake_s < self.view.settings.isolated_after_s:
            return  # it may just not have heard anyone yet
        if isolated != self.isolated:
            self.isolated = isolated
            event = EventId.ISOLATED if isolated else EventId.ISOLATION_ENDED
            log_event(event, live=self.view.live_ids())

    def _follow(self) -> None:
        view = self.view
        gone_s = view.settings.remove_after_s
        gone = {
            member_id
            for member_id in self.quorum_ids - {view.local_member.id}
            if member_id not in view.peers
            or view.peers[member_id].leaving
            or view.silence_s(member_id) >= gone_s
        }
        self.quorum_ids = (self.quorum_ids - gone) | set(view.live_ids())


__all__ = ["IsolationDetector"]

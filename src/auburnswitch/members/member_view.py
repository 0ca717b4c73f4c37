"""What one daemon knows of the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s
from auburnswitch.members.peer_status import NEVER, PeerStatus
from auburnswitch.members.rendezvous import rendezvous_owner
from auburnswitch.schema.objects import Member, Roster

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from auburnswitch.schema.settings import MembersSettings


class MemberView:
    """The roster and the liveness of its members.

    Attributes:
        local_member: This daemon.
        roster: The agreed membership as last seen.
        peers: Status of every known peer, by member id.
        leaving: This daemon is stopping.
        last_resumed_at: When this daemon started, or was last found to have
            been paused, in seconds of loop time.
        last_tick_at: Loop time of the last tick, in seconds.
        roster_listeners: Called with each newer roster.
        peer_listeners: Called when a peer appears or knows a newer epoch.
    """

    __slots__ = (
        "last_resumed_at",
        "last_tick_at",
        "leaving",
        "local_member",
        "peer_listeners",
        "peers",
        "roster",
        "roster_listeners",
        "settings",
    )

    def __init__(
        self, *, local_member: Member, settings: MembersSettings
    ) -> None:
        self.local_member = local_member
        self.settings = settings
        self.roster = Roster()
        self.peers: dict[str, PeerStatus] = {}
        self.leaving = False
        self.last_resumed_at = self.last_tick_at = monotonic_s()
        self.roster_listeners: list[Callable[[Roster], None]] = []
        self.peer_listeners: list[Callable[[], None]] = []

    def get_or_add_peer(self, member: Member) -> PeerStatus | None:
        """Returns the status of a member, which may be new; None for self."""
        if member.id == self.local_member.id or not member.id:
            return None
        status = self.peers.get(member.id)
        if status is None:
            status = self.peers[member.id] = PeerStatus(member=member)
            self.notify_peer_change()
        return status

    def adopt_roster(self, roster: Roster) -> bool:
        """Takes a newer roster; returns whether it was newer."""
        if roster.epoch <= self.roster.epoch:
            return False
        self.roster = roster
        for member in roster.members:
            self.get_or_add_peer(member)
        for listener in self.roster_listeners:
            listener(roster)
        return True

    def notify_peer_change(self) -> None:
        """Tells the listeners that a peer's status has changed."""
        for listener in self.peer_listeners:
            listener()

    def detect_pause(self) -> None:
        """Notices, called at each heartbeat, that the process was paused.

        Silence of peers during a pause of this daemon proves nothing.
        """
        now = monotonic_s()
        if now - self.last_tick_at > self.settings.suspect_after_s:
            self.last_resumed_at = now
        self.last_tick_at = now

    def remove_departed_peers(self) -> None:
        """Forgets peers that are not in the roster and have gone silent."""
        members = set(self.roster_ids())
        gone = [
            peer_id
            for peer_id in self.peers
            if peer_id not in members
            and self.silence_s(peer_id) >= self.settings.remove_after_s
        ]
        for peer_id in gone:
            del self.peers[peer_id]

    def live_ids(self) -> list[str]:
        """Returns the members heard lately that are not leaving, and self."""
        oldest = monotonic_s() - self.settings.suspect_after_s
        live = [
            peer_id
            for peer_id, status in self.peers.items()
            if status.heard_at >= oldest and not status.leaving
        ]
        if not self.leaving:
            live.append(self.local_member.id)
        return sorted(live)

    def heard_ids(self, within_s: float) -> set[str]:
        """Returns the peers heard within a time, leaving ones included."""
        oldest = monotonic_s() - within_s
        return {
            peer_id
            for peer_id, status in self.peers.items()
            if status.heard_at >= oldest
        }

    def heard_members(self) -> list[Member]:
        """Returns the peers heard lately."""
        heard = self.heard_ids(self.settings.suspect_after_s)
        return [self.peers[peer_id].member for peer_id in sorted(heard)]

    def hears_unknown_members(self, peer_id: str) -> bool:
        """Tells whether a peer hears daemons that are not known here."""
        status = self.peers.get(peer_id)
        if status is None:
            return False
        return bool(
            status.heard_ids - self.peers.keys() - {self.local_member.id}
        )

    def owner_of(self, endpoint: str) -> str:
        """Returns the live member that owns an endpoint, for soft rights."""
        return rendezvous_owner(endpoint, self.live_ids())

    def roster_ids(self) -> list[str]:
        """Returns the ids of the agreed members."""
        return [member.id for member in self.roster.members]

    def has_departed(self, member_id: str) -> bool:
        """Tells whether a member has left the roster and is not heard."""
        if not self.roster.epoch or member_id in self.roster_ids():
            return False
        return member_id not in self.live_ids()

    def silence_s(self, member_id: str) -> float:
        """Returns for how long this daemon, awake, has not heard a peer."""
        status = self.peers.get(member_id)
        if status is None:
            return 0.0
        since = max(status.heard_at, status.first_seen_at, self.last_resumed_at)
        return monotonic_s() - since

    def silent_ids(self) -> list[str]:
        """Returns roster members that no live peer has heard for long."""
        lately = self.heard_ids(self.settings.suspect_after_s)
        heard = lately.union(*(self.peers[i].heard_ids for i in lately))
        return [
            member_id
            for member_id in self.roster_ids()
            if member_id not in heard
            and self.silence_s(member_id) >= self.settings.remove_after_s
        ]

    def knows_epoch(self, member_id: str) -> bool:
        """Tells whether a member is known to know the present epoch."""
        if member_id == self.local_member.id:
            return True
        status = self.peers.get(member_id)
        return status is not None and status.known_epoch >= self.roster.epoch

    def majority_knows_epoch(self) -> bool:
        """Tells whether a majority of the roster knows its epoch."""
        ids = self.roster_ids()
        known = [i for i in ids if self.knows_epoch(i)]
        return not ids or is_majority(known, ids)

    def hears_majority(self) -> bool:
        """Tells whether a majority of the roster was heard lately."""
        heard = self.heard_ids(self.settings.suspect_after_s) | {
            self.local_member.id
        }
        ids = self.roster_ids()
        return is_majority([i for i in ids if i in heard], ids)

    def quorum_acked_at(self) -> float:
        """Returns the time up to which a majority has acknowledged the epoch.

        The result is the newest loop time t such that a majority of the
        roster, this daemon included, has acknowledged a heartbeat sent at t
        or later with the present epoch; minus infinity if there is none.
        """
        ids = self.roster_ids()
        if self.local_member.id not in ids:
            return NEVER
        times = sorted(
            (self._acked_at(peer_id) for peer_id in ids), reverse=True
        )
        return times[len(ids) // 2]

    def has_quorum(self) -> bool:
        """Tells whether a majority has acknowledged within the lease."""
        oldest = monotonic_s() - self.settings.strict_lease_s
        return self.quorum_acked_at() > oldest

    def _acked_at(self, member_id: str) -> float:
        if member_id == self.local_member.id:
            return monotonic_s()
        status = self.peers.get(member_id)
        if status is None or status.acked_epoch != self.roster.epoch:
            return NEVER
        return status.acked_at


def is_majority(part: Collection[str], whole: Collection[str]) -> bool:
    """Tells whether a part of a group is more than half of it."""
    return 2 * len(part) > len(whole)


__all__ = ["MemberView", "PeerStatus", "is_majority"]

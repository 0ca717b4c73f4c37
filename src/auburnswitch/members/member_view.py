"""Holds one daemon's view of the roster and of its peers' liveness."""

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
        local_member: This daemon's identity and address.
        settings: Timeouts of membership.
        roster: Newest adopted roster.
        peers: Status of every known peer, by member id.
        leaving: Whether this daemon is stopping.
        last_resumed_at: Loop time at which this daemon started, or last
            detected that it had been paused, in seconds.
        last_tick_at: Loop time of the last call of ``detect_pause``, in
            seconds.
        roster_listeners: Called with each newer roster.
        peer_listeners: Called when a peer is added or reports a newer epoch.
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
        """Returns a member's status, adding it if new; None for this daemon."""
        if member.id == self.local_member.id or not member.id:
            return None
        status = self.peers.get(member.id)
        if status is None:
            status = self.peers[member.id] = PeerStatus(member=member)
            self.notify_peer_change()
        return status

    def adopt_roster(self, roster: Roster) -> bool:
        """Adopts a roster if it is newer; returns whether it was."""
        if roster.epoch <= self.roster.epoch:
            return False
        self.roster = roster
        for member in roster.members:
            self.get_or_add_peer(member)
        for listener in self.roster_listeners:
            listener(roster)
        return True

    def notify_peer_change(self) -> None:
        """Calls the listeners for a new peer or a peer with a newer epoch."""
        for listener in self.peer_listeners:
            listener()

    def detect_pause(self) -> None:
        """Detects that this process was paused; called at each heartbeat.

        Silence of peers during a pause of this daemon is no sign of failure.
        """
        now = monotonic_s()
        if now - self.last_tick_at > self.settings.suspect_after_s:
            self.last_resumed_at = now
        self.last_tick_at = now

    def remove_departed_peers(self) -> None:
        """Removes silent peers that are not in the roster."""
        members = set(self.roster_ids())
        departed = [
            peer_id
            for peer_id in self.peers
            if peer_id not in members
            and self.silence_s(peer_id) >= self.settings.remove_after_s
        ]
        for peer_id in departed:
            del self.peers[peer_id]

    def live_ids(self) -> list[str]:
        """Returns the daemons, this one included, that are live.

        A daemon is live if it is reachable within the suspicion timeout and
        not leaving.
        """
        oldest = monotonic_s() - self.settings.suspect_after_s
        live = [
            peer_id
            for peer_id, status in self.peers.items()
            if status.last_received_at >= oldest and not status.leaving
        ]
        if not self.leaving:
            live.append(self.local_member.id)
        return sorted(live)

    def reachable_ids(self, within_s: float) -> set[str]:
        """Returns the peers, also leaving ones, with a recent message.

        Args:
            within_s: Maximum time since the peer's last message, in seconds.
        """
        oldest = monotonic_s() - within_s
        return {
            peer_id
            for peer_id, status in self.peers.items()
            if status.last_received_at >= oldest
        }

    def reachable_members(self) -> list[Member]:
        """Returns the peers with a message within the suspicion timeout."""
        reachable = self.reachable_ids(self.settings.suspect_after_s)
        return [self.peers[peer_id].member for peer_id in sorted(reachable)]

    def reports_unknown_members(self, peer_id: str) -> bool:
        """Returns whether a peer reports live daemons unknown to this one."""
        status = self.peers.get(peer_id)
        if status is None:
            return False
        return bool(
            status.reported_live_ids
            - self.peers.keys()
            - {self.local_member.id}
        )

    def owner_of(self, endpoint: str) -> str:
        """Returns an endpoint's owner by the live members, without a lease."""
        return rendezvous_owner(endpoint, self.live_ids())

    def roster_ids(self) -> list[str]:
        """Returns the ids of the roster's members."""
        return [member.id for member in self.roster.members]

    def has_departed(self, member_id: str) -> bool:
        """Returns whether a member is neither in the roster nor live."""
        if not self.roster.epoch or member_id in self.roster_ids():
            return False
        return member_id not in self.live_ids()

    def silence_s(self, member_id: str) -> float:
        """Returns the time without a message from a peer, in seconds.

        Time before this daemon was last resumed does not count. The result is
        0 for an unknown peer.
        """
        status = self.peers.get(member_id)
        if status is None:
            return 0.0
        silent_since = max(
            status.last_received_at, status.first_seen_at, self.last_resumed_at
        )
        return monotonic_s() - silent_since

    def unreachable_ids(self) -> list[str]:
        """Returns silent roster members that no reachable peer reports live."""
        reachable = self.reachable_ids(self.settings.suspect_after_s)
        reported_live = reachable.union(
            *(self.peers[i].reported_live_ids for i in reachable)
        )
        return [
            member_id
            for member_id in self.roster_ids()
            if member_id not in reported_live
            and self.silence_s(member_id) >= self.settings.remove_after_s
        ]

    def has_current_epoch(self, member_id: str) -> bool:
        """Returns whether a member has reported the current epoch."""
        if member_id == self.local_member.id:
            return True
        status = self.peers.get(member_id)
        return status is not None and status.roster_epoch >= self.roster.epoch

    def majority_has_current_epoch(self) -> bool:
        """Returns whether a roster majority has the current epoch."""
        ids = self.roster_ids()
        current_ids = [i for i in ids if self.has_current_epoch(i)]
        return not ids or is_majority(current_ids, ids)

    def reaches_majority(self) -> bool:
        """Returns whether a majority of the roster is reachable."""
        reachable = self.reachable_ids(self.settings.suspect_after_s) | {
            self.local_member.id
        }
        ids = self.roster_ids()
        return is_majority([i for i in ids if i in reachable], ids)

    def quorum_acked_at(self) -> float:
        """Returns the time up to which a majority has acknowledged the epoch.

        Returns:
            The newest loop time t, in seconds, such that a majority of the
            roster, this daemon included, has acknowledged a heartbeat sent at
            t or later with the current epoch; minus infinity if there is none.
        """
        ids = self.roster_ids()
        if self.local_member.id not in ids:
            return NEVER
        times = sorted(
            (self._acked_at(peer_id) for peer_id in ids), reverse=True
        )
        return times[len(ids) // 2]

    def has_quorum(self) -> bool:
        """Returns whether a majority has acknowledged within the lease."""
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
    """Returns whether a part of a group is more than half of it."""
    return 2 * len(part) > len(whole)


__all__ = ["MemberView", "PeerStatus", "is_majority"]

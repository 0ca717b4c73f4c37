"""What one daemon knows of the others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.rendezvous import rendezvous_first
from auburnswitch.schema.objects import Member, Roster

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.settings import MembersSettings

_NEVER: Final = float("-inf")


class PeerStatus:
    """What is known of one peer.

    Attributes:
        member: The peer's identity and address.
        heard_at: When the peer was last heard, in seconds of loop time.
        acked_at: Sending time of the newest heartbeat that the peer has
            acknowledged at ``acked_epoch``, in seconds of loop time.
        acked_epoch: Roster epoch of that acknowledgement.
        leaving: The peer is stopping.
        state_digest: Digest of the peer's configuration.
    """

    __slots__ = (
        "acked_at",
        "acked_epoch",
        "heard_at",
        "leaving",
        "member",
        "state_digest",
    )

    def __init__(self, *, member: Member) -> None:
        self.member = member
        self.heard_at = _NEVER
        self.acked_at = _NEVER
        self.acked_epoch = 0
        self.leaving = False
        self.state_digest = ""

    def note_ack(self, epoch: int, sent_at: float) -> None:
        """Takes the epoch that acknowledges a heartbeat sent at a time."""
        if epoch < self.acked_epoch:
            return  # a late answer; the peer knows a newer epoch
        if epoch > self.acked_epoch:
            self.acked_at = _NEVER
        self.acked_epoch = epoch
        self.acked_at = max(self.acked_at, sent_at)


class MemberView:
    """The roster and the liveness of its members.

    Attributes:
        me: This daemon.
        roster: The agreed membership as last seen.
        peers: Status of every known peer, by member id.
        leaving: This daemon is stopping.
        roster_listeners: Called with each newer roster.
    """

    __slots__ = (
        "leaving",
        "me",
        "peers",
        "roster",
        "roster_listeners",
        "settings",
    )

    def __init__(self, *, me: Member, settings: MembersSettings) -> None:
        self.me = me
        self.settings = settings
        self.roster = Roster()
        self.peers: dict[str, PeerStatus] = {}
        self.leaving = False
        self.roster_listeners: list[Callable[[Roster], None]] = []

    def note_member(self, member: Member) -> PeerStatus | None:
        """Returns the status of a member, which may be new; None for self."""
        if member.id == self.me.id or not member.id:
            return None
        status = self.peers.get(member.id)
        if status is None:
            status = self.peers[member.id] = PeerStatus(member=member)
        return status

    def note_roster(self, roster: Roster) -> bool:
        """Takes a newer roster; returns whether it was newer."""
        if roster.epoch <= self.roster.epoch:
            return False
        self.roster = roster
        for member in roster.members:
            self.note_member(member)
        for listener in self.roster_listeners:
            listener(roster)
        return True

    def live_ids(self) -> list[str]:
        """Returns the members heard lately that are not leaving, and self."""
        oldest = monotonic_s() - self.settings.suspect_after_s
        live = [
            peer_id
            for peer_id, status in self.peers.items()
            if status.heard_at >= oldest and not status.leaving
        ]
        if not self.leaving:
            live.append(self.me.id)
        return sorted(live)

    def owner_of(self, endpoint: str) -> str:
        """Returns the live member that owns an endpoint, for soft rights."""
        return rendezvous_first(endpoint, self.live_ids())

    def roster_ids(self) -> list[str]:
        """Returns the ids of the agreed members."""
        return [member.id for member in self.roster.members]

    def is_gone(self, member_id: str) -> bool:
        """Tells whether a member has left the roster and is not heard."""
        if not self.roster.epoch or member_id in self.roster_ids():
            return False
        return member_id not in self.live_ids()

    def quorum_at(self) -> float:
        """Returns the time up to which a majority has acknowledged the epoch.

        The result is the newest loop time t such that a majority of the
        roster, this daemon included, has acknowledged a heartbeat sent at t
        or later with the present epoch; minus infinity if there is none.
        """
        ids = self.roster_ids()
        if self.me.id not in ids:
            return _NEVER
        times = sorted(
            (self._acked_at(peer_id) for peer_id in ids), reverse=True
        )
        return times[len(ids) // 2]

    def _acked_at(self, member_id: str) -> float:
        if member_id == self.me.id:
            return monotonic_s()
        status = self.peers.get(member_id)
        if status is None or status.acked_epoch != self.roster.epoch:
            return _NEVER
        return status.acked_at

    def silent_ids(self) -> list[str]:
        """Returns roster members not heard for the removal time."""
        oldest = monotonic_s() - self.settings.remove_after_s
        return [
            member_id
            for member_id in self.roster_ids()
            if member_id != self.me.id
            and self.peers[member_id].heard_at < oldest
        ]


__all__ = ["MemberView", "PeerStatus"]

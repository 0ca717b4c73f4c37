"""Records a peer's liveness and reported state."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.schema.objects import Member
    from auburnswitch.schema.peers import Heartbeat, HeartbeatAck

NEVER: Final = float("-inf")


class PeerStatus:
    """Liveness and reported state of one peer.

    All times are loop times, in seconds.

    Attributes:
        member: The peer's identity and address.
        first_seen_at: When this daemon added the peer.
        last_received_at: When the newest message of the peer was received.
        reported_live_ids: Live members in the peer's newest heartbeat.
        acked_at: Sending time of the newest heartbeat that the peer has
            acknowledged at ``acked_epoch``.
        acked_epoch: Roster epoch of that acknowledgement.
        roster_epoch: Newest roster epoch that the peer has reported.
        leaving: Whether the peer is stopping.
        state_digest: Digest of the peer's configuration.
        store_read_at: When the peer last read the platform's store.
    """

    __slots__ = (
        "acked_at",
        "acked_epoch",
        "first_seen_at",
        "last_received_at",
        "leaving",
        "member",
        "reported_live_ids",
        "roster_epoch",
        "state_digest",
        "store_read_at",
    )

    def __init__(self, *, member: Member) -> None:
        self.member = member
        self.first_seen_at = monotonic_s()
        self.last_received_at = NEVER
        self.reported_live_ids: frozenset[str] = frozenset()
        self.acked_at = NEVER
        self.acked_epoch = 0
        self.roster_epoch = 0
        self.leaving = False
        self.state_digest = ""
        self.store_read_at = NEVER

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Records a heartbeat of the peer."""
        now = monotonic_s()
        self.last_received_at = now
        self.reported_live_ids = frozenset(heartbeat.heard)
        self.roster_epoch = max(self.roster_epoch, heartbeat.epoch)
        self.leaving = heartbeat.leaving
        self.state_digest = heartbeat.state_digest
        read_at = now - max(0.0, heartbeat.store_age_s)
        self.store_read_at = max(self.store_read_at, read_at)

    def record_ack(self, ack: HeartbeatAck, sent_at: float) -> None:
        """Records an acknowledgement of the peer.

        Args:
            ack: The acknowledgement.
            sent_at: Loop time at which this daemon sent the acknowledged
                heartbeat, in seconds.
        """
        self.last_received_at = monotonic_s()
        self.leaving = ack.leaving
        self.state_digest = ack.state_digest
        self.roster_epoch = max(self.roster_epoch, ack.epoch)
        if ack.epoch < self.acked_epoch:
            return  # late reply; the peer has acknowledged a newer epoch
        if ack.epoch > self.acked_epoch:
            self.acked_at = NEVER
        self.acked_epoch = ack.epoch
        self.acked_at = max(self.acked_at, sent_at)


__all__ = ["NEVER", "PeerStatus"]

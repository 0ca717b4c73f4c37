"""What one daemon knows of one peer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.schema.objects import Member
    from auburnswitch.schema.peers import Heartbeat, HeartbeatAck

NEVER: Final = float("-inf")


class PeerStatus:
    """What is known of one peer. All times are loop time, in seconds.

    Attributes:
        member: The peer's identity and address.
        first_seen_at: When this daemon first learned of the peer.
        heard_at: When the peer was last heard.
        heard_ids: Members that the peer has heard lately.
        acked_at: Sending time of the newest heartbeat that the peer has
            acknowledged at ``acked_epoch``.
        acked_epoch: Roster epoch of that acknowledgement.
        known_epoch: Newest roster epoch that the peer is known to know.
        leaving: The peer is stopping.
        state_digest: Digest of the peer's configuration.
        store_read_at: When the peer last read the platform's store.
    """

    __slots__ = (
        "acked_at",
        "acked_epoch",
        "first_seen_at",
        "heard_at",
        "heard_ids",
        "known_epoch",
        "leaving",
        "member",
        "state_digest",
        "store_read_at",
    )

    def __init__(self, *, member: Member) -> None:
        self.member = member
        self.first_seen_at = monotonic_s()
        self.heard_at = NEVER
        self.heard_ids: frozenset[str] = frozenset()
        self.acked_at = NEVER
        self.acked_epoch = 0
        self.known_epoch = 0
        self.leaving = False
        self.state_digest = ""
        self.store_read_at = NEVER

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes what a heartbeat of the peer says."""
        now = monotonic_s()
        self.heard_at = now
        self.heard_ids = frozenset(heartbeat.heard)
        self.known_epoch = max(self.known_epoch, heartbeat.epoch)
        self.leaving = heartbeat.leaving
        self.state_digest = heartbeat.state_digest
        read_at = now - max(0.0, heartbeat.store_age_s)
        self.store_read_at = max(self.store_read_at, read_at)

    def record_ack(self, ack: HeartbeatAck, sent_at: float) -> None:
        """Takes an acknowledgement.

        Args:
            ack: The peer's answer.
            sent_at: When the heartbeat that it answers was sent, by this
                daemon's clock.
        """
        self.heard_at = monotonic_s()
        self.leaving = ack.leaving
        self.state_digest = ack.state_digest
        self.known_epoch = max(self.known_epoch, ack.epoch)
        if ack.epoch < self.acked_epoch:
            return  # a late answer; the peer knows a newer epoch
        if ack.epoch > self.acked_epoch:
            self.acked_at = NEVER
        self.acked_epoch = ack.epoch
        self.acked_at = max(self.acked_at, sent_at)


__all__ = ["NEVER", "PeerStatus"]

"""What an entry daemon knows of another one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.gossip import Gossip

if TYPE_CHECKING:
    from auburnswitch.schema.gossip import DaemonRecord

MIN_HEARTBEAT_INTERVAL_S: Final = 0.5
MAX_LEADING_INTERVAL_S: Final = 0.7
HEARTBEAT_INTERVAL_PER_PEER_S: Final = (
    0.03  # bounds what a daemon gets in a second
)
LIVENESS_TIMEOUT_HEARTBEATS: Final = 3.0
_MS_PER_S: Final = 1000.0


class GossipPeer:
    """Another entry daemon.

    Attributes:
        record: Where it is reached.
        last_message: Its newest datagram without its work.
        heard_at: Loop time at which that came, None before the first.
        added_at: Loop time at which this daemon learned of it, in seconds.
        liveness_timeout_s: Silence after which it no longer counts as live,
            in seconds.
        last_sequences: Newest datagram of its process, by whether it was
            relayed.
    """

    __slots__ = (
        "added_at",
        "heard_at",
        "last_message",
        "last_sequences",
        "liveness_timeout_s",
        "record",
    )

    def __init__(self, *, record: DaemonRecord) -> None:
        self.last_sequences: dict[bool, int] = {}
        self.added_at = monotonic_s()
        self.liveness_timeout_s = (
            LIVENESS_TIMEOUT_HEARTBEATS * MIN_HEARTBEAT_INTERVAL_S
        )
        self.record = record
        self.last_message = Gossip()
        self.heard_at: float | None = None

    @property
    def is_live(self) -> bool:
        """Whether it was heard of lately and does not stop."""
        if self.heard_at is None or self.last_message.stopping:
            return False
        return monotonic_s() - self.heard_at < self.liveness_timeout_s

    def store_read_at(self) -> float | None:
        """Returns the loop time of the newest store read it knows of."""
        if self.heard_at is None or self.last_message.store_read_age_ms < 0:
            return None
        return self.heard_at - self.last_message.store_read_age_ms / _MS_PER_S

    def is_newer(self, message: Gossip) -> bool:
        """Whether a message is from a newer start, or newer in the same one.

        Relayed messages may be overtaken by direct ones and are compared with
        each other only.
        """
        known = self.last_message.incarnation
        if message.incarnation != known:
            return message.incarnation > known
        return message.sequence > self.last_sequences.get(message.relayed, 0)

    def record_message(self, message: Gossip, interval_s: float) -> None:
        """Takes over a message.

        Args:
            message: The message.
            interval_s: Time until the next heartbeat, in seconds.
        """
        if message.incarnation != self.last_message.incarnation:
            self.last_sequences.clear()
        self.last_sequences[message.relayed] = message.sequence
        self.last_message = message
        self.heard_at = monotonic_s()
        self.liveness_timeout_s = LIVENESS_TIMEOUT_HEARTBEATS * interval_s


def heartbeat_interval_s(peers: int, *, leading: bool = False) -> float:
    """Returns the time between two heartbeats, in seconds.

    Args:
        peers: How many other daemons there are.
        leading: Peers rely on the sender.
    """
    interval_s = max(
        MIN_HEARTBEAT_INTERVAL_S, peers * HEARTBEAT_INTERVAL_PER_PEER_S
    )
    return min(interval_s, MAX_LEADING_INTERVAL_S) if leading else interval_s


__all__ = ["GossipPeer", "heartbeat_interval_s"]

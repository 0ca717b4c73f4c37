"""What an entry daemon knows of another one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.gossip import Gossip

if TYPE_CHECKING:
    from auburnswitch.schema.gossip import DaemonRecord

HEARTBEAT_INTERVAL_S: Final = 0.5
LEADING_INTERVAL_S: Final = 0.7
HEARTBEAT_PER_PEER_S: Final = 0.03  # bounds what a daemon gets in a second
LIVE_HEARTBEATS: Final = 3.0
_MS_PER_S: Final = 1000.0


class Peer:
    """Another entry daemon.

    Attributes:
        record: Where it is reached.
        news: Its newest datagram without its work.
        heard_at: Loop time at which that came, None before the first.
        added_at: Loop time at which this daemon learned of it, in seconds.
        live_s: Silence after which it no longer counts as live, in seconds.
        sequences: Newest datagram of its process, by whether it was relayed.
    """

    __slots__ = (
        "added_at",
        "heard_at",
        "live_s",
        "news",
        "record",
        "sequences",
    )

    def __init__(self, *, record: DaemonRecord) -> None:
        self.sequences: dict[bool, int] = {}
        self.added_at = monotonic_s()
        self.live_s = LIVE_HEARTBEATS * HEARTBEAT_INTERVAL_S
        self.record = record
        self.news = Gossip()
        self.heard_at: float | None = None

    @property
    def live(self) -> bool:
        """Whether it was heard of lately and does not stop."""
        if self.heard_at is None or self.news.stopping:
            return False
        return monotonic_s() - self.heard_at < self.live_s

    def store_read_at(self) -> float | None:
        """Returns the loop time of the newest store read it knows of."""
        if self.heard_at is None or self.news.store_read_age_ms < 0:
            return None
        return self.heard_at - self.news.store_read_age_ms / _MS_PER_S

    def is_news(self, message: Gossip) -> bool:
        """Whether a message is from a newer start, or newer in the same one.

        Relayed messages may be overtaken by direct ones and are compared with
        each other only.
        """
        known = self.news.incarnation
        if message.incarnation != known:
            return message.incarnation > known
        return message.sequence > self.sequences.get(message.relayed, 0)

    def note(self, message: Gossip, interval_s: float) -> None:
        """Takes over a message.

        Args:
            message: The message.
            interval_s: Time until the next heartbeat, in seconds.
        """
        if message.incarnation != self.news.incarnation:
            self.sequences.clear()
        self.sequences[message.relayed] = message.sequence
        self.news = message
        self.heard_at = monotonic_s()
        self.live_s = LIVE_HEARTBEATS * interval_s


def heartbeat_interval_s(peers: int, *, leading: bool = False) -> float:
    """Returns the time between two heartbeats, in seconds.

    Args:
        peers: How many other daemons there are.
        leading: Peers rely on the sender.
    """
    interval_s = max(HEARTBEAT_INTERVAL_S, peers * HEARTBEAT_PER_PEER_S)
    return min(interval_s, LEADING_INTERVAL_S) if leading else interval_s


__all__ = ["Peer", "heartbeat_interval_s"]

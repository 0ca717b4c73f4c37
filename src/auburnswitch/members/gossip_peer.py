"""Tracks the liveness and the newest message of another entry daemon."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.gossip import Gossip

if TYPE_CHECKING:
    from collections.abc import Iterable

    from auburnswitch.schema.gossip import DaemonRecord

MIN_HEARTBEAT_INTERVAL_S: Final = 0.5
MAX_LEADING_HEARTBEAT_INTERVAL_S: Final = 0.7
HEARTBEAT_INTERVAL_PER_PEER_S: Final = (
    0.03  # bounds the heartbeats that a daemon receives per second
)
LIVENESS_TIMEOUT_HEARTBEATS: Final = 3.0
_MS_PER_S: Final = 1000.0


class GossipPeer:
    """State of another entry daemon.

    Attributes:
        record: The peer's record, with its address.
        last_message: Newest message of the peer.
        last_received_at: Loop time at which ``last_message`` was received, in
            seconds; None before the first message.
        added_at: Loop time at which the peer was added, in seconds.
        live_until: Loop time until which the peer counts as live without a
            further message, in seconds.
        last_sequences: Newest sequence number of the peer's incarnation, by
            whether the message was relayed.
    """

    __slots__ = (
        "added_at",
        "last_message",
        "last_received_at",
        "last_sequences",
        "live_until",
        "record",
    )

    def __init__(self, *, record: DaemonRecord) -> None:
        self.last_sequences: dict[bool, int] = {}
        self.added_at = monotonic_s()
        self.live_until = -math.inf
        self.record = record
        self.last_message = Gossip()
        self.last_received_at: float | None = None

    @property
    def is_live(self) -> bool:
        """Whether the peer is within its liveness timeout and not stopping."""
        return monotonic_s() < self.live_until

    def store_read_at(self) -> float | None:
        """Returns the loop time of the newest store read the peer reported.

        Returns:
            The time in seconds; None if the peer has reported no store read.
        """
        if (
            self.last_received_at is None
            or self.last_message.store_read_age_ms < 0
        ):
            return None
        return (
            self.last_received_at
            - self.last_message.store_read_age_ms / _MS_PER_S
        )

    def is_newer(self, message: Gossip) -> bool:
        """Returns whether a message is newer than those received so far.

        A newer incarnation takes precedence over the sequence number. One that
        seems older is newer as well if the peer has fallen silent: its time of
        day has jumped back before it started again. Direct messages may
        overtake relayed ones, so sequence numbers are compared separately for
        each.
        """
        last_incarnation = self.last_message.incarnation
        if message.incarnation != last_incarnation:
            return message.incarnation > last_incarnation or not self.is_live
        return message.sequence > self.last_sequences.get(message.relayed, 0)

    def record_message(self, message: Gossip, interval_s: float) -> None:
        """Records a received message.

        Args:
            message: The message.
            interval_s: Heartbeat interval of the sender, in seconds.
        """
        if message.incarnation != self.last_message.incarnation:
            self.last_sequences.clear()
        self.last_sequences[message.relayed] = message.sequence
        self.last_message = message
        self.last_received_at = monotonic_s()
        self.live_until = (
            -math.inf
            if message.stopping
            else self.last_received_at
            + LIVENESS_TIMEOUT_HEARTBEATS * interval_s
        )


def heartbeat_interval_s(
    receiver_count: int, *, leading: bool = False
) -> float:
    """Returns the time between two heartbeats, in seconds.

    Args:
        receiver_count: Number of heartbeat receivers.
        leading: Whether the sender reads the store for its peers or is a
            relay.
    """
    interval_s = max(
        MIN_HEARTBEAT_INTERVAL_S, receiver_count * HEARTBEAT_INTERVAL_PER_PEER_S
    )
    return (
        min(interval_s, MAX_LEADING_HEARTBEAT_INTERVAL_S)
        if leading
        else interval_s
    )


def group_by_zone(peers: Iterable[GossipPeer]) -> dict[str, list[GossipPeer]]:
    """Returns the peers by availability zone."""
    zones: dict[str, list[GossipPeer]] = {}
    for peer in peers:
        zones.setdefault(peer.record.zone, []).append(peer)
    return zones


__all__ = ["GossipPeer", "group_by_zone", "heartbeat_interval_s"]

"""Keeps the other entry daemons and which of them are live.

The list of live peers is built again only when a peer has joined, left or
become silent. Callers compare the list's identity to notice a change.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.gossip_peer import GossipPeer

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.gossip import DaemonRecord, Gossip

CELLS_REFRESH_INTERVAL_S: Final = 0.25


class PeerTable:
    """The other entry daemons.

    Attributes:
        by_instance: The peers, by instance.
        cell_of: Returns the number of the cell of an instance.
        latest_store_read_at: Loop time of the newest store read that a peer
            has reported, in seconds; None before the first report.
        store_generation: Generation of the store that a read must be of.
    """

    __slots__ = (
        "_cells",
        "_cells_refreshed_at",
        "_live",
        "_live_valid_until",
        "by_instance",
        "cell_of",
        "latest_store_read_at",
        "store_generation",
    )

    def __init__(self, *, cell_of: Callable[[str], int]) -> None:
        self.cell_of = cell_of
        self.by_instance: dict[str, GossipPeer] = {}
        self.latest_store_read_at: float | None = None
        self.store_generation = 0
        self._live: list[GossipPeer] = []
        self._live_valid_until = math.inf
        self._cells: dict[int, list[GossipPeer]] = {}
        self._cells_refreshed_at = -CELLS_REFRESH_INTERVAL_S

    def __len__(self) -> int:
        return len(self.by_instance)

    def add(self, record: DaemonRecord) -> GossipPeer:
        """Adds a daemon, or updates its record."""
        peer = self.by_instance.get(record.instance)
        if peer is None:
            peer = GossipPeer(record=record)
            self.by_instance[record.instance] = peer
        elif peer.record != record:
            peer.record = record
            self._live = []  # callers compare the records as well
            self._live_valid_until = -math.inf
        return peer

    def record_message(
        self, peer: GossipPeer, message: Gossip, interval_s: float
    ) -> None:
        """Records a message of a peer.

        Args:
            peer: The sender.
            message: The message.
            interval_s: Heartbeat interval of the sender, in seconds.
        """
        was_live = peer.is_live
        peer.record_message(message, interval_s)
        if not was_live:
            self._live_valid_until = -math.inf
        self._live_valid_until = min(self._live_valid_until, peer.live_until)
        read_at = peer.store_read_at()
        is_current = message.store_generation >= self.store_generation
        if read_at is not None and is_current:
            self.latest_store_read_at = max(
                read_at, self.latest_store_read_at or read_at
            )

    def remove_silent(self, silence_s: float) -> list[str]:
        """Removes peers from which nothing was received for a time.

        Args:
            silence_s: Time without a message, in seconds.

        Returns:
            The instances of the removed peers.
        """
        oldest = monotonic_s() - silence_s
        silent = [
            name
            for name, peer in self.by_instance.items()
            if max(peer.last_received_at or 0.0, peer.added_at) < oldest
        ]
        for name in silent:
            del self.by_instance[name]
        if silent:
            self._live_valid_until = -math.inf
        return silent

    def clear(self) -> None:
        """Removes all peers."""
        self.by_instance.clear()
        self._live_valid_until = -math.inf

    def live_peers(self) -> list[GossipPeer]:
        """Returns the peers within their liveness timeout.

        Returns:
            The same list as the last call, unless it has changed since.
        """
        now = monotonic_s()
        if now >= self._live_valid_until:
            live = [
                peer
                for peer in self.by_instance.values()
                if now < peer.live_until
            ]
            self._live_valid_until = min(
                (peer.live_until for peer in live), default=math.inf
            )
            if live != self._live:
                self._live = live
        return self._live

    def by_cell(self) -> dict[int, list[GossipPeer]]:
        """Returns the peers by the number of their cell."""
        now = monotonic_s()
        if now >= self._cells_refreshed_at + CELLS_REFRESH_INTERVAL_S:
            self._cells_refreshed_at = now
            self._cells = {}
            for name, peer in self.by_instance.items():
                self._cells.setdefault(self.cell_of(name), []).append(peer)
        return self._cells


__all__ = ["PeerTable"]

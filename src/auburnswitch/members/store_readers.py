"""Decides which entry daemons read the store for the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.relay_selector import fastest_link_instances
from auburnswitch.members.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.members.gossip_peer import GossipPeer
    from auburnswitch.members.peer_table import PeerTable
    from auburnswitch.schema.entry import StoreSettings
    from auburnswitch.schema.gossip import DaemonRecord

CHECK_INTERVAL_S: Final = 0.2
PEER_DISCOVERY_S: Final = 1.0  # time for peers to send their state
ELECTION_KEY: Final = "store reader"


class StoreReaderElection:
    """Decides whether this daemon reads the store for itself and its peers.

    Readers are elected by rendezvous hashing among the daemons with the fastest
    links. Other daemons read the store only if they have not joined the fleet
    in time, if fewer peers than readers are live, or if the latest read of
    their peers is unknown or too old.

    Attributes:
        settings: Settings of the store.
        local_record: This daemon's record.
        peers: The other daemons.
        has_joined: Returns whether this daemon has joined the fleet.
        is_reader: Whether this daemon has to read the store now.
        reading: Set while `is_reader` holds.
    """

    __slots__ = (
        "_elected",
        "_elected_from",
        "_started_at",
        "has_joined",
        "is_reader",
        "local_record",
        "peers",
        "reading",
        "settings",
    )

    def __init__(
        self,
        *,
        settings: StoreSettings,
        local_record: DaemonRecord,
        peers: PeerTable,
        has_joined: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.local_record = local_record
        self.peers = peers
        self.has_joined = has_joined
        self.is_reader = False
        self.reading = asyncio.Event()
        self._started_at = monotonic_s()
        self._elected = False
        self._elected_from: list[GossipPeer] | None = None

    async def run(self) -> None:
        """Decides again at intervals until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Decides whether this daemon reads the store."""
        self.is_reader = self._should_read()
        if self.is_reader:
            self.reading.set()
        else:
            self.reading.clear()

    def _should_read(self) -> bool:
        now = monotonic_s()
        starting = now - self._started_at < PEER_DISCOVERY_S
        if not self.has_joined():
            return not starting
        if starting:  # peers may not have sent their state yet
            return self._is_elected(
                [peer.record for peer in self.peers.by_instance.values()]
            )
        live_peers = self.peers.live_peers()
        if live_peers is not self._elected_from:
            self._elected_from = live_peers
            self._elected = self._is_elected(
                [peer.record for peer in live_peers]
            )
        return self._elected or self._peer_reads_are_old(now)

    def _is_elected(self, peer_records: list[DaemonRecord]) -> bool:
        readers = self.settings.readers
        if len(peer_records) < readers:
            return True
        eligible_instances = fastest_link_instances(
            [*peer_records, self.local_record]
        )
        order = rendezvous_order(ELECTION_KEY, eligible_instances)
        return self.local_record.instance in order[:readers]

    def _peer_reads_are_old(self, now: float) -> bool:
        read_at = self.peers.latest_store_read_at
        if read_at is None:
            return True
        max_age_s = (
            self.settings.peer_read_max_age_s + self.settings.probe_interval_s
        )
        return now - read_at > max_age_s


__all__ = ["StoreReaderElection"]

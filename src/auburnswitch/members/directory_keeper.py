"""Keeps the records of the daemons and their shared key in the store.

The store may come back from an older copy. The daemons that read it write again
what it has lost, so that daemons that start later find the others. A daemon
that receives messages signed with another key checks which one is in use.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from auburnswitch.members.entry_directory import EntryDirectory
    from auburnswitch.members.gossip import GossipNode
    from auburnswitch.schema.gossip import DaemonRecord

MIN_CHECK_INTERVAL_S: Final = 0.5
MAX_CHECK_INTERVAL_S: Final = 1.0
WAIT_INTERVALS: Final = 5  # after a failure, and between checks of the key


class DirectoryKeeper:
    """Restores the directory after the store has come back from a copy.

    Attributes:
        directory: The directory.
        gossip: Knows the live daemons and uses the shared key.
        is_reader: Returns whether this daemon reads the store for its peers.
        rng: Random generator that spreads the checks of the daemons.
    """

    __slots__ = (
        "_generation",
        "_intervals_to_wait",
        "_rejected_count",
        "_verified",
        "directory",
        "gossip",
        "is_reader",
        "rng",
    )

    def __init__(
        self,
        *,
        directory: EntryDirectory,
        gossip: GossipNode,
        is_reader: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self.directory = directory
        self.gossip = gossip
        self.is_reader = is_reader
        self.rng = rng
        self._generation = 0
        # Records written again in this generation, None if none can be lost.
        self._verified: set[str] | None = None
        self._rejected_count = 0
        self._intervals_to_wait = 0

    async def run(self) -> None:
        """Checks at intervals until cancelled."""
        while True:
            interval_s = self.rng.uniform(
                MIN_CHECK_INTERVAL_S, MAX_CHECK_INTERVAL_S
            )
            await asyncio.sleep(interval_s)
            if self.gossip.key:
                await self.check()

    async def check(self) -> None:
        """Restores what is missing, if the store has lost something."""
        generation = self.directory.store.generation
        if not self._generation:  # unknown until now
            self._generation = (
                self.directory.registered_generation or generation
            )
        records = self._find_unverified(generation)
        has_rejected = self.gossip.rejected_count > self._rejected_count
        if self._intervals_to_wait:
            self._intervals_to_wait -= 1
            return
        if not records and not has_rejected:
            return
        self._rejected_count = self.gossip.rejected_count
        found = await self.directory.restore(records)
        self.gossip.key = self.directory.shared_key.key
        if isinstance(found, str) or has_rejected:
            self._intervals_to_wait = WAIT_INTERVALS
        if isinstance(found, str):
            log_event(EventId.DIRECTORY_FAILED, reason=found)
            return
        for record in found:  # some may have started with another key
            if record.instance not in self.gossip.peers.by_instance:
                self.gossip.peers.add(record)
        if self._verified is not None:
            self._verified |= {record.instance for record in records}

    def _find_unverified(self, generation: int) -> list[DaemonRecord]:
        """Returns the live daemons whose records may have been lost."""
        if generation != self._generation:
            self._generation = generation
            self._verified = set()
        if self._verified is None or not self.is_reader():
            return []
        peers = self.gossip.peers.live_peers()
        records = [self.gossip.local_record, *(peer.record for peer in peers)]
        return [r for r in records if r.instance not in self._verified]


__all__ = ["DirectoryKeeper"]

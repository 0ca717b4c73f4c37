"""Follows the configuration objects in the platform's store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from expression import Result

from auburnswitch.clock import monotonic_s
from auburnswitch.object_store.client import (
    RevisionExpired,
    StoredObject,
    StoreUnavailable,
)
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.object_store.client import ObjectStoreClient, WatchBatch

CONFIG_PREFIX: Final = "config/"
INITIAL_DELAY_S: Final = 0.2
MAX_DELAY_S: Final = 3.0
MIN_WATCH_S: Final = 0.5


class StoreWatcher:
    """Passes every object under ``config/`` to its handler, with one watch.

    Attributes:
        store: The platform's store.
        handlers: Handler of the objects under each key prefix.
        revision: Store revision that the handlers have seen.
        synced: Set once the objects have been listed.
        available: The store answered the last call.
        read_at: Loop time of the last answer that brought the objects up to
            date, in seconds.
    """

    __slots__ = (
        "available",
        "handlers",
        "read_at",
        "revision",
        "rng",
        "store",
        "synced",
    )

    def __init__(self, *, store: ObjectStoreClient, seed: int) -> None:
        self.store = store
        self.handlers: dict[str, Callable[[StoredObject], None]] = {}
        self.rng = random.Random(seed)
        self.revision: int | None = None
        self.synced = asyncio.Event()
        self.available = True
        self.read_at = float("-inf")

    async def run(self) -> None:
        """Lists, then watches for ever.

        Backs off while the store is down and when watches end at once.
        """
        delay_s = INITIAL_DELAY_S
        while True:
            if await self._step():
                delay_s = INITIAL_DELAY_S
                continue
            await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.0))
            delay_s = min(2 * delay_s, MAX_DELAY_S)

    async def refresh(self) -> None:
        """Brings the objects up to date without waiting for a change."""
        if self.revision is None:
            return  # they are being listed
        match await self.store.watch(CONFIG_PREFIX, self.revision, wait_s=0):
            case Result(tag="ok", ok=batch):
                self._take(batch)

    async def _step(self) -> bool:
        if self.revision is None:
            return await self._list()
        return await self._watch(self.revision)

    async def _list(self) -> bool:
        match await self.store.list(CONFIG_PREFIX):
            case Result(tag="ok", ok=listing):
                self._handle(listing.items)
                self.revision = listing.revision
                self.synced.set()
                self._note_available()
                return True
            case Result(error=error):
                self._note_unavailable(error)
        return False

    async def _watch(self, revision: int) -> bool:
        asked_at = monotonic_s()
        match await self.store.watch(CONFIG_PREFIX, revision):
            case Result(tag="ok", ok=batch):
                self._take(batch)
                waited_s = monotonic_s() - asked_at
                return bool(batch.events) or waited_s >= MIN_WATCH_S
            case Result(error=RevisionExpired()):
                self.revision = None
                return False
            case Result(error=StoreUnavailable() as error):
                self._note_unavailable(error)
        return False

    def _take(self, batch: WatchBatch) -> None:
        self._handle([e.object for e in batch.events if not e.deleted])
        if self.revision is not None:
            self.revision = max(self.revision, batch.revision)
        self._note_available()

    def _handle(self, items: list[StoredObject]) -> None:
        for item in items:
            for prefix, handler in self.handlers.items():
                if item.key.startswith(prefix):
                    handler(item)

    def _note_available(self) -> None:
        if not self.available:
            log_event(EventId.STORE_RECOVERED)
        self.available = True
        self.read_at = monotonic_s()

    def _note_unavailable(self, error: StoreUnavailable) -> None:
        if self.available:
            log_event(EventId.STORE_UNAVAILABLE, reason=error.reason)
        self.available = False


__all__ = ["CONFIG_PREFIX", "StoreWatcher"]

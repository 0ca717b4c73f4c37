"""Watches the configuration objects in the platform's store."""

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
    """Passes all objects under ``config/`` to handlers, with a single watch.

    Attributes:
        store: Client of the platform's store.
        handlers: Handlers of the objects, by key prefix.
        revision: Store revision up to which objects were handled, None if they
            have to be listed.
        synced: Set once the objects have been listed.
        available: Whether the last call succeeded.
        read_at: Loop time of the last successful list or watch call, in
            seconds.
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
        """Lists the objects, then watches them forever.

        Backs off while the store is unavailable and when watches end at once.
        """
        delay_s = INITIAL_DELAY_S
        while True:
            if await self._step():
                delay_s = INITIAL_DELAY_S
                continue
            await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.0))
            delay_s = min(2 * delay_s, MAX_DELAY_S)

    async def refresh(self) -> None:
        """Handles the changes so far without waiting for a new one."""
        if self.revision is None:
            return  # the objects are being listed
        match await self.store.watch(CONFIG_PREFIX, self.revision, wait_s=0):
            case Result(tag="ok", ok=batch):
                self._apply_batch(batch)

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
                self._record_available()
                return True
            case Result(error=error):
                self._record_unavailable(error)
        return False

    async def _watch(self, revision: int) -> bool:
        started_at = monotonic_s()
        match await self.store.watch(CONFIG_PREFIX, revision):
            case Result(tag="ok", ok=batch):
                self._apply_batch(batch)
                waited_s = monotonic_s() - started_at
                return bool(batch.events) or waited_s >= MIN_WATCH_S
            case Result(error=RevisionExpired()):
                self.revision = None
                return False
            case Result(error=StoreUnavailable() as error):
                self._record_unavailable(error)
        return False

    def _apply_batch(self, batch: WatchBatch) -> None:
        self._handle([e.object for e in batch.events if not e.deleted])
        if self.revision is not None:
            self.revision = max(self.revision, batch.revision)
        self._record_available()

    def _handle(self, items: list[StoredObject]) -> None:
        for item in items:
            for prefix, handler in self.handlers.items():
                if item.key.startswith(prefix):
                    handler(item)

    def _record_available(self) -> None:
        if not self.available:
            log_event(EventId.STORE_RECOVERED)
        self.available = True
        self.read_at = monotonic_s()

    def _record_unavailable(self, error: StoreUnavailable) -> None:
        if self.available:
            log_event(EventId.STORE_UNAVAILABLE, reason=error.reason)
        self.available = False


__all__ = ["CONFIG_PREFIX", "StoreWatcher"]

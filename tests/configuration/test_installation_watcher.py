"""Tests of how a store reader notices changes and a silent store."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from auburnswitch.clock import monotonic_s
from auburnswitch.configuration.installation import Installation
from auburnswitch.configuration.installation_watcher import (
    ENDPOINT_BATCH_DELAY_S,
    WATCHED_KINDS,
    InstallationWatcher,
)
from auburnswitch.platform import protocol
from auburnswitch.platform.store_client import (
    Listing,
    StoredObject,
    StoreFailure,
)
from auburnswitch.schema.entry import BoundSettings, StoreSettings
from tests.virtual_time import in_virtual_loop

WATCH_WAIT_S = 15.0
PROBE_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 0.8
CHANGE_INTERVAL_S = 0.02


class ScriptedStore:
    """A store without changes that can stop to answer, all calls counted."""

    def __init__(self) -> None:
        self.settings = StoreSettings(
            address="store:1",
            watch_wait_s=WATCH_WAIT_S,
            probe_interval_s=PROBE_INTERVAL_S,
            call_timeout_s=CALL_TIMEOUT_S,
        )
        self.silent = False
        self.generation = 0
        self.generation_listeners = []
        self.lists = self.watches = self.probes = 0

    async def list_kind(self, kind):
        self.lists += 1
        if self.silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return StoreFailure(reason="the call timed out")
        return Listing(revision=1, objects=[])

    async def watch(self, kind, revision, *, wait_s=WATCH_WAIT_S):
        self.watches += 1
        await asyncio.sleep(wait_s)
        if self.silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return StoreFailure(reason="the call timed out")
        return Listing(revision=revision, objects=[])

    async def probe(self):
        self.probes += 1
        if self.silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return StoreFailure(reason="the call timed out")
        return Listing(revision=1, objects=[])


class ReleasingStore(ScriptedStore):
    """A store in which an endpoint changes at short intervals.

    Attributes:
        noticed_after_s: Time from each first unseen change to its return.
    """

    def __init__(self) -> None:
        super().__init__()
        self.noticed_after_s: list[float] = []

    async def probe(self):
        newest = await super().probe()
        newest.revision = round(monotonic_s() // CHANGE_INTERVAL_S)
        return newest

    async def watch(self, kind, revision, *, wait_s=WATCH_WAIT_S):
        if kind != protocol.ENDPOINTS_KIND:
            return await super().watch(kind, revision, wait_s=wait_s)
        self.watches += 1
        changed_at = (revision + 1) * CHANGE_INTERVAL_S
        await asyncio.sleep(max(0, changed_at - monotonic_s()))
        self.noticed_after_s.append(monotonic_s() - changed_at)
        changed = StoredObject(name="engine-0", body=None, deleted=True)
        newest = round(monotonic_s() // CHANGE_INTERVAL_S)
        return Listing(revision=max(newest, revision + 1), objects=[changed])


class SlowlyClosingStore(ScriptedStore):
    """A store whose watches take longer to end than a probe interval."""

    async def watch(self, kind, revision, *, wait_s=WATCH_WAIT_S):
        try:
            return await super().watch(kind, revision, wait_s=wait_s)
        except asyncio.CancelledError:
            await asyncio.sleep(2 * PROBE_INTERVAL_S)
            raise


@contextlib.asynccontextmanager
async def open_watcher(store):
    reading = asyncio.Event()
    reading.set()
    watcher = InstallationWatcher(
        store=store,
        installation=Installation(),
        bounds=BoundSettings(),
        reading=reading,
    )
    tasks = [
        asyncio.create_task(watcher.watch_kind(kind)) for kind in WATCHED_KINDS
    ]
    tasks.append(asyncio.create_task(watcher.probe_store()))
    try:
        yield watcher
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class InstallationWatcherTest(unittest.TestCase):
    @in_virtual_loop
    async def test_silent_store_is_noticed_before_a_watch_ends(self):
        store = ScriptedStore()
        async with open_watcher(store) as watcher:
            await asyncio.sleep(1)
            store.silent = True
            await asyncio.sleep(PROBE_INTERVAL_S + CALL_TIMEOUT_S + 0.1)
            self.assertIsNotNone(watcher.failed_at)
            store.silent = False
            await asyncio.sleep(2)
            self.assertIsNone(watcher.failed_at)
            self.assertLess(monotonic_s() - watcher.read_at, 2.1)

    @in_virtual_loop
    async def test_probes_show_that_an_unanswered_watch_is_up_to_date(self):
        store = ScriptedStore()
        async with open_watcher(store) as watcher:
            await asyncio.sleep(WATCH_WAIT_S - 1)
            self.assertEqual(store.watches, len(WATCHED_KINDS))
            age_s = monotonic_s() - watcher.read_at
            self.assertLessEqual(age_s, PROBE_INTERVAL_S + 0.1)

    @in_virtual_loop
    async def test_calls_of_a_reader_while_nothing_changes(self):
        store = ScriptedStore()
        async with open_watcher(store):
            await asyncio.sleep(60)
        self.assertEqual(store.lists, len(WATCHED_KINDS))
        self.assertLessEqual(store.watches, 5 * len(WATCHED_KINDS))
        self.assertLessEqual(store.probes, 60 / PROBE_INTERVAL_S)

    @in_virtual_loop
    async def test_changes_of_a_release_are_read_in_batches(self):
        store = ReleasingStore()
        async with open_watcher(store):
            await asyncio.sleep(6)
        self.assertLess(store.watches, 6 / ENDPOINT_BATCH_DELAY_S + 10)
        self.assertGreater(store.watches, 10)
        self.assertEqual(store.noticed_after_s[0], 0)
        self.assertLessEqual(
            max(store.noticed_after_s), ENDPOINT_BATCH_DELAY_S + 0.001
        )

    @in_virtual_loop
    async def test_probes_go_on_while_a_watch_is_slow_to_end(self):
        store = SlowlyClosingStore()
        async with open_watcher(store) as watcher:
            await asyncio.sleep(1)
            store.silent = True
            await asyncio.sleep(3 * PROBE_INTERVAL_S)
            store.silent = False
            await asyncio.sleep(3 * PROBE_INTERVAL_S)
            self.assertGreater(store.probes, 3)
            self.assertIsNone(watcher.failed_at)
            age_s = monotonic_s() - watcher.read_at
            self.assertLessEqual(age_s, PROBE_INTERVAL_S + 0.1)


if __name__ == "__main__":
    unittest.main()

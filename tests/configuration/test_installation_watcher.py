"""Tests of how a store reader notices changes and a silent store."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from auburnswitch.clock import monotonic_s
from auburnswitch.configuration.installation import Installation
from auburnswitch.configuration.installation_watcher import (
    WATCHED_KINDS,
    InstallationWatcher,
)
from auburnswitch.platform.store_client import Listing, StoreFailure
from auburnswitch.schema.entry import BoundSettings, StoreSettings
from tests.virtual_time import in_virtual_loop

WATCH_WAIT_S = 15.0
PROBE_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 0.8


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
        self.lists = self.watches = self.probes = 0

    async def list_kind(self, kind):
        self.lists += 1
        if self.silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return StoreFailure(reason="the call timed out")
        return Listing(revision=1, objects=[])

    async def watch(self, kind, revision):
        self.watches += 1
        await asyncio.sleep(WATCH_WAIT_S)
        if self.silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return StoreFailure(reason="the call timed out")
        return Listing(revision=revision, objects=[])

    async def probe(self):
        self.probes += 1
        if self.silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return StoreFailure(reason="the call timed out")
        return None


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


if __name__ == "__main__":
    unittest.main()

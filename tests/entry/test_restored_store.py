"""Tests of a store that comes back from a copy some seconds old."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from auburnswitch.entry.run import open_entry_daemon
from auburnswitch.experiments.installation import (
    entry_settings,
    make_config,
    open_installation,
    wait_until,
)
from auburnswitch.observe.logs import LOGGER

IN_FORCE_S = 3.0
SETTLE_S = 0.3
PROBED_S = 2.5  # a reader calls the store within that
ELECTED_S = 4.0  # until another daemon reads the store
UNREACHABLE = "127.0.0.1:1"
DAEMONS = 4  # one of them reads the store


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        log = self.enterContext(self.assertLogs(LOGGER, "INFO"))
        self.records = log.records
        self.stacks: dict[str, contextlib.AsyncExitStack] = {}

    @contextlib.asynccontextmanager
    async def open(self, daemons: int = DAEMONS):
        """Runs daemons of which only one reads the store for all."""
        async with (
            open_installation(engines=0, daemons=0) as fleet,
            contextlib.AsyncExitStack() as stack,
        ):
            for number in range(daemons):
                await self.start(fleet, stack, f"entry-{number}")
            yield fleet, stack
            fleet.store.stop()

    async def start(self, fleet, stack, name: str):
        settings = entry_settings(name, fleet.store_address)
        settings.store.readers = 1
        settings.store.watch_wait_s = 15
        own_stack = await stack.enter_async_context(contextlib.AsyncExitStack())
        daemon = await own_stack.enter_async_context(
            open_entry_daemon(settings)
        )
        fleet.daemons.append(daemon)
        self.stacks[name] = own_stack
        await wait_until(lambda: daemon.ready)
        others = len(fleet.daemons) - 1
        await wait_until(lambda: self.count_peers(daemon) >= others)
        return daemon

    def count_peers(self, daemon) -> int:
        return len(daemon.gossip.peers.live_peers())

    def reader(self, fleet):
        return next(d for d in fleet.daemons if d.reader_election.is_reader)

    async def wait_for(self, fleet, condition, timeout_s: float = IN_FORCE_S):
        for daemon in fleet.daemons:
            await wait_until(lambda d=daemon: condition(d), timeout_s)

    def advance(self, fleet, changes: int = 5):
        """Changes something that the copy lacks, and that isn't repeated."""
        for number in range(changes):
            fleet.store.put("servers", "odd", {"number": number})

    async def check_followed(self, fleet, timeout_s: float = IN_FORCE_S):
        """Checks that all daemons follow each kind of change."""
        store = fleet.store
        store.put("evacuations", "zone-2", {})
        fleet.put_endpoint("desk-0", "desk", Slots=11)
        store.put("config", "main", make_config(7))
        await self.wait_for(
            fleet,
            lambda d: (
                "zone-2" in d.installation.closed_zones
                and d.installation.endpoints["desk-0"].entry.slots == 11
                and d.installation.config_version == 7
            ),
            timeout_s,
        )
        self.assertEqual((await fleet.call("/book/1")).status, 200)

    # EVAC: what a restored store told was dropped until its revisions had
    # passed those of before, and peers kept the old order alive.
    async def test_changes_are_followed_after_the_return(self):
        for away_s in (0.0, 0.3):
            with self.subTest(away_s=away_s):
                async with self.open() as (fleet, _):
                    state = fleet.store.copy_state()
                    self.advance(fleet)
                    await asyncio.sleep(SETTLE_S)
                    fleet.store.unavailable = away_s > 0
                    await asyncio.sleep(away_s)
                    fleet.store.unavailable = False
                    fleet.store.restore(state)
                    await self.check_followed(fleet)

    # Watches of revisions that exist again wait on the basis of other content.
    async def test_revisions_that_are_given_out_again(self):
        async with self.open() as (fleet, _):
            state = fleet.store.copy_state()
            self.advance(fleet)
            fleet.store.put("evacuations", "zone-3", {})
            await self.wait_for(
                fleet, lambda d: "zone-3" in d.installation.closed_zones
            )
            fleet.store.restore(state)
            self.advance(fleet, 20)
            await self.check_followed(fleet)
            for daemon in fleet.daemons:
                self.assertNotIn("zone-3", daemon.installation.closed_zones)

    async def test_two_returns_in_a_row(self):
        async with self.open() as (fleet, _):
            state = fleet.store.copy_state()
            self.advance(fleet)
            await asyncio.sleep(SETTLE_S)
            fleet.store.restore(state)
            self.advance(fleet, 2)
            await asyncio.sleep(0.1)
            fleet.store.restore(state)
            await self.check_followed(fleet)

    # A daemon that started after the return took its peers' old list for a
    # newer one.
    async def test_daemon_that_starts_after_the_return(self):
        async with self.open() as (fleet, stack):
            state = fleet.store.copy_state()
            self.advance(fleet)
            await asyncio.sleep(SETTLE_S)
            fleet.store.restore(state)
            await self.start(fleet, stack, "entry-new")
            await self.check_followed(fleet)

    async def test_readers_that_restart_around_the_return(self):
        for restarts_first in (True, False):
            with self.subTest(restarts_first=restarts_first):
                async with self.open() as (fleet, stack):
                    state = fleet.store.copy_state()
                    self.advance(fleet)
                    await asyncio.sleep(SETTLE_S)
                    reader = self.reader(fleet)
                    name = reader.settings.instance.name
                    if not restarts_first:
                        fleet.store.restore(state)
                    fleet.daemons.remove(reader)
                    await self.stacks.pop(name).aclose()
                    if restarts_first:
                        fleet.store.restore(state)
                    await self.start(fleet, stack, name)
                    await self.check_followed(fleet, ELECTED_S + IN_FORCE_S)

    # Those that reach the store tell the others, also of the return itself.
    async def test_half_of_the_daemons_are_cut_off_at_the_return(self):
        async with self.open() as (fleet, _):
            state = fleet.store.copy_state()
            self.advance(fleet)
            await asyncio.sleep(SETTLE_S)
            reader = self.reader(fleet)
            other = next(d for d in fleet.daemons if d is not reader)
            for daemon in (reader, other):
                daemon.store.settings.address = UNREACHABLE
            fleet.store.restore(state)
            await self.check_followed(fleet, ELECTED_S + IN_FORCE_S)
            for daemon in (reader, other):
                daemon.store.settings.address = fleet.store_address
            fleet.store.put("evacuations", "zone-4", {})
            await self.wait_for(
                fleet,
                lambda d: "zone-4" in d.installation.closed_zones,
                ELECTED_S + IN_FORCE_S,
            )

    # A daemon whose record was lost wasn't found by those that start later.
    async def test_lost_record_is_written_again(self):
        async with self.open(2) as (fleet, stack):
            state = fleet.store.copy_state()
            await self.start(fleet, stack, "entry-late")
            fleet.store.restore(state)
            await wait_until(
                lambda: (
                    "entry-late" in fleet.store.objects["auburnswitch-daemons"]
                ),
                IN_FORCE_S,
            )

    # A key that was lost was created again, and two fleets ignored each other.
    async def test_the_key_in_use_wins_over_a_newer_one(self):
        async with open_installation(engines=0, daemons=0) as fleet:
            state = fleet.store.copy_state()
            async with contextlib.AsyncExitStack() as stack:
                for number in range(2):
                    await self.start(fleet, stack, f"entry-{number}")
                old_key = fleet.daemons[0].gossip.key
                fleet.store.restore(state)
                settings = entry_settings("entry-new", fleet.store_address)
                started = await stack.enter_async_context(
                    open_entry_daemon(settings)
                )
                fleet.daemons.append(started)
                await wait_until(
                    lambda: all(
                        daemon.gossip.key == old_key
                        and self.count_peers(daemon) == 2
                        for daemon in fleet.daemons
                    ),
                    12.0,
                )
                fleet.store.stop()

    # Daemons of an older release state no generation.
    async def test_store_that_tells_no_generation(self):
        async with open_installation(engines=0, daemons=0) as fleet:
            fleet.store.generation = 0
            async with contextlib.AsyncExitStack() as stack:
                for number in range(2):
                    await self.start(fleet, stack, f"entry-{number}")
                await self.check_followed(fleet)
                fleet.store.stop()

    async def test_return_is_logged_once_by_each_daemon(self):
        async with self.open() as (fleet, _):
            fleet.store.restore(fleet.store.copy_state())
            await self.check_followed(fleet)
            await self.wait_for(fleet, lambda d: d.store.generation == 2)
            lines = [
                r
                for r in self.records
                if getattr(r, "event_name", "") == "store_restored"
            ]
            self.assertEqual(len(lines), DAEMONS)
            calls = [daemon.store.call_count for daemon in fleet.daemons]
            await asyncio.sleep(PROBED_S)
            reading = [
                daemon.store.call_count - count
                for daemon, count in zip(fleet.daemons, calls, strict=True)
            ]
            self.assertEqual(sum(count > 0 for count in reading), 1)


if __name__ == "__main__":
    unittest.main()

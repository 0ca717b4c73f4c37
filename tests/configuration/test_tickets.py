"""Tests of the acceptance, publication and compaction of tickets."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
import unittest.mock

from auburnswitch.configuration.state import ConfigState
from auburnswitch.configuration.ticket_poller import TicketPoller
from auburnswitch.configuration.tickets import (
    PUBLISHED_PREFIX,
    SNAPSHOT_KEY,
    TICKETS_PREFIX,
    TicketStore,
)
from auburnswitch.object_store.client import ObjectStoreClient
from auburnswitch.object_store.watcher import StoreWatcher
from auburnswitch.observe.invariants import Invariants
from auburnswitch.schema.objects import Ticket
from auburnswitch.schema.results import Ran, ResultCode
from auburnswitch.schema.settings import PlatformSettings
from auburnswitch.standins.platform import open_platform
from tests.configuration.test_state import zone_change
from tests.virtual_time import open_session, run_virtual


class Node:
    """The components of a daemon that handle tickets."""

    def __init__(self, url: str, session, **settings) -> None:
        values = PlatformSettings(url=url, **settings)
        self.store = ObjectStoreClient(settings=values, session=session)
        self.state = ConfigState(invariants=Invariants(strict=True))
        self.tickets = TicketStore(store=self.store, state=self.state)
        self.watcher = StoreWatcher(store=self.store, seed=1)
        self.watcher.handlers[PUBLISHED_PREFIX] = self.tickets.handle_ticket
        self.watcher.handlers[SNAPSHOT_KEY] = self.tickets.handle_snapshot
        self.poller = TicketPoller(
            store=self.store, tickets=self.tickets, is_poller=lambda: True
        )

    async def accept(self, number: int, *changes):
        ticket = Ticket(number=number, author="x", changes=list(changes))
        return await self.tickets.accept(ticket)


@contextlib.asynccontextmanager
async def open_nodes(count: int = 1, **settings):
    """Opens a platform and some nodes, without starting their watches."""
    async with open_platform() as platform, open_session() as session:
        nodes = [Node(platform.url, session, **settings) for _ in range(count)]
        yield platform, nodes


class AcceptTest(unittest.TestCase):
    def test_number_is_reused_only_with_same_content(self):
        async def scenario():
            async with open_nodes(2) as (platform, (first, second)):
                one, again, other = await asyncio.gather(
                    first.accept(1, zone_change("a")),
                    second.accept(1, zone_change("a")),
                    second.accept(1, zone_change("a", out=True)),
                )
                return one, again, other, len(platform.store.objects)

        one, again, other, count = run_virtual(scenario)
        self.assertTrue(one.is_ok() and again.is_ok())
        self.assertIs(other.error.code, ResultCode.TICKET_CONFLICT)
        self.assertEqual(count, 2)

    def test_error_for_large_ticket_states_size_and_limit(self):
        async def scenario():
            async with open_nodes(max_value_bytes=2000) as (_, (node,)):
                changes = [zone_change(f"z{n}") for n in range(100)]
                return (await node.accept(1, *changes)).error

        error = run_virtual(scenario)
        self.assertIs(error.code, ResultCode.TICKET_TOO_LARGE)
        self.assertRegex(error.message, r"\d{4,} bytes.* 2000 bytes")

    def test_each_fault_at_each_step(self):
        async def scenario(fault: str, step: int):
            async with open_nodes(2) as (platform, (node, other)):
                await node.accept(1, zone_change("a"))
                platform.delay_s = 0.1
                task = asyncio.create_task(
                    node.accept(2, zone_change("a", out=True))
                )
                await asyncio.sleep(0.05 * step)
                value = 2 if fault == "lose_answers" else True
                setattr(platform, fault, value)
                await asyncio.sleep(6)
                setattr(platform, fault, type(value)(0))
                outcome = await task
                written = [
                    platform.store.version(f"{prefix}{2:010}")
                    for prefix in (TICKETS_PREFIX, PUBLISHED_PREFIX)
                ]
                await asyncio.sleep(3)
                again = await other.accept(2, zone_change("a", out=True))
                await node.poller.poll()
                return outcome, written, again, node.state.zones["a"].out

        for fault in ("outage", "silent", "lose_answers"):
            for step in range(6):
                with self.subTest(fault=fault, step=step):
                    outcome, written, again, out = run_virtual(
                        lambda fault=fault, step=step: scenario(fault, step)
                    )
                    if outcome.is_ok():
                        self.assertTrue(all(written))
                    elif outcome.error.ran is Ran.NO:
                        self.assertFalse(any(written))
                    self.assertTrue(again.is_ok())
                    self.assertTrue(out)


class CompactionTest(unittest.TestCase):
    def test_starting_daemon_reads_the_snapshot(self):
        async def scenario():
            async with open_nodes(3) as (platform, (first, second, new_node)):
                for number in range(10, 50):
                    zones = zone_change(f"z{number % 7}", out=number % 2 == 0)
                    await first.accept(number, zones)
                await asyncio.gather(first.poller.poll(), second.poller.poll())
                published_count = len(
                    platform.store.list_objects(PUBLISHED_PREFIX)
                )
                lower = await second.accept(5, zone_change("low", out=True))
                reused = await second.accept(10, zone_change("z3"))
                repeated = await second.accept(11, zone_change("z4"))
                await new_node.watcher._list()
                await first.poller.poll()
                await second.watcher._list()
                digests = [n.state.digest for n in (first, second, new_node)]
                return (
                    published_count,
                    lower,
                    reused,
                    repeated,
                    digests,
                    new_node.state,
                )

        published_count, lower, reused, repeated, digests, state = run_virtual(
            scenario
        )
        self.assertEqual(published_count, 0)
        self.assertTrue(lower.is_ok() and repeated.is_ok())
        self.assertIs(reused.error.code, ResultCode.TICKET_CONFLICT)
        self.assertEqual(len(set(digests)), 1)
        self.assertTrue(state.zones["low"].out)

    def test_second_snapshot_keeps_the_first(self):
        async def scenario():
            async with open_nodes(3) as (_, (first, second, new_node)):
                for node, start in ((first, 1), (second, 100)):
                    for number in range(start, start + 35):
                        await node.accept(number, zone_change(f"z{number}"))
                    await node.poller.poll()
                await new_node.watcher._list()
                return len(new_node.state.zones)

        self.assertEqual(run_virtual(scenario), 70)

    def test_ticket_published_during_a_compaction_is_kept(self):
        async def scenario(delay_s: float):
            async with open_nodes(2) as (platform, (first, second)):
                for number in range(10, 50):
                    await first.accept(number, zone_change("a"))
                platform.delay_s = 0.05
                task = asyncio.create_task(first.poller.poll())
                await asyncio.sleep(delay_s)
                await second.accept(1, zone_change("b", out=True))
                await second.accept(60, zone_change("a", out=True))
                await task
                fresh = Node(platform.url, first.store.session)
                await fresh.watcher._list()
                zones = fresh.state.zones
                return zones["a"].out, zones["b"].out

        for step in range(0, 8):
            with self.subTest(step=step):
                found = run_virtual(lambda t=step: scenario(t / 20))
                self.assertEqual(found, (True, True))


class WatchTest(unittest.TestCase):
    def run_with_fault(self, fault):
        async def scenario():
            async with open_nodes(2) as (platform, (writer, node)):
                tasks = [
                    asyncio.create_task(node.watcher.run()),
                    asyncio.create_task(node.poller.run()),
                ]
                await asyncio.sleep(1)
                restore = fault(platform, node)
                await asyncio.sleep(1)
                calls = platform.calls["watch"]
                await writer.accept(1, zone_change("a"))
                await asyncio.sleep(8)
                calls = platform.calls["watch"] - calls
                restore()
                for task in tasks:
                    task.cancel()
                return "a" in node.state.zones, calls

        return run_virtual(scenario)

    def test_watch_that_misses_changes(self):
        def break_watch(platform, _):
            platform.watch_broken = True
            return lambda: None

        self.assertTrue(self.run_with_fault(break_watch)[0])

    def test_watch_that_hangs(self):
        async def watch(*_):
            await asyncio.sleep(3600)

        with unittest.mock.patch.object(StoreWatcher, "_watch", watch):
            found, _ = self.run_with_fault(lambda *_: lambda: None)
        self.assertTrue(found)

    def test_watch_that_ends_at_once_does_not_spin(self):
        def end_watch_at_once(platform, node):
            node.store.settings.watch_timeout_s = 0.0
            return lambda: None

        found, calls = self.run_with_fault(end_watch_at_once)
        self.assertTrue(found)
        self.assertLess(calls, 40)

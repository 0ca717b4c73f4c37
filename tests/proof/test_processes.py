"""Tests of killed, stopped and disturbed processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import unittest

import aiohttp

from auburnswitch.experiments.caller import CallOutcome, stream_completion
from auburnswitch.standins.answers import answer_text, prompt_digest
from tests.processes import (
    AUTHORIZATION_HEADERS,
    DaemonProcess,
    ProcessFleet,
    initial_ticket,
    open_process_fleet,
)

LIMIT_S = 90
MEMORY_FREED_TIMEOUT_S = 30  # longest acceptable wait of a caller
PROMPT = "hello " * 100
TOKENS = 120  # a stream of some three seconds
FEW_TOKENS = 8
MANY_TOKENS = 400
FREEZE_S = 4
SERVICE_TIME_ARGUMENT = "--service_time_s=2"


@contextlib.asynccontextmanager
async def open_fleet(daemons: int = 3):
    async with asyncio.timeout(LIMIT_S), open_process_fleet() as fleet:
        await fleet.start_standin("platform", "platform")
        for name in ("engine-1", "engine-2"):
            await fleet.start_standin(name, "engine", "--starts_warm=True")
        await fleet.start_standin("plain-1", "plain", SERVICE_TIME_ARGUMENT)
        for number in range(daemons):
            await fleet.start_daemon(f"entry-{number}")
        assert await fleet.apply("entry-0", initial_ticket(fleet.urls)) == 200
        await fleet.wait_ready(live=daemons)
        yield fleet


async def complete(
    fleet: ProcessFleet, daemon: DaemonProcess, tokens: int = TOKENS
) -> CallOutcome:
    body = {"model": "chat", "prompt": PROMPT, "max_tokens": tokens}
    return await stream_completion(
        fleet.session, daemon.callers, body, AUTHORIZATION_HEADERS
    )


async def book(fleet: ProcessFleet, daemon: DaemonProcess, key: str) -> int:
    """Books and returns the HTTP status, 0 for a broken connection."""
    try:
        async with fleet.session.post(
            daemon.callers + "/services/desk/bookings",
            json={"slot": key},
            headers=AUTHORIZATION_HEADERS | {"Idempotency-Key": key},
        ) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


async def drop_connections(fleet: ProcessFleet, name: str) -> None:
    url = fleet.urls[name] + "/control"
    # The connection of this request is dropped too.
    with contextlib.suppress(aiohttp.ServerDisconnectedError):
        await fleet.session.post(url, json={"drop_connections": True})


async def count_history(fleet: ProcessFleet, name: str, part: str) -> int:
    url = fleet.urls[name] + "/control/history"
    async with fleet.session.get(url) as response:
        return (await response.text()).count(part)


async def wait_until(holds) -> None:
    while not await holds():
        await asyncio.sleep(0.05)


async def wait_running(fleet: ProcessFleet, count: int = 1) -> None:
    """Waits until the engines have begun that many streams."""

    async def holds():
        part = '"kind":"memory_taken"'
        engines = [name for name in fleet.urls if name.startswith("engine")]
        begun = [await count_history(fleet, name, part) for name in engines]
        return sum(begun) >= count

    await wait_until(holds)


async def wait_memory_freed(fleet: ProcessFleet) -> None:
    async def holds():
        used = 0
        for name in ("engine-1", "engine-2"):
            async with fleet.session.get(fleet.urls[name] + "/load") as reply:
                used += (await reply.json())["memory_used_tokens"]
        return used == 0

    async with asyncio.timeout(MEMORY_FREED_TIMEOUT_S):
        await wait_until(holds)


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    def check_whole(self, outcome: CallOutcome, tokens: int = TOKENS):
        expected = answer_text(prompt_digest(PROMPT), tokens)
        self.assertEqual((outcome.result, outcome.text), ("ok", expected))

    async def test_killed_entry_daemon(self):
        async with open_fleet() as fleet:
            entry, other = fleet.daemons["entry-0"], fleet.daemons["entry-1"]
            booking = asyncio.create_task(book(fleet, entry, "key-1"))
            part = '"path":"/bookings"'
            await wait_until(lambda: count_history(fleet, "plain-1", part))
            stream = asyncio.create_task(complete(fleet, entry, MANY_TOKENS))
            await wait_running(fleet)
            entry.process.kill()
            self.assertEqual((await stream).result, "broken")
            self.assertIn(await booking, (0, 200, 201))
            again = await book(fleet, other, "key-1")
            self.assertIn(again, (409, 200, 201))
            self.assertEqual(await count_history(fleet, "plain-1", part), 1)
            self.check_whole(await complete(fleet, other))
            await wait_memory_freed(fleet)

    async def test_killed_owner(self):
        async with open_fleet() as fleet:
            owners = {}
            for name in fleet.daemons:
                owned = (await fleet.status(name))["owned_endpoints"]
                owners[name] = len([e for e in owned if "engine" in e])
            owner = max(owners, key=owners.get)
            entry = min(owners, key=owners.get)
            streams = [
                asyncio.create_task(complete(fleet, fleet.daemons[entry]))
                for _ in range(2)
            ]
            await wait_running(fleet, len(streams))
            fleet.daemons[owner].process.kill()
            for stream in streams:
                self.check_whole(await stream)
            del fleet.daemons[owner]
            for daemon in fleet.daemons.values():
                self.check_whole(await complete(fleet, daemon))
            await wait_memory_freed(fleet)

    async def test_stopped_and_continued_daemon(self):
        async with open_fleet() as fleet:
            frozen, other = fleet.daemons["entry-0"], fleet.daemons["entry-1"]
            stream = asyncio.create_task(complete(fleet, frozen))
            await wait_running(fleet)
            frozen.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            self.check_whole(await complete(fleet, other))
            frozen.process.send_signal(signal.SIGCONT)
            self.check_whole(await stream)
            await fleet.wait_ready(live=3)
            self.check_whole(await complete(fleet, frozen))
            await wait_memory_freed(fleet)

    async def test_terminated_under_load(self):
        async with open_fleet() as fleet:
            ending = fleet.daemons["entry-0"]
            streams = [
                asyncio.create_task(complete(fleet, ending)) for _ in range(4)
            ]
            await wait_running(fleet)
            booking = asyncio.create_task(book(fleet, ending, "key-1"))
            part = '"path":"/bookings"'
            await wait_until(lambda: count_history(fleet, "plain-1", part))
            ending.process.send_signal(signal.SIGTERM)

            async def refuses():
                url = ending.operators + "/readyz"
                async with fleet.session.get(url) as reply:
                    return reply.status == 503

            await wait_until(refuses)
            late = await complete(fleet, ending, FEW_TOKENS)
            self.assertEqual((late.result, late.ran), ("shutting_down", "no"))
            self.assertLess(await booking, 300)
            for stream in streams:
                self.check_whole(await stream)
            self.assertEqual(await ending.process.wait(), 0)

    async def test_stopped_and_started_platform(self):
        async with open_fleet() as fleet:
            daemons = list(fleet.daemons.values())
            platform = fleet.processes["platform"]
            stream = asyncio.create_task(complete(fleet, daemons[0]))
            await wait_running(fleet)
            platform.send_signal(signal.SIGSTOP)
            for daemon in daemons:
                self.check_whole(
                    await complete(fleet, daemon, FEW_TOKENS), FEW_TOKENS
                )
            self.check_whole(await stream)
            refused = await book(fleet, daemons[0], "key-1")
            self.assertEqual(refused, 503)
            part = '"path":"/bookings"'
            self.assertEqual(await count_history(fleet, "plain-1", part), 0)
            platform.send_signal(signal.SIGCONT)

            async def books():
                return await book(fleet, daemons[1], "key-2") < 300

            async with asyncio.timeout(MEMORY_FREED_TIMEOUT_S):
                await wait_until(books)
            self.assertEqual(await count_history(fleet, "plain-1", part), 1)

    async def test_dropped_engine_connections(self):
        async with open_fleet(daemons=1) as fleet:
            daemon = fleet.daemons["entry-0"]
            streams = [
                asyncio.create_task(complete(fleet, daemon)) for _ in range(3)
            ]
            await wait_running(fleet, len(streams))
            for name in ("engine-1", "engine-2"):
                await drop_connections(fleet, name)
            for stream in streams:
                self.check_whole(await stream)
            status = await fleet.status("entry-0")
            self.assertEqual(status["violations"], {})
            await wait_memory_freed(fleet)

"""Tests with killed, frozen and terminated processes on loopback."""

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

TEST_TIMEOUT_S = 90
RECOVERY_TIMEOUT_S = 30  # longest time a caller waits at a service counter
PROMPT = "hello " * 100
ANSWER_TOKENS = 120  # streamed in about three seconds
SHORT_ANSWER_TOKENS = 8
LONG_ANSWER_TOKENS = 400
FREEZE_S = 4
SERVICE_TIME_ARGUMENT = "--service_time_s=2"


@contextlib.asynccontextmanager
async def open_fleet(daemons: int = 3):
    async with asyncio.timeout(TEST_TIMEOUT_S), open_process_fleet() as fleet:
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
    fleet: ProcessFleet, daemon: DaemonProcess, tokens: int = ANSWER_TOKENS
) -> CallOutcome:
    body = {"model": "chat", "prompt": PROMPT, "max_tokens": tokens}
    return await stream_completion(
        fleet.session, daemon.callers, body, AUTHORIZATION_HEADERS
    )


async def book(fleet: ProcessFleet, daemon: DaemonProcess, key: str) -> int:
    """Sends a booking; returns the HTTP status, 0 for a broken connection."""
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
    # the engine drops the connection of this call too
    with contextlib.suppress(aiohttp.ServerDisconnectedError):
        await fleet.session.post(url, json={"drop_connections": True})


async def count_history(fleet: ProcessFleet, name: str, pattern: str) -> int:
    url = fleet.urls[name] + "/control/history"
    async with fleet.session.get(url) as response:
        return (await response.text()).count(pattern)


async def wait_until(condition) -> None:
    while not await condition():
        await asyncio.sleep(0.05)


async def wait_running(fleet: ProcessFleet, count: int = 1) -> None:
    """Waits until the engines have started `count` streams."""

    async def condition():
        pattern = '"kind":"memory_taken"'
        engines = [name for name in fleet.urls if name.startswith("engine")]
        started = [
            await count_history(fleet, name, pattern) for name in engines
        ]
        return sum(started) >= count

    await wait_until(condition)


async def wait_memory_freed(fleet: ProcessFleet) -> None:
    async def condition():
        used = 0
        for name in ("engine-1", "engine-2"):
            async with fleet.session.get(
                fleet.urls[name] + "/load"
            ) as response:
                used += (await response.json())["memory_used_tokens"]
        return used == 0

    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        await wait_until(condition)


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    def check_complete_answer(
        self, outcome: CallOutcome, tokens: int = ANSWER_TOKENS
    ):
        expected = answer_text(prompt_digest(PROMPT), tokens)
        self.assertEqual((outcome.result, outcome.text), ("ok", expected))

    async def test_killed_daemon_with_running_calls(self):
        async with open_fleet() as fleet:
            entry, other = fleet.daemons["entry-0"], fleet.daemons["entry-1"]
            booking = asyncio.create_task(book(fleet, entry, "key-1"))
            pattern = '"path":"/bookings"'
            await wait_until(lambda: count_history(fleet, "plain-1", pattern))
            stream = asyncio.create_task(
                complete(fleet, entry, LONG_ANSWER_TOKENS)
            )
            await wait_running(fleet)
            entry.process.kill()
            self.assertEqual((await stream).result, "broken")
            self.assertIn(await booking, (0, 200, 201))
            repeated_status = await book(fleet, other, "key-1")
            self.assertIn(repeated_status, (409, 200, 201))
            self.assertEqual(await count_history(fleet, "plain-1", pattern), 1)
            self.check_complete_answer(await complete(fleet, other))
            await wait_memory_freed(fleet)

    async def test_killed_endpoint_owner(self):
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
                self.check_complete_answer(await stream)
            del fleet.daemons[owner]
            for daemon in fleet.daemons.values():
                self.check_complete_answer(await complete(fleet, daemon))
            await wait_memory_freed(fleet)

    async def test_frozen_and_resumed_daemon(self):
        async with open_fleet() as fleet:
            frozen, other = fleet.daemons["entry-0"], fleet.daemons["entry-1"]
            stream = asyncio.create_task(complete(fleet, frozen))
            await wait_running(fleet)
            frozen.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            self.check_complete_answer(await complete(fleet, other))
            frozen.process.send_signal(signal.SIGCONT)
            self.check_complete_answer(await stream)
            await fleet.wait_ready(live=3)
            self.check_complete_answer(await complete(fleet, frozen))
            await wait_memory_freed(fleet)

    async def test_graceful_stop_under_load(self):
        async with open_fleet() as fleet:
            stopping = fleet.daemons["entry-0"]
            streams = [
                asyncio.create_task(complete(fleet, stopping)) for _ in range(4)
            ]
            await wait_running(fleet)
            booking = asyncio.create_task(book(fleet, stopping, "key-1"))
            pattern = '"path":"/bookings"'
            await wait_until(lambda: count_history(fleet, "plain-1", pattern))
            stopping.process.send_signal(signal.SIGTERM)

            async def is_not_ready():
                url = stopping.operators + "/readyz"
                async with fleet.session.get(url) as response:
                    return response.status == 503

            await wait_until(is_not_ready)
            late_outcome = await complete(fleet, stopping, SHORT_ANSWER_TOKENS)
            self.assertEqual(
                (late_outcome.result, late_outcome.ran), ("shutting_down", "no")
            )
            self.assertLess(await booking, 300)
            for stream in streams:
                self.check_complete_answer(await stream)
            self.assertEqual(await stopping.process.wait(), 0)

    async def test_frozen_and_resumed_platform(self):
        async with open_fleet() as fleet:
            daemons = list(fleet.daemons.values())
            platform = fleet.processes["platform"]
            stream = asyncio.create_task(complete(fleet, daemons[0]))
            await wait_running(fleet)
            platform.send_signal(signal.SIGSTOP)
            for daemon in daemons:
                self.check_complete_answer(
                    await complete(fleet, daemon, SHORT_ANSWER_TOKENS),
                    SHORT_ANSWER_TOKENS,
                )
            self.check_complete_answer(await stream)
            refused_status = await book(fleet, daemons[0], "key-1")
            self.assertEqual(refused_status, 503)
            pattern = '"path":"/bookings"'
            self.assertEqual(await count_history(fleet, "plain-1", pattern), 0)
            platform.send_signal(signal.SIGCONT)

            async def booking_succeeds():
                return await book(fleet, daemons[1], "key-2") < 300

            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                await wait_until(booking_succeeds)
            self.assertEqual(await count_history(fleet, "plain-1", pattern), 1)

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
                self.check_complete_answer(await stream)
            status = await fleet.status("entry-0")
            self.assertEqual(status["violations"], {})
            await wait_memory_freed(fleet)

"""Tests of answers that are under way while an entry daemon is stopped."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp

from auburnswitch.soak.fleet import (
    STREAM_EVENTS,
    FleetOptions,
    SoakFleet,
    open_fleet,
)
from auburnswitch.standins.caller_headers import request_headers
from auburnswitch.standins.endpoint import WORK_MS_HEADER

GRACE_S = 8.0
STREAM_S = 6.0
DEADLINE_MS = 20_000
KEY = "key-1"
BOOKING_INTERVAL_S = 0.1
LATE_S = 3.0  # after the signal; the users excuse what was sent before
TOKENS = "900,50"
FLEET = FleetOptions(
    daemon_count=1, stop_grace_s=GRACE_S, route_timeout_ms=DEADLINE_MS
)


class Caller:
    """Sends streams to the only daemon of a fleet and keeps their ends."""

    def __init__(self, fleet: SoakFleet):
        self.fleet = fleet
        self.statuses: dict[str, int] = {}
        self.whole: set[str] = set()

    async def stream(self, request_id: str, deadline_ms: int = DEADLINE_MS):
        headers = request_headers(
            request_id, KEY, tokens=TOKENS, deadline_ms=deadline_ms
        )
        address = self.fleet.daemons[0].callers_address
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"http://{address}/chat/1", headers=headers
                ) as response,
            ):
                self.statuses[request_id] = response.status
                body = await response.read()
        except aiohttp.ClientError:
            return
        if body.count(b"id: ") == STREAM_EVENTS:
            self.whole.add(request_id)

    async def book(self, request_id: str, work_s: float):
        """Sends a request that may not be repeated; keeps when it ended."""
        headers = request_headers(request_id, KEY, deadline_ms=DEADLINE_MS)
        headers[WORK_MS_HEADER] = str(int(work_s * 1000))
        address = self.fleet.daemons[0].callers_address
        with contextlib.suppress(aiohttp.ClientError):
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"http://{address}/book/1", headers=headers
                ) as response,
            ):
                self.statuses[request_id] = response.status
                await response.read()
                self.whole.add(request_id)

    def passed_on(self) -> set[str]:
        return {
            request.request_id
            for endpoint in self.fleet.endpoints.values()
            for request in endpoint.received_requests
            if request.ran
        }


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = await self.enterAsyncContext(
            open_fleet(Path(folder), FLEET)
        )
        for endpoint in self.fleet.endpoints.values():
            endpoint.event_interval_s = STREAM_S / STREAM_EVENTS
        self.daemon = self.fleet.daemons[0]
        await self.daemon.wait_until_ready()
        self.caller = Caller(self.fleet)

    # Answers were cut off by the kill that ends a stop's grace time: the
    # stopping daemon had passed on requests that took longer.
    async def test_no_answer_passed_on_late_in_a_stop_is_cut_off(self):
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.caller.stream("early"))
            await asyncio.sleep(0.5)
            tasks.create_task(self.daemon.stop())
            await asyncio.sleep(3.0)
            for number in range(6):
                tasks.create_task(self.caller.stream(f"late-{number}"))
                await asyncio.sleep(0.1)
        cut_off = self.caller.passed_on() - self.caller.whole
        self.assertEqual(cut_off, set())
        self.assertIn("early", self.caller.whole)
        late = {self.caller.statuses[f"late-{n}"] for n in range(6)}
        self.assertEqual(late, {503})

    async def test_request_that_must_end_in_time_is_served_late_in_a_stop(self):
        for endpoint in self.fleet.endpoints.values():
            endpoint.event_interval_s = 0.2
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.caller.stream("early"))
            await asyncio.sleep(0.5)
            tasks.create_task(self.daemon.stop())
            await asyncio.sleep(1.0)
            tasks.create_task(self.caller.stream("second"))
            await asyncio.sleep(2.0)
            await self.caller.stream("late", deadline_ms=3000)
        self.assertIn("late", self.caller.whole)

    # LOST: bookings that come late in a stop, whose work is long or whose
    # service is overloaded, could be passed on and cut off without an answer.
    async def test_long_bookings_that_come_in_a_stop_are_answered(self):
        for work_s in (2.0, 5.0):
            with self.subTest(work_s=work_s):
                sent_late = await self._book_during_a_stop(work_s)
                passed_on = self.caller.passed_on()
                self.assertEqual(passed_on - self.caller.whole, set())
                for request_id in passed_on:
                    status = self.caller.statuses[request_id]
                    self.assertIn(status, (200, 502, 504))
                self.assertEqual(passed_on & sent_late, set())
                self.assertEqual(self.daemon.runs[-1].status, 0)
                await self.daemon.start()
                await self.daemon.wait_until_ready()

    async def _book_during_a_stop(self, work_s: float) -> set[str]:
        """Overloads the service; returns the requests sent late in a stop."""
        late = set()
        async with asyncio.TaskGroup() as tasks:
            stop = None
            started_at = time.monotonic()
            number = 0
            while stop is None or not stop.done():
                request_id = f"work-{work_s}-{number}"
                number += 1
                tasks.create_task(self.caller.book(request_id, work_s))
                sent_after_s = time.monotonic() - started_at
                if stop is None and sent_after_s > 1.0:
                    stopped_at = time.monotonic()
                    stop = tasks.create_task(self.daemon.stop())
                if stop and time.monotonic() > stopped_at + LATE_S:
                    late.add(request_id)
                await asyncio.sleep(BOOKING_INTERVAL_S)
        return late

    # The process waited without a limit for a request in flight, and was
    # killed.
    async def test_process_ends_within_the_grace_time(self):
        async with asyncio.TaskGroup() as tasks:
            for endpoint in self.fleet.endpoints.values():
                endpoint.event_interval_s = 1.0
            request = tasks.create_task(self.caller.stream("long"))
            await asyncio.sleep(0.5)
            stopped_at = time.monotonic()
            await self.daemon.stop()
            await request
        self.assertEqual(self.daemon.runs[-1].status, 0)
        # An answer under way is not given up early either.
        self.assertGreater(time.monotonic() - stopped_at, GRACE_S * 5 / 6)


if __name__ == "__main__":
    unittest.main()

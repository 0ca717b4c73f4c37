"""End-to-end tests with daemons and stand-ins in separate processes."""

from __future__ import annotations

import asyncio
import signal
import unittest

from tests.processes import (
    AUTHORIZATION_HEADERS,
    ProcessFleet,
    initial_ticket,
    open_process_fleet,
)

TEST_TIMEOUT_S = 60


class EndToEndTest(unittest.IsolatedAsyncioTestCase):
    async def complete(self, fleet: ProcessFleet, url: str, tokens: int):
        body = {"model": "chat", "prompt": "hello " * 100, "stream": True}
        async with fleet.session.post(
            url + "/v1/completions",
            json=body | {"max_tokens": tokens},
            headers=AUTHORIZATION_HEADERS,
        ) as response:
            self.assertEqual(response.status, 200)
            return await response.text()

    async def book(self, fleet: ProcessFleet, url: str):
        async with fleet.session.post(
            url + "/services/desk/bookings",
            json={"slot": "9:00"},
            headers=AUTHORIZATION_HEADERS | {"Idempotency-Key": "k1"},
        ) as response:
            return response.status, await response.text()

    async def test_completion_booking_and_graceful_stop(self):
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            open_process_fleet() as fleet,
        ):
            await fleet.start_standin("platform", "platform")
            await fleet.start_standin("engine-1", "engine", "--warm_after=1")
            await fleet.start_standin("engine-2", "engine", "--warm_after=1")
            await fleet.start_standin("plain-1", "plain")
            first = await fleet.start_daemon("entry-1")
            second = await fleet.start_daemon("entry-2")
            ticket = initial_ticket(fleet.urls)
            self.assertEqual(await fleet.apply("entry-1", ticket), 200)
            await fleet.wait_ready(live=2)

            for daemon in (first, second):
                answer = await self.complete(fleet, daemon.callers, 8)
                self.assertIn('"completion_tokens":8', answer)
                self.assertTrue(answer.endswith("data: [DONE]\n\n"))

            first_response = await self.book(fleet, first.callers)
            replayed_response = await self.book(fleet, second.callers)
            self.assertEqual(first_response, replayed_response)
            async with fleet.session.get(
                fleet.urls["plain-1"] + "/control/history"
            ) as response:
                history = await response.text()
            self.assertEqual(history.count('"path":"/bookings"'), 1)

            running = asyncio.create_task(
                self.complete(fleet, first.callers, 40)
            )
            await asyncio.sleep(0.3)
            first.process.send_signal(signal.SIGTERM)
            self.assertTrue((await running).endswith("data: [DONE]\n\n"))
            self.assertEqual(await first.process.wait(), 0)

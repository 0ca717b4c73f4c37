"""Tests of the answers to requests in flight when a stop has to end."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

import aiohttp

from auburnswitch.clock import monotonic_s
from auburnswitch.entry.run import drain
from auburnswitch.experiments.installation import (
    open_installation,
    wait_until,
)
from auburnswitch.http_server import open_http_server
from auburnswitch.standins.endpoint import Fault

SHORT = "1000,50"
GRACE_S = 1.0


@contextlib.asynccontextmanager
async def open_stopping_installation(**options):
    """Yields an installation, and stops its daemon when the body has run."""
    async with open_installation(**options) as fleet:
        fleet.daemons[0].settings.bounds.stop_grace_s = GRACE_S
        yield fleet
        await drain(fleet.daemons[0])


class StopEndTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_that_may_have_run_gets_no_promise(self):
        async with open_stopping_installation() as fleet:
            for endpoint in fleet.endpoints.values():
                endpoint.faults.append(Fault.NO_RESPONSE)
            call = asyncio.create_task(fleet.call("/book/1"))
            await wait_until(
                lambda: any(e.running for e in fleet.endpoints.values())
            )
        status, _, headers = await call
        self.assertEqual(status, 502)
        self.assertNotIn("retry-after", headers)

    async def test_started_answer_does_not_look_complete(self):
        async with open_stopping_installation() as fleet:
            for endpoint in fleet.endpoints.values():
                endpoint.event_interval_s = 1.0
            call = asyncio.create_task(fleet.call("/chat/1", tokens=SHORT))
            await wait_until(
                lambda: any(e.running for e in fleet.endpoints.values())
            )
            await asyncio.sleep(0.1)
        with self.assertRaises(aiohttp.ClientPayloadError):
            await call

    async def test_endpoints_are_told_of_the_end(self):
        async with open_stopping_installation(plain_services=0) as fleet:
            engines = fleet.endpoints.values()
            for engine in engines:
                engine.event_interval_s = 0.3
            call = asyncio.create_task(fleet.call("/chat/1", tokens="80000,50"))
            await wait_until(lambda: any(e.reservations for e in engines))
            await wait_until(lambda: any(e.running for e in engines))
        self.assertFalse(any(e.reservations for e in engines))
        await wait_until(lambda: any(e.client_disconnects for e in engines))
        with self.assertRaises(aiohttp.ClientError):
            await call

    async def refuse_after_the_end(self, daemons: int) -> float:
        """Returns the retry delay of a refusal, in seconds."""
        async with open_installation(daemons=daemons) as fleet:
            daemon = fleet.daemons[0]
            await wait_until(
                lambda: len(daemon.gossip.peers.live_peers()) == daemons - 1
            )
            daemon.settings.bounds.stop_grace_s = GRACE_S
            await drain(daemon)
            status, _, headers = await fleet.call("/book/1")
            self.assertEqual(fleet.received_requests, [])
        self.assertEqual(status, 503)
        return float(headers["retry-after"])

    async def test_request_after_the_end_is_sent_to_another_daemon(self):
        self.assertLess(await self.refuse_after_the_end(2), 0.1)

    # A caller was told to come back at once although no daemon was left.
    async def test_request_after_the_end_of_the_last_daemon_waits(self):
        self.assertGreater(await self.refuse_after_the_end(1), 1.0)


class CloseTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def close_during_request(self, close_timeout_s: float | None):
        """Returns the time to close a server with a request in progress."""
        started = asyncio.Event()

        async def app(scope, receive, send):
            started.set()
            await asyncio.sleep(0.5)
            start = {"type": "http.response.start", "status": 200}
            await send({**start, "headers": [(b"content-length", b"0")]})
            await send({"type": "http.response.body", "body": b""})

        async with aiohttp.ClientSession() as session:
            async with open_http_server(
                app,
                host="127.0.0.1",
                port=0,
                close_timeout_s=close_timeout_s,
            ) as server:
                request = asyncio.create_task(session.get(server.url))
                await started.wait()
                closing_at = monotonic_s()
            closed_after_s = monotonic_s() - closing_at
            with contextlib.suppress(aiohttp.ClientError):
                return closed_after_s, (await request).status
        return closed_after_s, None

    async def test_request_in_progress_is_completed_without_a_limit(self):
        closed_after_s, status = await self.close_during_request(None)
        self.assertEqual(status, 200)
        self.assertGreater(closed_after_s, 0.4)

    async def test_request_in_progress_is_aborted_after_the_limit(self):
        closed_after_s, status = await self.close_during_request(0.1)
        self.assertIsNone(status)
        self.assertLess(closed_after_s, 0.4)


if __name__ == "__main__":
    unittest.main()

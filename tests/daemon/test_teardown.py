"""Tests that a daemon ends its listeners before it closes what they use."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.daemon import Daemon, open_daemon
from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    OPERATOR_KEY,
    FleetOptions,
    open_fleet,
)
from auburnswitch.experiments.installation import wait_until

UNFINISHED_REQUEST = (
    "POST /v1/completions HTTP/1.1\r\nhost: daemon\r\n"
    f"authorization: Bearer {CALLER_KEY}\r\ncontent-length: 100\r\n\r\n"
)


class TeardownTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        """Stops a daemon while a request keeps it from closing at once."""
        self.fleet = await self.enterAsyncContext(
            open_fleet(FleetOptions(daemons=1))
        )
        self.stop = asyncio.Event()
        started = asyncio.get_running_loop().create_future()
        self.running = asyncio.create_task(self.run_daemon(started))
        self.addAsyncCleanup(self.finish_request)
        self.daemon = await started
        await wait_until(lambda: not self.daemon.get_admission_refusal())
        callers = self.daemon.caller_server
        _, self.writer = await asyncio.open_connection(
            callers.host, callers.port
        )
        self.writer.write(UNFINISHED_REQUEST.encode())
        await wait_until(lambda: self.daemon.in_flight.count == 1)
        self.stop.set()
        (listener,) = callers.server.servers
        await wait_until(lambda: not listener.is_serving())

    async def run_daemon(self, started: asyncio.Future[Daemon]):
        async with open_daemon(self.fleet.daemon_settings(1)) as daemon:
            started.set_result(daemon)
            await self.stop.wait()

    async def finish_request(self):
        self.writer.close()
        await self.running

    # The metrics were closed first, so a scrape at a stop was empty.
    async def test_metrics_are_served_until_their_listener_closes(self):
        async with self.fleet.session.get(
            f"{self.daemon.operator_server.url}/metrics",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        ) as response:
            self.assertIn(
                "auburnswitch_requests_in_flight", await response.text()
            )

    # The clean-up of a request that ended during a stop outlived the daemon.
    async def test_cleanups_end_after_the_requests(self):
        running = asyncio.Event()

        async def clean_up():
            running.set()
            await asyncio.Event().wait()

        self.daemon.cleanup_tasks.start(clean_up(), "end attempt")
        await asyncio.sleep(0)
        self.assertTrue(running.is_set())
        await self.finish_request()
        self.assertEqual(self.daemon.cleanup_tasks.tasks, set())


if __name__ == "__main__":
    unittest.main()

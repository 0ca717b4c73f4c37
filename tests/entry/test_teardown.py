"""Tests that an entry daemon ends its tasks before it closes what they use."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from auburnswitch.entry.run import open_entry_daemon
from auburnswitch.experiments.installation import (
    entry_settings,
    open_installation,
    wait_until,
)
from auburnswitch.members import gossip
from auburnswitch.standins.ports import free_port

HEARTBEAT_INTERVAL_S = 0.01  # several fall into the close of each listener
SCRAPE = b"GET /metrics HTTP/1.1\r\nhost: scraper\r\n\r\n"


class TeardownTest(unittest.IsolatedAsyncioTestCase):
    # Incident of 2026-12-04: the gossip task sent on its closed socket.
    async def test_heartbeats_while_the_metrics_listener_closes(self):
        interval = mock.patch.object(
            gossip, "heartbeat_interval_s", return_value=HEARTBEAT_INTERVAL_S
        )
        async with open_installation() as fleet:
            settings = entry_settings("entry-1", fleet.store_address)
            settings.listen.metrics = f"127.0.0.1:{free_port()}"
            with interval:
                async with open_entry_daemon(settings) as daemon:
                    await wait_until(daemon.gossip.peers.live_peers)
                    writer = await self._scrape(settings.listen.metrics)
                writer.close()
        self.assertEqual(daemon.tasks.errors, [])

    async def _scrape(self, address: str) -> asyncio.StreamWriter:
        """Reads the metrics and keeps the connection, as a scraper does."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(SCRAPE)
        self.assertIn(b"200", await reader.readline())
        return writer


if __name__ == "__main__":
    unittest.main()

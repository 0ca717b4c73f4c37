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
from auburnswitch.members.state_exchange import StateExchange
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

    # A peer's unfinished exchange outlived the listener that had accepted it.
    async def test_exchanges_with_peers_end_with_their_listener(self):
        settings = entry_settings("entry", "127.0.0.1:9")
        async with open_entry_daemon(settings):
            reader, writer = await asyncio.open_connection(
                settings.listen.peer_host, settings.listen.peer_port
            )
            await wait_until(_list_exchanges)
        self.assertEqual(_list_exchanges(), [])
        self.assertEqual(await reader.read(), b"")
        writer.close()

    async def _scrape(self, address: str) -> asyncio.StreamWriter:
        """Reads the metrics and keeps the connection, as a scraper does."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(SCRAPE)
        self.assertIn(b"200", await reader.readline())
        return writer


def _list_exchanges() -> list[asyncio.Task]:
    name = StateExchange._serve.__qualname__
    return [
        task
        for task in asyncio.all_tasks()
        if task.get_coro().__qualname__ == name
    ]


if __name__ == "__main__":
    unittest.main()

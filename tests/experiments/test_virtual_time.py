"""Tests of the in-memory network of the virtual-time loop."""

from __future__ import annotations

import asyncio
import unittest

from tests.virtual_time import run_virtual


class PortTest(unittest.TestCase):
    def test_closed_port_is_not_given_to_another_listener(self):
        async def scenario():
            ports = []
            for _ in range(2):
                server = await asyncio.start_server(print, "127.0.0.1", 0)
                ports.append(server.sockets[0].getsockname()[1])
                server.close()
            return ports

        first, second = run_virtual(scenario)
        self.assertNotEqual(first, second)

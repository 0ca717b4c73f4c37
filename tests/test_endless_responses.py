"""Tests of servers that send bytes without end, by kind of connection.

`tests.entry.test_endless_answers` has the endpoints of the entry daemon.
"""

from __future__ import annotations

import asyncio
import contextlib
import struct
import tracemalloc
import unittest

from auburnswitch.configuration.installation import Installation
from auburnswitch.http_client import (
    MAX_JSON_BYTES,
    open_client_session,
    read_json,
)
from auburnswitch.json_values import JsonError
from auburnswitch.members.state_exchange import (
    MAX_FETCH_BYTES,
    StateExchange,
)
from auburnswitch.observe.logs import LOGGER
from auburnswitch.platform.store_client import (
    MAX_RESPONSE_BYTES,
    PlatformStoreClient,
    StoreFailure,
)
from auburnswitch.schema.entry import StoreSettings
from auburnswitch.standins.ports import free_port

SLACK_BYTES = 8 * 2**20
FILLER = b"x" * 16_384
STATUS = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
CALL_TIMEOUT_S = 20.0  # not reached, however slow the machine is
# First bytes of a response, and those that are repeated without end.
ENDLESS = {
    "head": (STATUS + b"A: ", FILLER),
    "header fields": (STATUS, b"A: b\r\n" * 1000),
    "interim responses": (b"", INTERIM * 100),
    "body": (STATUS + b"\r\n", FILLER),
    "chunks": (
        STATUS + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n" % (len(FILLER), FILLER),
    ),
    "announced length": (
        STATUS + b"Content-Length: 99999999999\r\n\r\n",
        FILLER,
    ),
}


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    @contextlib.asynccontextmanager
    async def open_server(self, first: bytes, repeated: bytes):
        """Yields the port of a server that sends until it is cut off."""

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(first)
                while True:
                    writer.write(repeated)
                    await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            yield server.sockets[0].getsockname()[1]

    def peak_bytes(self) -> int:
        return tracemalloc.get_traced_memory()[1]

    async def test_platform_store(self):
        for name, (first, repeated) in ENDLESS.items():
            with self.subTest(name):
                tracemalloc.reset_peak()
                async with self.open_server(first, repeated) as port:
                    settings = StoreSettings(
                        address=f"127.0.0.1:{port}",
                        call_timeout_s=CALL_TIMEOUT_S,
                    )
                    store = PlatformStoreClient(settings=settings)
                    async with asyncio.timeout(CALL_TIMEOUT_S / 2):
                        result = await store.list_kind("servers")
                self.assertIsInstance(result, StoreFailure)
                self.assertLess(
                    self.peak_bytes(), MAX_RESPONSE_BYTES + SLACK_BYTES
                )

    # LOST: the client library kept a body without end, until the machine ran
    # out of memory.
    async def test_services_of_the_product(self):
        for name in ("body", "chunks", "announced length"):
            with self.subTest(name):
                tracemalloc.reset_peak()
                async with (
                    self.open_server(*ENDLESS[name]) as port,
                    open_client_session(reuse_connections=False) as session,
                    session.get(f"http://127.0.0.1:{port}/") as response,
                ):
                    async with asyncio.timeout(CALL_TIMEOUT_S):
                        with self.assertRaises(JsonError):
                            await read_json(response)
                self.assertLess(
                    self.peak_bytes(), 2 * MAX_JSON_BYTES + SLACK_BYTES
                )

    # Whoever connected could make a daemon keep 16 MiB for each connection.
    async def test_request_of_a_peer(self):
        exchange = StateExchange(
            installation=Installation(),
            get_key=lambda: b"k" * 32,
            live_peers=list,
            zone="zone-1",
            rng=None,
        )
        port = free_port()
        with self.assertLogs(LOGGER):
            async with exchange.open("127.0.0.1", port):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                writer.write(struct.pack(">I", MAX_FETCH_BYTES + 1))
                async with asyncio.timeout(0.5):  # less than the exchange has
                    self.assertEqual(await reader.read(), b"")
                writer.close()


if __name__ == "__main__":
    unittest.main()

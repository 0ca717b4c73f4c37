"""Tests that a late second copy of an answer reaches nobody."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from auburnswitch.endpoints.client import EndpointClient
from auburnswitch.experiments.fleet import FleetOptions, open_fleet
from auburnswitch.http_client import open_client_session
from auburnswitch.schema.objects import Endpoint
from auburnswitch.schema.settings import EndpointsSettings

COPY_DELAY_S = 0.05
REQUESTS = 4


class RepeatingServer:
    """Sends each answer again, in one piece or in two, some time later."""

    def __init__(self, *, split: bool):
        self.split = split
        self.connections = 0

    @contextlib.asynccontextmanager
    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        async with server:
            yield server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections += 1
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = head.split(b" ")[1]
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
                    len(body),
                    body,
                )
                writer.write(answer)
                cut = 10 if self.split else len(answer)
                loop.call_later(COPY_DELAY_S, writer.write, answer[:cut])
                loop.call_later(3 * COPY_DELAY_S, writer.write, answer[cut:])
        writer.close()


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    # Operators of similar systems: a server sent a second copy of an answer,
    # late, on a connection that was in use again.
    async def test_next_request_gets_its_own_answer(self):
        for split in (False, True):
            with self.subTest(split=split):
                server = RepeatingServer(split=split)
                async with (
                    server.listen() as port,
                    open_client_session(reuse_connections=False) as session,
                ):
                    client = EndpointClient(
                        session=session, settings=EndpointsSettings()
                    )
                    spec = Endpoint(host="127.0.0.1", port=port)
                    for number in range(REQUESTS):
                        path = f"/{number}"
                        async with client.request(spec, "GET", path) as answer:
                            self.assertEqual(await answer.text(), path)
                        await asyncio.sleep(2 * COPY_DELAY_S)

    # An answer of the store that is not its own could grant a claim twice.
    async def test_daemon_reuses_no_connection_without_ids(self):
        async with open_fleet(FleetOptions(engines=1)) as fleet:
            daemon = fleet.daemons["entry-0"]
            for client in (daemon.plain_client, daemon.store):
                self.assertTrue(client.session.connector.force_close)


if __name__ == "__main__":
    unittest.main()

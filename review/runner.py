"""Stand-in of a runner of a plain service, as PROTOCOL.md describes it.

It writes its entry when it starts. Later writes would change nothing, and the
store makes no revision and no event of those.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from wire import Message, encode, read_message

if TYPE_CHECKING:
    from collections.abc import Callable

WORK_S = 0.03
CRASHED_S = 2.0
CRASHING_PATH = "/look/crashes-its-runner"


def seal(body: bytes) -> str:
    """Returns the seal of an answer's body."""
    return hashlib.sha256(body).hexdigest()[:16]


def is_whole(answer: Message, attempt: str) -> bool:
    """Returns whether an answer is a runner's whole answer to an attempt."""
    return answer.headers.get("x-attempt-id") == attempt and answer.headers.get(
        "x-response-seal"
    ) == seal(answer.body)


@dataclass(slots=True, kw_only=True)
class Run:
    """A request that a runner has run.

    Attributes:
        at: Time at which it reached the runner, by the monotonic clock.
    """

    at: float
    attempt: str
    runner: str
    zone: str


class Runner:
    """A runner that answers each request whole after some work."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        on_run: Callable[[Run], None],
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.on_run = on_run
        self.leaving = False
        self.born = int(time.time() * 1000)
        self.address = ("127.0.0.1", 0)
        self.on_start: Callable[[Runner], None] = lambda runner: None
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens on a free port, on the same one after a crash."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()

    async def _crash(self) -> None:
        """Ends as a process that crashes, and starts again after a while."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        await asyncio.sleep(CRASHED_S)
        self.born = int(time.time() * 1000)
        await self.start()
        self.on_start(self)

    def entry(self) -> dict[str, Any]:
        """Returns the entry that the runner writes to the store."""
        host, port = self.address
        return {
            "Service": self.service,
            "Address": f"{host}:{port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 6,
            "State": "draining" if self.leaving else "ready",
            "ColdRemainingMs": 0,
            "Sequence": 0,
            "born": self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        headers = {"X-Instance-Id": self.name}
        if self.leaving:
            headers["Server-Leaving"] = "1"
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        if request.target == "/health":
            status = "503 Service Unavailable" if self.leaving else "200 OK"
            body = json.dumps({"born": self.born}).encode()
            return encode(f"HTTP/1.1 {status}", headers, body)
        attempt = request.headers.get("x-attempt-id", "")
        if not attempt:
            headers["X-Not-Executed"] = "1"
            return encode("HTTP/1.1 400 Bad Request", headers)
        run = Run(
            at=time.monotonic(),
            attempt=attempt,
            runner=self.name,
            zone=self.zone,
        )
        self.on_run(run)
        await asyncio.sleep(WORK_S)
        if request.target == CRASHING_PATH:
            self._restart = asyncio.create_task(self._crash())
            await asyncio.sleep(CRASHED_S)
            raise ConnectionAbortedError
        body = f"{self.name} ran {attempt}\n".encode()
        headers["X-Attempt-Id"] = attempt
        headers["X-Response-Seal"] = seal(body)
        return encode("HTTP/1.1 200 OK", headers, body)


__all__ = ["CRASHING_PATH", "Run", "Runner", "is_whole"]

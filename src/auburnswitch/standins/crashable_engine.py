"""Simulates an engine that some prompt parts crash."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.standins.raw_endpoint import (
    make_event,
    own_answer,
    read_request,
)
from auburnswitch.standins.received_request import FIRST_BOOT_MS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from auburnswitch.standins.received_request import ReceivedRequest

PREFILL_S: Final = 0.05
EVENT_COUNT: Final = 8
EVENT_INTERVAL_S: Final = 0.04
_HEAD: Final = (
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: engine\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
_LAST_CHUNK: Final = b"0\r\n\r\n"


class CrashableEngine:
    """One process of an engine, which streams answers until it crashes.

    Attributes:
        id: The endpoint's id.
        boot_ms: Start of the process, in milliseconds since the epoch.
        port: TCP port on loopback, 0 until it listens.
        crashes_on: Returns whether a request crashes the engine that begins to
            answer it.
        sends_head: Returns whether the head precedes such a crash.
        received_requests: All callers' requests that reached the process.
        crashed: Set when the process has crashed.
        silent: Whether new connections get no answer.
    """

    def __init__(
        self,
        *,
        endpoint_id: str,
        crashes_on: Callable[[ReceivedRequest], bool],
        sends_head: Callable[[], bool],
        boot_ms: int = FIRST_BOOT_MS,
    ) -> None:
        self.id = endpoint_id
        self.boot_ms = boot_ms
        self.port = 0
        self.crashes_on = crashes_on
        self.sends_head = sends_head
        self.received_requests: list[ReceivedRequest] = []
        self.crashed = asyncio.Event()
        self.silent = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @contextlib.asynccontextmanager
    async def listen(self, port: int = 0) -> AsyncIterator[CrashableEngine]:
        """Listens until the context ends or the process crashes."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            self.crash()

    def crash(self) -> None:
        """Ends the process: resets all connections and stops listening."""
        self.crashed.set()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def reset_connections(self) -> None:
        """Resets all connections while the process goes on."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if self.silent:
                    await self.crashed.wait()
                await self._answer(await read_request(reader), writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.headers.get("x-expect-instance", self.id) != self.id:
            writer.write(
                b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
            )
            return
        if request.target.startswith("/v1/"):
            writer.write(own_answer(self.boot_ms))
            return
        self.received_requests.append(request)
        await asyncio.sleep(PREFILL_S)
        head = _HEAD.format(id=request.request_id).encode()
        if self.crashes_on(request):
            if self.sends_head():
                writer.write(head)
                await asyncio.sleep(EVENT_INTERVAL_S)
            self.crash()
            return
        writer.write(head)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENT_COUNT + 1):
            event = make_event(number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(EVENT_INTERVAL_S)
            if writer.transport.is_closing():
                return
        writer.write(_LAST_CHUNK)
        await writer.drain()


__all__ = ["EVENT_COUNT", "EVENT_INTERVAL_S", "CrashableEngine"]

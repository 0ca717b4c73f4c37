"""Loopback TCP proxy that injects connection faults."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHUNK_BYTES: Final = 65536
CHUNK_DELAY_S: Final = 0.2
STALL_POLL_INTERVAL_S: Final = 0.05


class ProxyMode(enum.Enum):
    """Fault that a proxy applies to its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    STALL = "silent"
    STALL_RESPONSES = "no answers"


class FaultProxy:
    """A TCP proxy to one address.

    Attributes:
        target: Host and port that connections are forwarded to.
        port: TCP port that the proxy listens on, 0 before ``open``.
        mode: Fault that is applied now.
        mode_changed_at: Loop times at which the fault was changed, in seconds.
    """

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.target = target
        self.port = 0
        self.mode = ProxyMode.PASS
        self.mode_changed_at: list[float] = []
        self._writers: set[asyncio.StreamWriter] = set()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[FaultProxy]:
        """Listens until the context exits, then aborts all connections."""
        server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            self._reset_all()

    def set_mode(self, mode: ProxyMode) -> None:
        """Changes the fault, also for open connections."""
        self.mode = mode
        self.mode_changed_at.append(asyncio.get_running_loop().time())
        if mode is ProxyMode.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()  # as if the target itself refused
            return
        self._writers |= {writer, target_writer}
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(
                    self._forward(reader, target_writer, is_response=False)
                )
                tasks.create_task(
                    self._forward(target_reader, writer, is_response=True)
                )
        except* (OSError, asyncio.IncompleteReadError):
            pass  # the abort below notifies the other side
        finally:
            self._writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            while self.mode is ProxyMode.STALL or (
                is_response and self.mode is ProxyMode.STALL_RESPONSES
            ):
                await asyncio.sleep(STALL_POLL_INTERVAL_S)
            if self.mode is ProxyMode.DELAY:
                await asyncio.sleep(CHUNK_DELAY_S)
            writer.write(data)
            await writer.drain()
        if not is_response:
            writer.write_eof()
            return
        await _close_gracefully(writer)
        raise ConnectionResetError  # ends the other direction too


async def _close_gracefully(writer: asyncio.StreamWriter) -> None:
    writer.close()
    await writer.wait_closed()


__all__ = ["ProxyMode", "FaultProxy"]

"""A loopback proxy that disturbs the connections it carries."""

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
    """What happens to the bytes of a proxy."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    STALL = "silent"
    STALL_RESPONSES = "no answers"


class FaultProxy:
    """Carries connections to one address.

    Attributes:
        target: Host and port that are connected to.
        port: TCP port that is listened on.
        mode: What happens to the bytes now.
    """

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.target = target
        self.port = 0
        self.mode = ProxyMode.PASS
        self._writers: set[asyncio.StreamWriter] = set()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[FaultProxy]:
        """Listens until the context ends."""
        server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            self._reset_all()

    def set_mode(self, mode: ProxyMode) -> None:
        """Changes what happens to the bytes, also of open connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()  # as the target's host would
            return
        self._writers |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pump(reader, far_writer, answer=False))
                tasks.create_task(self._pump(far_reader, writer, answer=True))
        except* (OSError, asyncio.IncompleteReadError):
            pass  # the other side is told by the abort below
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answer: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            while self.mode is ProxyMode.STALL or (
                answer and self.mode is ProxyMode.STALL_RESPONSES
            ):
                await asyncio.sleep(STALL_POLL_INTERVAL_S)
            if self.mode is ProxyMode.DELAY:
                await asyncio.sleep(CHUNK_DELAY_S)
            writer.write(data)
            await writer.drain()
        if not answer:
            writer.write_eof()
            return
        await _close_gently(writer)
        raise ConnectionResetError  # ends the other direction too


async def _close_gently(writer: asyncio.StreamWriter) -> None:
    writer.close()
    await writer.wait_closed()


__all__ = ["ProxyMode", "FaultProxy"]

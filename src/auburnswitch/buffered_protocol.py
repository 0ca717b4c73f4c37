"""Buffers what a connection receives until it is read."""

from __future__ import annotations

import asyncio
import collections
from typing import Final

MAX_UNREAD_BYTES: Final = 256 * 1024


class BufferedProtocol(asyncio.Protocol):
    """Buffers received bytes until they are read.

    Attributes:
        close_reason: Error that ended the connection (EOFError for a regular
            close), None while it is open.
    """

    __slots__ = (
        "_parts",
        "_paused",
        "_transport",
        "_unread_bytes",
        "_wake",
        "close_reason",
    )

    def __init__(self) -> None:
        self.close_reason: Exception | None = None
        self._parts: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self._paused = False
        self._wake = asyncio.Event()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the opened connection."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Buffers bytes; stops reading above ``MAX_UNREAD_BYTES``."""
        self._parts.append(data)
        self._unread_bytes += len(data)
        self._wake.set()
        if self._unread_bytes > MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def eof_received(self) -> None:
        """Records that the peer has closed its side."""
        self._on_close(EOFError("the connection was closed"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the end of the connection and its error."""
        self._on_close(exc or EOFError("the connection was closed"))

    def _on_close(self, close_reason: Exception) -> None:
        self.close_reason = self.close_reason or close_reason
        self._wake.set()

    async def read(self) -> bytes:
        """Returns the next bytes, or none after a regular close.

        Raises:
            OSError: The connection broke.
        """
        while not self._parts and self.close_reason is None:
            self._wake.clear()
            await self._wake.wait()
        if self._parts:
            return self._take_unread()
        if isinstance(self.close_reason, EOFError):
            return b""
        raise self.close_reason

    def _take_unread(self) -> bytes:
        data = b"".join(self._parts)
        self._parts.clear()
        self._unread_bytes = 0
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        return data


__all__ = ["MAX_UNREAD_BYTES", "BufferedProtocol"]

"""Writes structured logs without blocking on the reader of the output."""

from __future__ import annotations

import contextlib
import logging
import os
import sys
import time
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from auburnswitch.observe.logs import LOGGER

MAX_BUFFERED_BYTES: Final = 65536
RATE_WINDOW_S: Final = 1.0


class NonBlockingLogHandler(logging.Handler):
    """Writes log lines to a non-blocking file descriptor.

    Lines above the rate limit, and lines for which the buffer is full because
    the reader is too slow, are dropped and counted; the next line that is
    written carries the count.

    Attributes:
        descriptor: Non-blocking file descriptor for the output.
        max_lines_per_s: Maximum number of lines written per second.
        dropped_lines: Number of lines dropped since the last written line.
    """

    def __init__(self, *, descriptor: int, max_lines_per_s: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.max_lines_per_s = max_lines_per_s
        self.dropped_lines = 0
        self._buffer = b""
        self._window_started_at = 0.0
        self._window_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record; drops it above the rate or if the buffer is full."""
        now = time.monotonic()
        if now - self._window_started_at >= RATE_WINDOW_S:
            self._window_started_at = now
            self._window_lines = 0
        self._window_lines += 1
        buffer_full = len(self._buffer) > MAX_BUFFERED_BYTES
        if buffer_full or self._window_lines > self.max_lines_per_s:
            self.dropped_lines += 1
            self._write(b"")
            return
        if self.dropped_lines:
            record.dropped_lines = self.dropped_lines
            self.dropped_lines = 0
        self._write(self.format(record).encode() + b"\n")

    def _write(self, line: bytes) -> None:
        self._buffer += line
        with contextlib.suppress(BlockingIOError):  # retried with the next line
            written = os.write(self.descriptor, self._buffer)
            self._buffer = self._buffer[written:]


def configure_nonblocking_logs(
    level: str, max_lines_per_s: int
) -> NonBlockingLogHandler:
    """Logs events of a level and above to standard output, without blocking."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = NonBlockingLogHandler(
        descriptor=descriptor, max_lines_per_s=max_lines_per_s
    )
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    LOGGER.handlers[:] = [handler]
    LOGGER.propagate = False
    LOGGER.setLevel(level.upper())
    return handler


__all__ = ["NonBlockingLogHandler", "configure_nonblocking_logs"]

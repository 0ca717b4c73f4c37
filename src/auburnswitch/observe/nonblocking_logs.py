"""Writes structured logs without ever waiting for their reader."""

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
    """Writes lines to a descriptor that does not block.

    Lines over the rate, and lines that the reader does not take, are dropped
    and counted; the count is written with the next line.

    Attributes:
        descriptor: File descriptor that is written to.
        max_lines_per_s: Lines written in one second at the most.
        dropped_lines: Lines dropped since the last line that was written.
    """

    def __init__(self, *, descriptor: int, max_lines_per_s: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.max_lines_per_s = max_lines_per_s
        self.dropped_lines = 0
        self._unwritten = b""
        self._window_at = 0.0
        self._lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record or drops it."""
        now = time.monotonic()
        if now - self._window_at >= RATE_WINDOW_S:
            self._window_at = now
            self._lines = 0
        self._lines += 1
        full = len(self._unwritten) > MAX_BUFFERED_BYTES
        if full or self._lines > self.max_lines_per_s:
            self.dropped_lines += 1
            self._write(b"")
            return
        if self.dropped_lines:
            record.dropped_lines = self.dropped_lines
            self.dropped_lines = 0
        self._write(self.format(record).encode() + b"\n")

    def _write(self, line: bytes) -> None:
        self._unwritten += line
        with contextlib.suppress(BlockingIOError):  # written with a later line
            written = os.write(self.descriptor, self._unwritten)
            self._unwritten = self._unwritten[written:]


def configure_nonblocking_logs(
    level: str, max_lines_per_s: int
) -> NonBlockingLogHandler:
    """Writes events of a level and above to standard output."""
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

"""Writes structured logs without blocking on the reader of the output."""

from __future__ import annotations

import logging
import os
import select
import sys
import time
from collections import Counter
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from auburnswitch.observe.logs import LOGGER

MAX_BUFFERED_BYTES: Final = 65536
RATE_WINDOW_S: Final = 1.0
CLOSE_TIMEOUT_S: Final = 0.1
_MS_PER_S: Final = 1000.0


class NonBlockingLogHandler(logging.Handler):
    """Writes log lines to a non-blocking file descriptor.

    Lines above the rate limit, and lines for which the buffer is full because
    the reader is too slow, are dropped and counted; the next line that is
    written carries the count. Warnings and errors have a rate limit of their
    own, so that they are not lost among other lines.

    Attributes:
        descriptor: Non-blocking file descriptor for the output.
        max_lines_per_s: Maximum number of lines written per second, and of
            warnings and errors besides.
        dropped_lines: Number of lines dropped since the last written line.
    """

    def __init__(self, *, descriptor: int, max_lines_per_s: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.max_lines_per_s = max_lines_per_s
        self.dropped_lines = 0
        self._buffer = b""
        self._window_started_at = 0.0
        self._window_lines: Counter[bool] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record; drops it above the rate or if the buffer is full."""
        now = time.monotonic()
        if now - self._window_started_at >= RATE_WINDOW_S:
            self._window_started_at = now
            self._window_lines.clear()
        is_warning = record.levelno >= logging.WARNING
        self._window_lines[is_warning] += 1
        too_many = self._window_lines[is_warning] > self.max_lines_per_s
        if too_many or len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            self._write(b"")
            return
        if self.dropped_lines:
            record.dropped_lines = self.dropped_lines
            self.dropped_lines = 0
        self._write(self.format(record).encode() + b"\n")

    def close(self) -> None:
        """Writes what is buffered, within a limited time."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        ends_at = time.monotonic() + CLOSE_TIMEOUT_S
        while self._buffer and (left_s := ends_at - time.monotonic()) > 0:
            poll.poll(left_s * _MS_PER_S)
            self._write(b"")
        super().close()

    def _write(self, line: bytes) -> None:
        self._buffer += line
        try:
            written = os.write(self.descriptor, self._buffer)
            self._buffer = self._buffer[written:]
        except BlockingIOError:
            return  # retried with the next line
        except OSError:  # the reader has gone: nowhere to report it
            self.dropped_lines += self._buffer.count(b"\n")
            self._buffer = b""


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

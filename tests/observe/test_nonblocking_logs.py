"""Tests that log output does not block and is rate-limited."""

from __future__ import annotations

import json
import logging
import os
import time
import unittest

from pythonjsonlogger.json import JsonFormatter

from auburnswitch.observe.nonblocking_logs import NonBlockingLogHandler


class NonBlockingLogTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.writer, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def make_logger(
        self, lines_per_s: int
    ) -> tuple[logging.Logger, NonBlockingLogHandler]:
        handler = NonBlockingLogHandler(
            descriptor=self.writer, max_lines_per_s=lines_per_s
        )
        handler.setFormatter(JsonFormatter("%(message)s"))
        logger = logging.Logger("test")
        logger.addHandler(handler)
        return logger, handler

    def test_does_not_block_on_stopped_reader(self):
        logger, handler = self.make_logger(1_000_000)
        started_at = time.monotonic()
        for _ in range(5_000):
            logger.info("x" * 200)
        self.assertLess(time.monotonic() - started_at, 2.0)
        self.assertGreater(handler.dropped_lines, 0)

    # Each log line raised in the code that logs once the reader had gone away.
    def test_reader_that_has_gone_away(self):
        logger, handler = self.make_logger(1_000)
        reader, handler.descriptor = os.pipe()
        self.addCleanup(os.close, handler.descriptor)
        os.set_blocking(handler.descriptor, False)
        os.close(reader)
        for _ in range(5):
            logger.info("x" * 200)
        self.assertGreater(handler.dropped_lines, 0)
        handler.close()

    def test_reports_number_of_dropped_lines(self):
        logger, handler = self.make_logger(3)
        for number in range(10):
            logger.info("line %d", number)
        self.assertEqual(handler.dropped_lines, 7)
        handler._window_started_at = 0.0
        logger.info("later")
        lines = os.read(self.reader, 65536).decode().splitlines()
        self.assertEqual(len(lines), 4)
        self.assertEqual(json.loads(lines[-1])["dropped_lines"], 7)

    # The lines about requests that a stop cuts off come with many others.
    def test_warnings_are_written_among_many_other_lines(self):
        logger, handler = self.make_logger(3)
        for number in range(10):
            logger.info("line %d", number)
        logger.warning("cut off")
        lines = os.read(self.reader, 65536).decode().splitlines()
        self.assertEqual(json.loads(lines[-1])["message"], "cut off")
        for _ in range(10):
            logger.warning("again")
        self.assertEqual(handler.dropped_lines, 8)

    # The last lines of a process stayed in its buffer.
    def test_buffered_lines_are_written_at_the_end(self):
        logger, handler = self.make_logger(1_000_000)
        while not handler._buffer:
            logger.info("x" * 200)
        os.read(self.reader, 1_000_000)
        handler.close()
        self.assertEqual(handler._buffer, b"")

    def test_end_does_not_wait_for_a_stopped_reader(self):
        logger, handler = self.make_logger(1_000_000)
        while not handler._buffer:
            logger.info("x" * 200)
        started_at = time.monotonic()
        handler.close()
        self.assertLess(time.monotonic() - started_at, 1.0)


if __name__ == "__main__":
    unittest.main()

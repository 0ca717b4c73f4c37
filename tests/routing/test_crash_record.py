"""A request that crashes its endpoints is recognised and refused."""

from __future__ import annotations

import unittest

from auburnswitch.platform.requests import decode_request
from auburnswitch.routing import crash_record
from auburnswitch.routing.crash_record import CrashRecord, fingerprint_of
from tests.virtual_time import in_loop


class CrashRecordTest(unittest.TestCase):
    @in_loop
    def test_third_crash_refuses(self):
        record = CrashRecord()
        for number in range(3):
            self.assertFalse(record.is_refused("request"))
            record.note("request", f"engine-{number}")
        self.assertTrue(record.is_refused("request"))
        self.assertFalse(record.is_refused("another"))

    @in_loop
    def test_one_crash_counts_once_whoever_reports_it(self):
        record = CrashRecord()
        for _ in range(5):
            record.note("request", "engine-1")
            record.note_told(["request/engine-1", "request", ""])
        self.assertEqual(record.count("request"), 1)

    @in_loop
    def test_peers_are_told(self):
        seen, told = CrashRecord(), CrashRecord()
        for number in range(3):
            seen.note("request", f"engine-{number}")
        told.note_told(seen.news())
        self.assertTrue(told.is_refused("request"))
        self.assertEqual(told.news(), [])  # each daemon tells its own

    @in_loop
    def test_memory_is_bounded(self):
        record = CrashRecord()
        for number in range(crash_record.MAX_FINGERPRINTS + 10):
            record.note_told([f"request-{number}/engine"])
        self.assertEqual(record.count("request-0"), 0)
        self.assertLessEqual(len(record.news()), crash_record.MAX_SPREAD)

    def test_fingerprint_leaves_out_the_attempt(self):
        def made(attempt, key, body):
            headers = [
                ("x-attempt-id", attempt),
                ("authorization", f"Bearer {key}"),
            ]
            request = decode_request(
                method="POST", raw_path=b"/a/", query=b"", headers=headers
            )
            return fingerprint_of(request, body)

        first = made("1", "key", b"body")
        self.assertEqual(first, made("2", "key", b"body"))
        self.assertNotEqual(first, made("1", "other", b"body"))
        self.assertNotEqual(first, made("1", "key", b"other"))


if __name__ == "__main__":
    unittest.main()

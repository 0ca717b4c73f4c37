"""A request that crashes its endpoints is recognised and refused."""

from __future__ import annotations

import unittest

from auburnswitch.platform.requests import decode_request
from auburnswitch.routing import crash_registry
from auburnswitch.routing.crash_registry import (
    CrashRegistry,
    compute_fingerprint,
)
from tests.virtual_time import in_virtual_loop


class CrashRecordTest(unittest.TestCase):
    @in_virtual_loop
    def test_third_crash_refuses(self):
        record = CrashRegistry()
        for number in range(3):
            self.assertFalse(record.is_refused("request"))
            record.record_crash("request", f"engine-{number}")
        self.assertTrue(record.is_refused("request"))
        self.assertFalse(record.is_refused("another"))

    @in_virtual_loop
    def test_one_crash_counts_once_whoever_reports_it(self):
        record = CrashRegistry()
        for _ in range(5):
            record.record_crash("request", "engine-1")
            record.merge_peer_crashes(["request/engine-1", "request", ""])
        self.assertEqual(record.count("request"), 1)

    @in_virtual_loop
    def test_peers_are_told(self):
        seen, told = CrashRegistry(), CrashRegistry()
        for number in range(3):
            seen.record_crash("request", f"engine-{number}")
        told.merge_peer_crashes(seen.recent_local_crashes())
        self.assertTrue(told.is_refused("request"))
        self.assertEqual(
            told.recent_local_crashes(), []
        )  # each daemon tells its own

    @in_virtual_loop
    def test_memory_is_bounded(self):
        record = CrashRegistry()
        for number in range(crash_registry.MAX_FINGERPRINTS + 10):
            record.merge_peer_crashes([f"request-{number}/engine"])
        self.assertEqual(record.count("request-0"), 0)
        self.assertLessEqual(
            len(record.recent_local_crashes()),
            crash_registry.MAX_CRASHES_PER_DATAGRAM,
        )

    def test_fingerprint_leaves_out_the_attempt(self):
        def made(attempt, key, body):
            headers = [
                ("x-attempt-id", attempt),
                ("authorization", f"Bearer {key}"),
            ]
            request = decode_request(
                method="POST", raw_path=b"/a/", query=b"", headers=headers
            )
            return compute_fingerprint(request, body)

        first = made("1", "key", b"body")
        self.assertEqual(first, made("2", "key", b"body"))
        self.assertNotEqual(first, made("1", "other", b"body"))
        self.assertNotEqual(first, made("1", "key", b"other"))


if __name__ == "__main__":
    unittest.main()

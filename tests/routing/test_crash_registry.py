"""Tests of the detection and refusal of requests that crash endpoints."""

from __future__ import annotations

import unittest

from auburnswitch.platform.requests import decode_request
from auburnswitch.routing import crash_registry
from auburnswitch.routing.crash_registry import (
    CrashRegistry,
    compute_fingerprint,
)
from tests.virtual_time import in_virtual_loop


class CrashRegistryTest(unittest.TestCase):
    @in_virtual_loop
    def test_request_is_refused_after_third_crash(self):
        registry = CrashRegistry()
        for number in range(3):
            self.assertFalse(registry.is_refused("request"))
            registry.record_crash("request", f"engine-{number}")
        self.assertTrue(registry.is_refused("request"))
        self.assertFalse(registry.is_refused("another"))

    @in_virtual_loop
    def test_crash_reported_repeatedly_counts_once(self):
        registry = CrashRegistry()
        for _ in range(5):
            registry.record_crash("request", "engine-1")
            registry.merge_peer_crashes(["request/engine-1", "request", ""])
        self.assertEqual(registry.count("request"), 1)

    @in_virtual_loop
    def test_local_crashes_are_announced_to_peers(self):
        local, peer = CrashRegistry(), CrashRegistry()
        for number in range(3):
            local.record_crash("request", f"engine-{number}")
        peer.merge_peer_crashes(local.recent_local_crashes())
        self.assertTrue(peer.is_refused("request"))
        # Only the daemon that observed a crash announces it.
        self.assertEqual(peer.recent_local_crashes(), [])

    @in_virtual_loop
    def test_memory_is_bounded(self):
        registry = CrashRegistry()
        for number in range(crash_registry.MAX_FINGERPRINTS + 10):
            registry.merge_peer_crashes([f"request-{number}/engine"])
        self.assertEqual(registry.count("request-0"), 0)
        self.assertLessEqual(
            len(registry.recent_local_crashes()),
            crash_registry.MAX_CRASHES_PER_DATAGRAM,
        )

    def test_fingerprint_ignores_the_attempt_id(self):
        def fingerprint_of(attempt, key, body):
            headers = [
                ("x-attempt-id", attempt),
                ("authorization", f"Bearer {key}"),
            ]
            request = decode_request(
                method="POST", raw_path=b"/a/", query=b"", headers=headers
            )
            return compute_fingerprint(request, body)

        first = fingerprint_of("1", "key", b"body")
        self.assertEqual(first, fingerprint_of("2", "key", b"body"))
        self.assertNotEqual(first, fingerprint_of("1", "other", b"body"))
        self.assertNotEqual(first, fingerprint_of("1", "key", b"other"))


if __name__ == "__main__":
    unittest.main()

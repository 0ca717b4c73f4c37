"""Tests of the detection and refusal of requests that crash endpoints."""

from __future__ import annotations

import unittest

from auburnswitch.platform.requests import decode_request
from auburnswitch.routing.crashes import crash_registry
from auburnswitch.routing.crashes.crash_registry import (
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
            registry.merge_peer_announcements(
                ["request/engine-1", "request", ""]
            )
        self.assertEqual(registry.count("request"), 1)

    @in_virtual_loop
    def test_local_crashes_are_announced_to_peers(self):
        local, peer = CrashRegistry(), CrashRegistry()
        for number in range(3):
            local.record_crash("request", f"engine-{number}")
        peer.merge_peer_announcements(local.recent_announcements())
        self.assertTrue(peer.is_refused("request"))
        # Only the daemon that observed a crash announces it.
        self.assertEqual(peer.recent_announcements(), [])

    # Soak 105: strikes of a request that succeeds were kept for ten minutes.
    @in_virtual_loop
    def test_success_clears_a_request_at_all_daemons(self):
        local, peer = CrashRegistry(), CrashRegistry()
        for number in range(3):
            peer.record_crash("request", f"engine-{number}")
            peer.record_crash("another", f"engine-{number}")
        local.merge_peer_announcements(peer.recent_announcements())
        local.record_success("request")
        peer.merge_peer_announcements(local.recent_announcements())
        for registry in (local, peer):
            self.assertEqual(registry.count("request"), 0)
            self.assertTrue(registry.is_refused("another"))
        local.merge_peer_announcements(peer.recent_announcements())
        self.assertEqual(local.count("request"), 0)

    # Each success after a crash would have cost a call of the store.
    @in_virtual_loop
    def test_only_refusals_are_told_to_be_kept(self):
        told = []
        registry = CrashRegistry(on_change=lambda *args: told.append(args))
        registry.record_crash("request", "engine-0")
        registry.record_success("request")
        self.assertEqual(told, [])
        for number in range(3):
            registry.record_crash("request", f"engine-{number}")
        registry.record_success("request")
        crashes = [f"engine-{number}" for number in range(3)]
        self.assertEqual(told, [("request", crashes), ("request", [])])

    @in_virtual_loop
    def test_crash_after_a_success_counts_at_all_daemons(self):
        local, peer = CrashRegistry(), CrashRegistry()
        local.record_crash("request", "engine-1")
        local.record_success("request")
        local.record_crash("request", "engine-2")
        peer.merge_peer_announcements(local.recent_announcements())
        self.assertEqual(local.count("request"), 1)
        self.assertEqual(peer.count("request"), 1)

    @in_virtual_loop
    def test_success_without_a_crash_is_not_announced(self):
        registry = CrashRegistry()
        registry.record_success("request")
        self.assertEqual(registry.recent_announcements(), [])

    @in_virtual_loop
    def test_memory_is_bounded(self):
        registry = CrashRegistry()
        for number in range(crash_registry.MAX_FINGERPRINTS + 10):
            registry.merge_peer_announcements([f"request-{number}/engine"])
        self.assertEqual(registry.count("request-0"), 0)
        self.assertLessEqual(
            len(registry.recent_announcements()),
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

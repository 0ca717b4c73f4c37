"""Signed frames: strange and forged ones are rejected."""

from __future__ import annotations

import contextlib
import hmac
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.members.sealed_frames import (
    MAC_BYTES,
    SealedFrameError,
    seal,
    unseal,
)
from auburnswitch.schema.gossip import Gossip, WorkItem
from tests.members import garbage

KEY = b"k" * 32
PLAIN = b"\0"
fuzz = settings(derandomize=True, deadline=None, max_examples=300)


def sign(message: bytes) -> bytes:
    payload = PLAIN + message
    return hmac.digest(KEY, payload, "sha256")[:MAC_BYTES] + payload


class SealedFrameTest(unittest.TestCase):
    def test_round_trip(self):
        sent = Gossip(sender="a", items=[WorkItem(id=3, helpers=["x"])])
        self.assertEqual(unseal(KEY, seal(KEY, sent), Gossip()), sent)

    def test_other_key(self):
        with self.assertRaises(SealedFrameError):
            unseal(b"x" * 32, seal(KEY, Gossip(sender="a")), Gossip())

    @fuzz
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        with self.assertRaises(SealedFrameError):
            unseal(KEY, data, Gossip())

    @fuzz
    @given(st.binary(max_size=200))
    def test_signed_garbage(self, data):
        with contextlib.suppress(SealedFrameError):
            unseal(KEY, sign(data), Gossip())

    def test_signed_claims_of_two_billion_items(self):
        for data in garbage.huge_claims():
            with self.assertRaises(SealedFrameError):
                unseal(KEY, sign(data), Gossip())

    @fuzz
    @given(st.integers(min_value=0, max_value=300), st.integers(1, 255))
    def test_one_changed_byte(self, place, change):
        frame = bytearray(seal(KEY, Gossip(sender="a", host="10.0.0.1")))
        frame[place % len(frame)] ^= change
        with self.assertRaises(SealedFrameError):
            unseal(KEY, bytes(frame), Gossip())


if __name__ == "__main__":
    unittest.main()

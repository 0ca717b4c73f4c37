"""Tests of signed frames with malformed and forged input."""

from __future__ import annotations

import contextlib
import hmac
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.members.signed_frames import (
    MAC_BYTES,
    SignedFrameError,
    decode_signed,
    encode_signed,
)
from auburnswitch.observe.logs import LOGGER
from auburnswitch.schema.gossip import Gossip, GossipFrame, WorkItem
from tests.members import malformed_messages

KEY = b"k" * 32
UNCOMPRESSED = b"\0"
fuzz_settings = settings(derandomize=True, deadline=None, max_examples=300)


def sign(message: bytes) -> bytes:
    payload = UNCOMPRESSED + message
    return hmac.digest(KEY, payload, "sha256")[:MAC_BYTES] + payload


class SignedFrameTest(unittest.TestCase):
    def test_round_trip(self):
        sent = Gossip(sender="a", items=[WorkItem(id=3, helpers=["x"])])
        self.assertEqual(
            decode_signed(KEY, encode_signed(KEY, sent), Gossip()), sent
        )

    # One item that couldn't be encoded cost the whole message.
    def test_item_that_cannot_be_encoded_is_left_out(self):
        sound = WorkItem(id=3, helpers=["x"])
        for odd in (
            WorkItem(id=2**63),
            WorkItem(id="a"),
            WorkItem(endpoint=None, helpers=[5]),
            WorkItem(read_ms="soon"),
        ):
            sent = Gossip(sender="a", items=[odd, sound])
            with self.subTest(odd), self.assertLogs(LOGGER):
                frame = encode_signed(KEY, GossipFrame(messages=[sent]))
                received = decode_signed(KEY, frame, GossipFrame())
                self.assertEqual(received.messages[0].items, [sound])

    def test_message_that_cannot_be_encoded(self):
        with self.assertRaises(SignedFrameError):
            encode_signed(KEY, Gossip(port=2**31))

    def test_wrong_key(self):
        with self.assertRaises(SignedFrameError):
            decode_signed(
                b"x" * 32, encode_signed(KEY, Gossip(sender="a")), Gossip()
            )

    @fuzz_settings
    @given(st.binary(max_size=200))
    def test_random_bytes(self, data):
        with self.assertRaises(SignedFrameError):
            decode_signed(KEY, data, Gossip())

    @fuzz_settings
    @given(st.binary(max_size=200))
    def test_signed_garbage(self, data):
        with contextlib.suppress(SignedFrameError):
            decode_signed(KEY, sign(data), Gossip())

    def test_signed_oversized_item_counts(self):
        for data in malformed_messages.oversized_count_messages():
            with self.assertRaises(SignedFrameError):
                decode_signed(KEY, sign(data), Gossip())

    @fuzz_settings
    @given(st.integers(min_value=0, max_value=300), st.integers(1, 255))
    def test_one_changed_byte(self, position, mask):
        frame = bytearray(
            encode_signed(KEY, Gossip(sender="a", host="10.0.0.1"))
        )
        frame[position % len(frame)] ^= mask
        with self.assertRaises(SignedFrameError):
            decode_signed(KEY, bytes(frame), Gossip())


if __name__ == "__main__":
    unittest.main()

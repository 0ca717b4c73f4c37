"""Tests of the validation of messages before decoding."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import serialize

from auburnswitch.members.message_validation import (
    MalformedMessageError,
    validate_message,
)
from auburnswitch.schema.gossip import (
    ConfigChanges,
    Gossip,
    GossipFrame,
    PartRefusal,
    WorkItem,
)
from tests.members import malformed_messages

fuzz_settings = settings(derandomize=True, deadline=None, max_examples=300)


def encode(message):
    return serialize(message, TBinaryProtocolFactory())


def encoded_frame():
    item = WorkItem(id=3, endpoint="e", helpers=["x", "y"], read_ms=1.5)
    changes = ConfigChanges(removed=["r"])
    message = Gossip(
        sender="a", items=[item], ended=[1, 2], config_changes=changes
    )
    return encode(GossipFrame(messages=[message, message], relay=True))


class MessageValidationTest(unittest.TestCase):
    # The decoder left such a string as bytes; a daemon that passed it on in its
    # heartbeats could not send any more of them.
    def test_string_that_is_no_utf8_is_rejected(self):
        refusal = PartRefusal(parts=["good", "XXXX"])
        message = encode(
            GossipFrame(messages=[Gossip(part_refusals=[refusal])])
        )
        validate_message(message)
        with self.assertRaises(MalformedMessageError):
            validate_message(message.replace(b"XXXX", b"\xff\xfe\xfd\xfc"))

    def test_complete_messages(self):
        for message in (GossipFrame(), Gossip(sender="a")):
            validate_message(encode(message))
        validate_message(encoded_frame())

    def test_truncated_messages(self):
        whole = encoded_frame()
        for size in range(len(whole)):
            with self.assertRaises(MalformedMessageError):
                validate_message(whole[:size])

    def test_oversized_item_counts(self):
        for data in malformed_messages.oversized_count_messages():
            with self.assertRaises(MalformedMessageError, msg=data[:20]):
                validate_message(data)

    def test_negative_sizes(self):
        for data in (
            malformed_messages.encode_list(8, -1),
            malformed_messages.encode_map(8, 8, -5),
        ):
            with self.assertRaises(MalformedMessageError):
                validate_message(data)

    @fuzz_settings
    @given(st.binary(max_size=300))
    def test_random_bytes(self, data):
        try:
            validate_message(data)
        except MalformedMessageError as error:
            self.assertTrue(str(error))

    @fuzz_settings
    @given(st.integers(min_value=0), st.integers(1, 255))
    def test_one_changed_byte(self, position, mask):
        data = bytearray(encoded_frame())
        data[position % len(data)] ^= mask
        try:
            validate_message(bytes(data))
        except MalformedMessageError as error:
            self.assertTrue(str(error))


if __name__ == "__main__":
    unittest.main()

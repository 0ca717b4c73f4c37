"""Messages are checked before they are decoded."""

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
    WorkItem,
)
from tests.members import malformed_messages

fuzz = settings(derandomize=True, deadline=None, max_examples=300)


def encoded(message):
    return serialize(message, TBinaryProtocolFactory())


def a_frame():
    item = WorkItem(id=3, endpoint="e", helpers=["x", "y"], read_ms=1.5)
    changes = ConfigChanges(removed=["r"])
    message = Gossip(
        sender="a", items=[item], ended=[1, 2], config_changes=changes
    )
    return encoded(GossipFrame(messages=[message, message], relay=True))


class MessageValidationTest(unittest.TestCase):
    def test_whole_messages(self):
        for message in (GossipFrame(), Gossip(sender="a")):
            validate_message(encoded(message))
        validate_message(a_frame())

    def test_every_part_of_a_message_is_cut_short(self):
        whole = a_frame()
        for size in range(len(whole)):
            with self.assertRaises(MalformedMessageError):
                validate_message(whole[:size])

    def test_huge_claims(self):
        for data in malformed_messages.oversized_size_messages():
            with self.assertRaises(MalformedMessageError, msg=data[:20]):
                validate_message(data)

    def test_negative_sizes(self):
        for data in (
            malformed_messages.list_of(8, -1),
            malformed_messages.map_of(8, 8, -5),
        ):
            with self.assertRaises(MalformedMessageError):
                validate_message(data)

    @fuzz
    @given(st.binary(max_size=300))
    def test_any_bytes(self, data):
        try:
            validate_message(data)
        except MalformedMessageError as error:
            self.assertTrue(str(error))

    @fuzz
    @given(st.integers(min_value=0), st.integers(1, 255))
    def test_one_changed_byte(self, place, change):
        data = bytearray(a_frame())
        data[place % len(data)] ^= change
        try:
            validate_message(bytes(data))
        except MalformedMessageError as error:
            self.assertTrue(str(error))


if __name__ == "__main__":
    unittest.main()

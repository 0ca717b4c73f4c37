"""Tests of decoding documents of which parts cannot be read."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.json_values import (
    JsonError,
    Unreadable,
    decode_json,
    decode_readable_json,
)

DEPTH = 100_000
UNREADABLE_VALUES = {
    "nested arrays": b"[" * DEPTH + b"]" * DEPTH,
    "nested objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "both in turn": b'[{"a":' * DEPTH + b"1" + b"}]" * DEPTH,
    "too many digits": b"9" * 5000,
    "not UTF-8": b'"\xff\xfe"',
    "not JSON": b"nothing",
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=12,
)


class UnreadableValueTest(unittest.TestCase):
    # One value that could not be read made the whole document unreadable.
    def test_only_the_unreadable_value_is_lost(self):
        for name, value in UNREADABLE_VALUES.items():
            data = b'{"a": [1, ' + value + b', "x,]"], "b": {"c": 2}}'
            with self.subTest(name):
                with self.assertRaises(JsonError):
                    decode_json(data)
                self.assertEqual(
                    decode_readable_json(data, 2),
                    {"a": [1, Unreadable.VALUE, "x,]"], "b": {"c": 2}},
                )

    def test_only_the_unreadable_member_is_lost(self):
        for name, value in UNREADABLE_VALUES.items():
            data = b'[{"q\\"": 1, "bad" : ' + value + b"}]"
            with self.subTest(name):
                self.assertEqual(
                    decode_readable_json(data, 2),
                    [{'q"': 1, "bad": Unreadable.VALUE}],
                )

    def test_document_of_which_nothing_can_be_read(self):
        for value in (b"", b"7 8", b"[1, ", b'{"a": [1}', b"[" * DEPTH):
            with self.subTest(value[:9]), self.assertRaises(JsonError):
                decode_readable_json(value)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(JSON, st.booleans())
    def test_everything_beside_an_unreadable_value_is_kept(self, value, ascii_):
        encoded = json.dumps(value, ensure_ascii=ascii_, indent=1)
        data = b"[" + encoded.encode("utf-8", "replace") + b", nothing]"
        expected = json.loads(encoded.encode("utf-8", "replace"))
        decoded = decode_readable_json(data)
        self.assertEqual(decoded, [expected, Unreadable.VALUE])


if __name__ == "__main__":
    unittest.main()

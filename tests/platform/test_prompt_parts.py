"""Tests of the decoding of prompt parts."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from auburnswitch.platform.requests import MAX_SHARED_PARTS, decode_request


def shared_parts(*values: str) -> tuple[str, ...]:
    headers = [("x-prompt-prefix", value) for value in values]
    return decode_request(
        method="POST", raw_path=b"/a/", query=b"", headers=headers
    ).shared_parts


class PromptPartsTest(unittest.TestCase):
    def test_last_part_is_never_shared(self):
        self.assertEqual(shared_parts("a0:10,b1:20,c2:30"), ("a0", "b1"))
        self.assertEqual(shared_parts("c2:30"), ())
        self.assertEqual(shared_parts(), ())

    def test_parts_are_the_same_however_they_are_written(self):
        self.assertEqual(shared_parts(" A0:10 , b1", "c2:30"), ("a0", "b1"))

    def test_repeated_part_counts_once(self):
        self.assertEqual(shared_parts("a0:1,a0:1,b1:2,c2:3"), ("a0", "b1"))

    def test_hundreds_of_parts(self):
        value = ",".join(f"{n:x}:1" for n in range(500))
        self.assertEqual(len(shared_parts(value)), 499)

    # A header of 64 KB holds 32,000 parts, each of which costs a hash.
    def test_number_of_parts_is_bounded(self):
        parts = shared_parts(",".join(f"{n:x}" for n in range(20_000)))
        self.assertEqual(len(parts), MAX_SHARED_PARTS)

    @given(st.text(st.characters(max_codepoint=255), max_size=40))
    def test_unreadable_lists_have_only_named_parts(self, value):
        for part in shared_parts(value):
            self.assertTrue(part.strip())


if __name__ == "__main__":
    unittest.main()

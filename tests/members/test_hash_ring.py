"""Tests of consistent hashing of names onto members."""

from __future__ import annotations

import unittest

from auburnswitch.members.hash_ring import HashRing

NAMES = [f"engine-{number}" for number in range(1000)]


def member_names(count):
    return [f"entry-{number}" for number in range(count)]


class HashRingTest(unittest.TestCase):
    def test_no_members(self):
        self.assertEqual(HashRing(members=[]).owner("a"), "")

    def test_any_order_of_members_gives_the_same_owners(self):
        ring = HashRing(members=member_names(20))
        other = HashRing(members=reversed(member_names(20)))
        for name in NAMES:
            self.assertEqual(ring.owner(name), other.owner(name))

    def test_names_are_spread(self):
        ring = HashRing(members=member_names(20))
        owned = [ring.owner(name) for name in NAMES]
        counts = [owned.count(member) for member in member_names(20)]
        self.assertGreater(min(counts), 10)
        self.assertLess(max(counts), 150)

    def test_only_names_of_a_member_that_leaves_move(self):
        before = HashRing(members=member_names(20))
        after = HashRing(members=member_names(19))
        for name in NAMES:
            if before.owner(name) != "entry-19":
                self.assertEqual(after.owner(name), before.owner(name))


if __name__ == "__main__":
    unittest.main()

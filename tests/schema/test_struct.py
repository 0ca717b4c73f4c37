"""Tests of the methods that all generated structs share."""

from __future__ import annotations

import unittest

from auburnswitch.schema.base import from_json, to_json
from auburnswitch.schema.gossip import (
    DaemonRecord,
    Gossip,
    StateFetch,
    StateUpdate,
    WorkItem,
)


class StructTest(unittest.TestCase):
    def test_structs_are_equal_if_type_and_fields_are(self):
        item = WorkItem(id=7, helpers=["a"])
        self.assertEqual(item, WorkItem(id=7, helpers=["a"]))
        self.assertNotEqual(item, WorkItem(id=7, helpers=["b"]))
        self.assertNotEqual(StateFetch(), StateUpdate())
        with self.assertRaises(TypeError):
            hash(item)

    def test_omitted_lists_and_structs_are_not_shared(self):
        first, second = Gossip(), Gossip()
        first.items.append(WorkItem())
        self.assertEqual(second.items, [])
        self.assertIsNone(first.changes)

    def test_replace_returns_a_copy(self):
        record = DaemonRecord(instance="a", port=5)
        moved = record.replace(port=6)
        self.assertEqual(record.port, 5)
        self.assertEqual(moved, DaemonRecord(instance="a", port=6))
        with self.assertRaises(TypeError):
            record.replace(unknown=1)

    def test_fields_are_keyword_only_and_fixed(self):
        with self.assertRaises(TypeError):
            DaemonRecord("a")
        with self.assertRaises(AttributeError):
            DaemonRecord().unknown = 1

    def test_representation_and_json_name_all_fields(self):
        record = DaemonRecord(instance="a")
        self.assertIn("instance='a', zone=''", repr(record))
        self.assertEqual(list(to_json(record)), DaemonRecord.field_names())
        self.assertEqual(from_json(DaemonRecord, to_json(record)), record)


if __name__ == "__main__":
    unittest.main()

"""Tests of the binary and JSON encodings of the generated structs."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.objects import Change, ObjectKind, Team, Ticket
from auburnswitch.schema.peers import Envelope, Heartbeat, RunningWork

names = st.text(max_size=8)
tokens = st.integers(min_value=0, max_value=2**40)


class BinaryTest(unittest.TestCase):
    @given(names, tokens, st.booleans())
    def test_round_trip(self, name, count, leaving):
        work = RunningWork(endpoint=name, tokens=count)
        heartbeat = Heartbeat(running=[work], leaving=leaving, heard=[name])
        sent = Envelope(call_id=count, heartbeat=heartbeat)
        factory = TBinaryProtocolFactory()
        received = deserialize(Envelope(), serialize(sent, factory), factory)
        self.assertEqual(received, sent)


class JsonTest(unittest.TestCase):
    @given(names, tokens)
    def test_round_trip(self, name, number):
        team = Team(key_digests=[name], weight=2.5)
        change = Change(kind=ObjectKind.TEAM, name=name, team=team)
        ticket = Ticket(number=number, author=name, changes=[change])
        self.assertEqual(from_json(Ticket, to_json(ticket)), ticket)

    def test_errors_name_the_field(self):
        data = {"number": 1, "changes": [{"kind": "team", "team": {"x": 1}}]}
        with self.assertRaises(SchemaError) as caught:
            from_json(Ticket, data)
        self.assertEqual(caught.exception.path, "changes[0].team.x")

    def test_rejects_wrong_types(self):
        for data in ({"number": "1"}, {"number": True}, {"number": 2**63}):
            with self.subTest(data), self.assertRaises(SchemaError):
                from_json(Ticket, data)

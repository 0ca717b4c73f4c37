"""Tests of the join of tickets."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.configuration.state import ConfigState
from auburnswitch.observe.invariants import InvariantError, Invariants
from auburnswitch.operators.ticket_validation import validate_ticket
from auburnswitch.schema.objects import (
    AvailabilityZone,
    Change,
    Endpoint,
    ObjectKind,
    Service,
    Ticket,
)

NAMES = st.sampled_from(["a", "b", "c"])


def zone_change(
    name: str, *, out: bool = False, deleted: bool = False
) -> Change:
    value = None if deleted else AvailabilityZone(out=out)
    kind = ObjectKind.AVAILABILITY_ZONE
    return Change(kind=kind, name=name, deleted=deleted, zone=value)


def endpoint_change(name: str, service: str, zone_name: str) -> Change:
    value = Endpoint(service=service, zone=zone_name, host="10.0.0.1", port=1)
    return Change(kind=ObjectKind.ENDPOINT, name=name, endpoint=value)


def service_change(name: str) -> Change:
    return Change(kind=ObjectKind.SERVICE, name=name, service=Service())


CHANGES = st.one_of(
    st.builds(zone_change, NAMES, out=st.booleans()),
    st.builds(zone_change, NAMES, deleted=st.just(True)),
    st.builds(service_change, NAMES),
    st.builds(endpoint_change, NAMES, NAMES, NAMES),
)
TICKETS = st.lists(
    st.lists(CHANGES, min_size=1, max_size=4), min_size=1, max_size=8
).map(
    lambda groups: [
        Ticket(number=number, author="x", changes=changes)
        for number, changes in enumerate(groups, 1)
    ]
)


class JoinTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(tickets=TICKETS, data=st.data())
    def test_order_repetition_and_snapshots_do_not_matter(self, tickets, data):
        expected = ConfigState()
        for ticket in tickets:
            expected.join_ticket(ticket)
        state = ConfigState(invariants=Invariants(strict=True))
        order = data.draw(
            st.lists(st.sampled_from(tickets), max_size=12).flatmap(
                lambda repeated: st.permutations([*tickets, *repeated])
            )
        )
        for ticket in order:
            if data.draw(st.booleans()):
                state.join_ticket(ticket)
            else:
                other_state = ConfigState()
                other_state.join_ticket(ticket)
                other_state.join_snapshot(state.snapshot())
                state.join_snapshot(other_state.snapshot())
            self.assertTrue(state.has_joined(ticket))
        self.assertEqual(state.digest, expected.digest)
        self.assertEqual(state.snapshot(), expected.snapshot())
        self.assertEqual(state.endpoints, expected.endpoints)

    def test_lower_number_after_higher(self):
        state = ConfigState()
        state.join_ticket(
            Ticket(number=5, changes=[zone_change("a", out=True)])
        )
        state.join_ticket(
            Ticket(
                number=3, changes=[zone_change("a"), zone_change("b", out=True)]
            )
        )
        self.assertTrue(state.zones["a"].out)
        self.assertTrue(state.zones["b"].out)
        state.join_ticket(
            Ticket(number=7, changes=[zone_change("a", deleted=True)])
        )
        state.join_ticket(Ticket(number=6, changes=[zone_change("a")]))
        self.assertNotIn("a", state.zones)

    def test_state_that_reverts_is_reported(self):
        state = ConfigState(invariants=Invariants(strict=True))
        state.join_ticket(
            Ticket(number=5, changes=[zone_change("a", out=True)])
        )
        state.entries.clear()
        with self.assertRaises(InvariantError):
            state.join_ticket(Ticket(number=3, changes=[zone_change("a")]))


class RaceTest(unittest.TestCase):
    def test_references_broken_by_a_race_are_left_out(self):
        state = ConfigState()
        first = [zone_change("a"), zone_change("b"), service_change("s")]
        state.join_ticket(Ticket(number=1, changes=first))
        drop = Ticket(
            number=2, author="x", changes=[zone_change("a", deleted=True)]
        )
        add = Ticket(
            number=3, author="x", changes=[endpoint_change("e", "s", "a")]
        )
        for ticket in (drop, add):  # both are checked before either is joined
            self.assertEqual(validate_ticket(ticket, state).errors, [])
        state.join_ticket(drop)
        state.join_ticket(add)
        self.assertEqual(state.endpoints, {})
        self.assertIn("e", state.dangling_endpoints)

        other = Ticket(
            number=4, author="x", changes=[zone_change("b", out=True)]
        )
        report = validate_ticket(other, state)
        self.assertEqual(report.errors, [])
        self.assertIn("left out", report.warnings[0])
        again = Ticket(number=5, author="x", changes=add.changes)
        self.assertIn("unknown zone", validate_ticket(again, state).errors[0])
        state.join_ticket(Ticket(number=6, changes=[zone_change("a")]))
        self.assertIn("e", state.endpoints)

    def test_deletion_of_an_object_in_use_is_refused(self):
        state = ConfigState()
        changes = [
            zone_change("a"),
            service_change("s"),
            endpoint_change("e", "s", "a"),
        ]
        state.join_ticket(Ticket(number=1, changes=changes))
        ticket = Ticket(
            number=2, author="x", changes=[zone_change("a", deleted=True)]
        )
        self.assertIn("unknown zone", validate_ticket(ticket, state).errors[0])

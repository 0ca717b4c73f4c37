"""Model checks of the ownership lease rule and of weakened variants."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any, Final

from tests.members.ownership_model import Model, OverlappingOwnersError
from tests.members.ownership_state import ModelRule

SHORT_TIMES: Final[dict[str, Any]] = {"lease": 1, "ttl": 2, "wait": 3}
THREE_MEMBERS: Final = ModelRule(epochs=3)
DELAYED_ACKS: Final = ModelRule(epochs=2, max_delay=3)
JOINS: Final = ModelRule(members=4, initial=3, epochs=3, **SHORT_TIMES)
TERMINATIONS: Final = ModelRule(
    members=4, initial=4, epochs=3, max_terminated=2, lease=1, ttl=1, wait=2
)
FIVE_MEMBERS: Final = ModelRule(
    members=5, initial=5, epochs=2, max_terminated=3, lease=1, ttl=1, wait=2
)
HANDOVERS: Final = ModelRule(initial=2, epochs=3, handovers=True, **SHORT_TIMES)


class CompleteRuleTest(unittest.TestCase):
    def check(self, rule: ModelRule, min_states: int) -> None:
        states = Model(rule=rule).search()
        self.assertGreater(states, min_states)  # guards against an empty search

    def test_three_members(self):
        self.check(THREE_MEMBERS, 1_000)

    def test_delayed_acknowledgements(self):
        self.check(DELAYED_ACKS, 1_000)

    def test_joins_and_removals(self):
        self.check(JOINS, 10_000)

    def test_terminated_members(self):
        self.check(TERMINATIONS, 10_000)

    def test_five_members(self):
        self.check(FIVE_MEMBERS, 10_000)

    def test_handovers(self):
        self.check(HANDOVERS, 10_000)


class WeakenedRuleTest(unittest.TestCase):
    def check(self, rule: ModelRule, **weakened: Any) -> None:
        with self.assertRaises(OverlappingOwnersError):
            Model(rule=replace(rule, **weakened)).search()

    def test_no_wait(self):
        self.check(THREE_MEMBERS, wait=0)

    def test_wait_without_reservation_time(self):
        self.check(THREE_MEMBERS, wait=THREE_MEMBERS.lease)

    def test_acknowledgement_dated_by_receipt(self):
        self.check(DELAYED_ACKS, date_by_receipt=True)

    def test_change_without_majority(self):
        self.check(THREE_MEMBERS, needs_majority=False)

    def test_change_of_several_members(self):
        self.check(
            ModelRule(members=4, initial=2, epochs=2, **SHORT_TIMES),
            one_at_a_time=False,
        )

    def test_removal_without_termination_proof(self):
        self.check(THREE_MEMBERS, needs_termination_proof=False)

    def test_older_epoch_acknowledged(self):
        self.check(THREE_MEMBERS, acks_older_epochs=True)

    def test_restart_acknowledges_for_former_incarnation(self):
        self.check(
            replace(THREE_MEMBERS, max_terminated=1), acks_after_restart=True
        )

    def test_missed_epoch_joins_ownership_periods(self):
        self.check(JOINS, joins_ownership_periods=True)

    def test_clock_not_checked_after_pause(self):
        self.check(THREE_MEMBERS, checks_clock=False)

    def test_handover_without_wait(self):
        self.check(HANDOVERS, handover_wait=0)

"""Searches the strict-ownership rule, whole and with parts taken out."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any, Final

from tests.members.ownership_model import Model, OverlappingOwnersError
from tests.members.ownership_state import ModelRule

SHORT: Final[dict[str, Any]] = {"lease": 1, "ttl": 2, "wait": 3}
THREE: Final = ModelRule(epochs=3)
DELAYED: Final = ModelRule(epochs=2, delay=3)
JOINING: Final = ModelRule(members=4, initial=3, epochs=3, **SHORT)
DYING: Final = ModelRule(
    members=4, initial=4, epochs=3, deaths=2, lease=1, ttl=1, wait=2
)
FIVE: Final = ModelRule(
    members=5, initial=5, epochs=2, deaths=3, lease=1, ttl=1, wait=2
)
HANDING: Final = ModelRule(initial=2, epochs=3, handovers=True, **SHORT)


class WholeRuleTest(unittest.TestCase):
    def check(self, rule: ModelRule, least_states: int) -> None:
        states = Model(rule=rule).search()
        self.assertGreater(states, least_states)  # the search was not empty

    def test_three_members(self):
        self.check(THREE, 1_000)

    def test_delayed_acknowledgements(self):
        self.check(DELAYED, 1_000)

    def test_joins_and_removals(self):
        self.check(JOINING, 10_000)

    def test_deaths(self):
        self.check(DYING, 10_000)

    def test_five_members(self):
        self.check(FIVE, 10_000)

    def test_handovers(self):
        self.check(HANDING, 10_000)


class BrokenRuleTest(unittest.TestCase):
    def check(self, rule: ModelRule, **broken: Any) -> None:
        with self.assertRaises(OverlappingOwnersError):
            Model(rule=replace(rule, **broken)).search()

    def test_no_wait(self):
        self.check(THREE, wait=0)

    def test_wait_without_reservation_time(self):
        self.check(THREE, wait=THREE.lease)

    def test_acknowledgement_dated_by_receipt(self):
        self.check(DELAYED, date_by_receipt=True)

    def test_change_without_majority(self):
        self.check(THREE, needs_majority=False)

    def test_change_of_several_members(self):
        self.check(
            ModelRule(members=4, initial=2, epochs=2, **SHORT),
            one_at_a_time=False,
        )

    def test_live_member_taken_for_gone(self):
        self.check(THREE, gone_proof=False)

    def test_older_epoch_acknowledged(self):
        self.check(THREE, acks_older=True)

    def test_restart_acknowledges_for_former_self(self):
        self.check(replace(THREE, deaths=1), rejoins=True)

    def test_unseen_epoch_joins_tenures(self):
        self.check(JOINING, joins_tenures=True)

    def test_clock_not_checked_after_pause(self):
        self.check(THREE, checks_clock=False)

    def test_handover_without_wait(self):
        self.check(HANDING, handover_wait=0)

"""Randomised runs of a whole fleet in virtual time with fixed seeds."""

from __future__ import annotations

import random
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from auburnswitch.experiments.actions import draw_action
from auburnswitch.experiments.random_run import draw_actions, run_actions
from auburnswitch.experiments.shrinking import shrink

ACTIONS = st.lists(
    st.integers(0, 2**32).map(lambda seed: draw_action(random.Random(seed))),
    min_size=5,
    max_size=15,
)


class RandomRunTest(unittest.TestCase):
    def check_seed(self, seed: int, steps: int):
        report = run_actions(draw_actions(seed, steps), seed=seed)
        self.assertEqual(report.problems, [])
        self.assertGreater(report.outcomes.get("ok", 0), 0)
        return report

    def test_seed_2_is_reproducible(self):
        first, second = (self.check_seed(2, 40) for _ in range(2))
        self.assertEqual(first.actions, second.actions)
        self.assertEqual(first.outcomes, second.outcomes)
        self.assertEqual(first.virtual_s, second.virtual_s)

    def test_seed_3(self):
        self.check_seed(3, 40)

    @settings(
        max_examples=2,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(ACTIONS)
    def test_generated_actions(self, actions):
        self.assertEqual(run_actions(actions).problems, [])


class ShrinkTest(unittest.TestCase):
    def test_finds_the_failing_items(self):
        shortest = shrink(
            list(range(50)),
            fails=lambda items: {7, 33} <= set(items),
            has_time_left=lambda: True,
        )
        self.assertEqual(shortest, [7, 33])

    def test_stops_at_the_time_limit(self):
        items = list(range(50))
        shortest = shrink(
            items, fails=lambda _: True, has_time_left=lambda: False
        )
        self.assertEqual(shortest, items)

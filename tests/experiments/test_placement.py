"""Tests of the placement experiment and its report."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.experiments.arrivals import (
    PROMPT_LENGTH_MIX,
    generate_arrivals,
)
from auburnswitch.experiments.placement import RunOptions, run_policy
from auburnswitch.experiments.report import (
    LengthSummary,
    RunSummary,
    comparison_lines,
    percentiles_s,
)
from auburnswitch.schema.peers import LengthClass

CAPACITY_TOKENS_PER_S = 400_000


def make_arrivals(seed, load):
    return generate_arrivals(
        seed=seed,
        load=load,
        capacity_tokens_per_s=CAPACITY_TOKENS_PER_S,
        daemons=9,
        duration_s=300,
    )


def make_summary(policy, shared, short_s, long_s):
    lengths = {
        name: LengthSummary(p50_s=p95_s, p95_s=p95_s, p99_s=p95_s, outcomes={})
        for name, p95_s in (("short", short_s), ("long", long_s))
    }
    return RunSummary(policy=policy, load=0.9, shared=shared, lengths=lengths)


class ArrivalsTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=20)
    @given(st.integers(), st.sampled_from([0.5, 0.9]))
    def test_offered_load_and_mix(self, seed, load):
        drawn = make_arrivals(seed, load)
        tokens = sum(arrival.tokens for arrival in drawn)
        self.assertAlmostEqual(
            tokens / (CAPACITY_TOKENS_PER_S * 300), load, delta=0.01
        )
        times = [arrival.offset_s for arrival in drawn]
        self.assertEqual(times, sorted(times))
        for length_share in PROMPT_LENGTH_MIX:
            class_arrivals = [
                a for a in drawn if a.length_class is length_share.length_class
            ]
            self.assertAlmostEqual(
                len(class_arrivals) / len(drawn), length_share.share, 2
            )
            for arrival in class_arrivals:
                self.assertGreaterEqual(arrival.tokens, length_share.min_tokens)
                self.assertLessEqual(arrival.tokens, length_share.max_tokens)

    def test_same_seed_same_arrivals(self):
        self.assertEqual(make_arrivals(7, 0.5), make_arrivals(7, 0.5))
        self.assertNotEqual(make_arrivals(7, 0.5), make_arrivals(8, 0.5))


class ReportTest(unittest.TestCase):
    def test_percentiles(self):
        times_s = [number / 100 for number in range(1, 101)]
        p50_s, p95_s, p99_s = percentiles_s(times_s)
        self.assertAlmostEqual(p50_s, 0.5, 3)
        self.assertAlmostEqual(p95_s, 0.95, 3)
        self.assertAlmostEqual(p99_s, 0.99, 3)

    def test_comparison_covers_every_target(self):
        runs = [
            make_summary("owner", True, 0.6, 30),
            make_summary("owner", False, 0.4, 30),
            make_summary("two-choices", True, 1.2, 60),
            make_summary("two-choices", False, 0.8, 60),
            make_summary("oracle", True, 0.5, 25),
        ]
        text = "\n".join(comparison_lines(runs))
        self.assertIn("owner: slowdown of short requests p50 1.50", text)
        self.assertIn("over two-choices: short p95 0.50, long p95 0.50", text)
        self.assertIn("over oracle: short p95 1.20, long p95 1.20", text)
        self.assertIn("shared 0.600 s, two-choices' alone 0.800 s", text)


class RunTest(unittest.TestCase):
    def test_every_policy_completes_all_requests(self):
        for policy in ("two-choices", "owner", "oracle"):
            with self.subTest(policy=policy):
                run = run_policy(
                    RunOptions(policy=policy, load=0.1, ramp_s=0, duration_s=3)
                )
                outcomes = [row.outcomes for row in run.lengths.values()]
                self.assertEqual({k for o in outcomes for k in o}, {"ok"})
                self.assertIn(LengthClass.SHORT.name.lower(), run.lengths)

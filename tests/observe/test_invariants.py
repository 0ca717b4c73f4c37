"""Tests of counting and raising invariant violations."""

from __future__ import annotations

import unittest

from auburnswitch.observe.invariants import (
    Invariant,
    InvariantError,
    Invariants,
)
from auburnswitch.observe.metrics import Metrics


class InvariantsTest(unittest.TestCase):
    def test_strict_raises(self):
        invariants = Invariants(strict=True)
        invariants.check(True, Invariant.NOT_RUN)
        with self.assertRaises(InvariantError):
            invariants.check(False, Invariant.NOT_RUN, request_id="r1")

    def test_metric_counts_by_name(self):
        invariants = Invariants()
        metrics = Metrics()
        self.addCleanup(metrics.close)
        metrics.register_counter("invariant_violations", invariants.observe)
        invariants.check(False, Invariant.NOT_RUN)
        lines = metrics.export().decode().splitlines()
        name = "auburnswitch_invariant_violations_total"
        self.assertIn(f'{name}{{invariant="not_run"}} 1.0', lines)
        self.assertIn(f'{name}{{invariant="deadline"}} 0.0', lines)

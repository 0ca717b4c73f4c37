"""Tests of collecting the daemons' internal errors."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.experiments.failures import collect_failures
from auburnswitch.observe.invariants import Invariant, Invariants
from auburnswitch.observe.tasks import open_task_set
from tests.virtual_time import run_virtual


class FailuresTest(unittest.TestCase):
    def test_collects_failed_tasks_and_violated_invariants(self):
        async def fail():
            raise ValueError("unexpected")

        async def scenario():
            async with open_task_set() as tasks:
                tasks.start(fail(), "failing")
                await asyncio.sleep(1)

        with collect_failures() as failures:
            run_virtual(scenario)
            Invariants().check(False, Invariant.NOT_RUN, request_id="r1")
        task_failed, violated = failures.problems
        self.assertIn("unexpected", task_failed)
        self.assertIn("not_run", violated)

"""Tests of sets of background tasks."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from auburnswitch.observe import tasks as tasks_module
from auburnswitch.observe.tasks import TaskSet


class TaskSetTest(unittest.IsolatedAsyncioTestCase):
    # A datagram that arrived during a stop started a task that outlived it.
    async def test_task_started_after_the_end_does_not_run(self):
        tasks = TaskSet()
        ran = []

        async def run():
            ran.append(True)

        async def start_another_when_cancelled():
            try:
                await asyncio.sleep(10)
            finally:
                tasks.start(run(), "started by a task that ends")

        tasks.start(start_another_when_cancelled(), "first")
        await asyncio.sleep(0)
        await tasks.cancel()
        self.assertEqual(tasks.tasks, set())
        late = tasks.start(run(), "started after the end")
        await asyncio.wait([late])
        self.assertTrue(late.cancelled())
        self.assertEqual(ran, [])

    async def test_supervised_task_is_restarted_until_it_returns(
        self,
    ):
        tasks = TaskSet()
        begun = []

        async def run():
            begun.append(True)
            if len(begun) < 3:
                raise ValueError(len(begun))

        with mock.patch.object(tasks_module, "RESTART_DELAY_S", 0.01):
            task = tasks.supervise(run, "task")
            await task
        self.assertEqual(len(begun), 3)
        self.assertEqual([str(e) for e in tasks.errors], ["1", "2"])

    async def test_supervised_task_ends_when_it_is_cancelled(self):
        tasks = TaskSet()
        tasks.supervise(asyncio.Event().wait, "task")
        await asyncio.sleep(0)
        await tasks.cancel()
        self.assertEqual((tasks.tasks, tasks.errors), (set(), []))


if __name__ == "__main__":
    unittest.main()

"""Tests of sets of background tasks."""

from __future__ import annotations

import asyncio
import unittest

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


if __name__ == "__main__":
    unittest.main()

"""Runs a short soak of planned stops."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from auburnswitch.soak.run import run_stop_soak

SEED = 5  # a grace time of 8 s and 64 callers
STOP_SECONDS = 10


class PlannedStopsTest(unittest.TestCase):
    # Guards against issue 28: answers cut off by the end of a planned stop.
    def test_planned_stops_cut_off_no_answer(self):
        with tempfile.TemporaryDirectory() as folder:
            problems = asyncio.run(
                run_stop_soak(SEED, STOP_SECONDS, Path(folder))
            )
        self.assertEqual(problems, [], "\n".join(problems))


if __name__ == "__main__":
    unittest.main()

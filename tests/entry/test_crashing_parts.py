"""Tests that prompt parts which crash engines stop reaching them."""

from __future__ import annotations

import unittest

from auburnswitch.experiments.crashing_parts import (
    ALLOWED_LATE_ARRIVALS,
    CALM_S,
    CASES,
    STABILITY_WINDOW_S,
    open_run,
)

ENGINES = 12
DURATION_S = 10.0
MIN_SOUND_SHARE = 0.5  # of the share before the first crash


class CrashingPartsTest(unittest.IsolatedAsyncioTestCase):
    async def play(self, case: str, seed: int):
        async with open_run(CASES[case], seed=seed) as run:
            return await run.run(engine_count=ENGINES, seconds=DURATION_S)

    def check_stopped(self, report, part: str):
        self.assertGreaterEqual(len(report.arrivals[part]), 4)
        self.assertLessEqual(report.late_arrivals(part), ALLOWED_LATE_ARRIVALS)

    def check_sound(self, report):
        started_at = report.sound[0][0]
        crashes_at = started_at + CALM_S
        later_at = crashes_at + 2 * STABILITY_WINDOW_S
        before = report.sound_share(started_at, crashes_at)
        after = report.sound_share(later_at, later_at + STABILITY_WINDOW_S)
        self.assertGreaterEqual(after, MIN_SOUND_SHARE * before)

    # Issue 35, BUDGET: requests with one part of their prompts crashed engine
    # after engine, as only whole requests were remembered.
    async def test_part_that_crashes_engines_stops_reaching_them(self):
        for case in ("first", "second"):
            with self.subTest(case):
                report = await self.play(case, seed=1)
                self.check_stopped(report, "bad0")
                self.check_sound(report)

    # Issue 35: the same with engines that keep their ids, with two such parts,
    # and with one that always comes with the same sound part.
    async def test_other_cases_of_parts_that_crash_engines(self):
        for case, parts in (
            ("same-id", ["bad0"]),
            ("two", ["bad0", "bad1"]),
            ("companion", ["bad0"]),
        ):
            with self.subTest(case):
                report = await self.play(case, seed=2)
                for part in parts:
                    self.check_stopped(report, part)
                self.check_sound(report)

    async def test_engines_that_crash_by_themselves_condemn_no_part(self):
        report = await self.play("none", seed=1)
        self.assertGreater(len(report.crashes), 5)
        started_at = report.sound[0][0]
        later_at = started_at + CALM_S + 2 * STABILITY_WINDOW_S
        share = report.sound_share(started_at, later_at)
        self.assertGreater(share, 0.9)


if __name__ == "__main__":
    unittest.main()

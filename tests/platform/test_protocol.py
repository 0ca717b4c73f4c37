"""Tests that the platform's names occur only in its adapter."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src" / "auburnswitch"
ALLOWED = ("platform", "standins")
NAMES = re.compile(
    r"X-(Attempt-Id|Response-Seal|Expect-Instance|Helpers|Token-Counts"
    r"|Tenant|Deadline-Ms|Not-Executed)|Server-Leaving"
    r"|ColdRemainingMs|TrafficSplit|ApiKeys|AllowStale|KvTotal|TargetLatencyMs"
    r"|MaxAttempts|evacuations|/v1/(objects|order|report|readiness)\b",
    re.IGNORECASE,
)


class NamesTest(unittest.TestCase):
    def test_no_platform_name_outside_the_adapter(self):
        found = []
        for path in SOURCE.rglob("*.py"):
            inside = path.relative_to(SOURCE).parts[0] in ALLOWED
            if not inside and NAMES.search(path.read_text("utf-8")):
                found.append(str(path.relative_to(SOURCE)))
        self.assertEqual(found, [])

    def test_pattern_matches_a_platform_name(self):
        self.assertTrue(NAMES.search("headers['x-attempt-id']"))


if __name__ == "__main__":
    unittest.main()

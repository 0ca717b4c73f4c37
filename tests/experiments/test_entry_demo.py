"""Tests the output of the demo of entry daemons."""

from __future__ import annotations

import unittest

from auburnswitch.experiments.entry_demo import run_entry_demo


class EntryDemoTest(unittest.IsolatedAsyncioTestCase):
    async def test_demo(self):
        lines: list[str] = []
        await run_entry_demo(lines.append)
        shown = "\n".join(lines)
        self.assertIn("a prompt over one memory: ok", shown)
        self.assertRegex(
            shown, "a prompt over all memory: status 503 .*ran: no"
        )
        self.assertIn("answer is lost: HTTP 502, sent 1 time", shown)
        self.assertIn("HTTP 200 before, 401 after", shown)
        self.assertEqual(lines[-1], "Done")


if __name__ == "__main__":
    unittest.main()

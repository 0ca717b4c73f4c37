"""Tests of merging the log events of a request from several daemons."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from auburnswitch.cli.errors import CommandError
from auburnswitch.cli.explain import explain


def line(time: str, name: str, **fields) -> str:
    return json.dumps({"time": time, "event_name": name, **fields})


class ExplainTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.first_log = Path(folder.name) / "entry-1.log"
        self.second_log = Path(folder.name) / "entry-2.log"
        self.first_log.write_text(
            "\n".join(
                [
                    "not a structured line {",
                    line("1", "request_placed", request="abc", endpoint="e1"),
                    line("4", "request_retried", request="abc", endpoint="e1"),
                    line("2", "request_placed", request="xyz", endpoint="e2"),
                    line("5", "entry_request_ended", request="abc"),
                ]
            )
        )
        self.second_log.write_text(
            "\n".join(
                [
                    line("3", "endpoint_suspected", endpoint="e1"),
                    line("3", "endpoint_suspected", endpoint="e2"),
                    line("9", "endpoint_suspected", endpoint="e1"),
                ]
            )
        )

    def test_finds_the_events_of_the_products_own_daemon(self):
        own_log = self.first_log.with_name("daemon-1.log")
        own_log.write_text(
            line("1", "request_finished", request_id="def", endpoint="e1")
        )
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            explain("def", [str(own_log)])
        self.assertEqual(
            out.getvalue().split(),
            ["1", "daemon-1", "request_finished", "at", "e1"],
        )

    def test_merges_endpoint_events_of_other_daemons(self):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            explain("ab", [str(self.first_log), str(self.second_log)])
        printed_events = [
            text.split()[:3] for text in out.getvalue().splitlines()
        ]
        self.assertEqual(
            printed_events,
            [
                ["1", "entry-1", "request_placed"],
                ["3", "entry-2", "endpoint_suspected"],
                ["4", "entry-1", "request_retried"],
                ["5", "entry-1", "entry_request_ended"],
            ],
        )

    def test_shows_marks_of_the_requests_endpoints(self):
        self.second_log.write_text(
            "\n".join(
                [
                    line("2", "endpoint_marked", endpoint="e1", mark="leaving"),
                    line("3", "endpoint_mark_ended", endpoint="e1"),
                    line("3", "endpoint_marked", endpoint="e2"),
                ]
            )
        )
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            explain("ab", [str(self.first_log), str(self.second_log)])
        lines = out.getvalue().splitlines()
        self.assertEqual(
            lines[1:3],
            [
                "2 entry-2 endpoint_marked at e1 mark=leaving",
                "3 entry-2 endpoint_mark_ended at e1",
            ],
        )
        self.assertEqual(len(lines), 5)

    def test_rejects_unknown_request_and_missing_file(self):
        with self.assertRaises(CommandError):
            explain("nothing", [str(self.first_log)])
        with self.assertRaises(CommandError):
            explain("abc", [str(self.first_log) + "x"])


if __name__ == "__main__":
    unittest.main()

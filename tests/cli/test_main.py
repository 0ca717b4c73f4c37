"""Tests of the command-line tool's results, errors and exit codes."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from auburnswitch.cli.errors import EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE
from auburnswitch.cli.main import run

VALID_SETTINGS = """
[daemon]
instance = entry-1
zone = daejeon-1
[peers]
key_file = {key_file}
[platform]
url = http://127.0.0.1:9000
"""
INVALID_SETTINGS = """
[daemon]
instance = entry-1
colour = red
[callers]
port = 99999
[members]
heartbeat_interval_s = soon
[peers]
key_file = /nonexistent
"""


class MainTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def invoke(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            self.assertRaises(SystemExit) as caught,
        ):
            run(list(arguments))
        return caught.exception.code, out.getvalue(), err.getvalue()

    def write(self, name: str, text: str) -> str:
        path = self.folder / name
        path.write_text(text, "utf-8")
        return str(path)

    def test_valid_settings(self):
        key_file = self.write("peer.key", "secret-key")
        path = self.write("a.ini", VALID_SETTINGS.format(key_file=key_file))
        self.assertEqual(
            self.invoke("settings", "check", path), (EXIT_OK, "ok\n", "")
        )
        code, shown, _ = self.invoke("settings", "show", path, "--json")
        self.assertEqual(code, EXIT_OK)
        self.assertEqual(json.loads(shown)["daemon"]["instance"], "entry-1")
        self.assertNotIn("secret-key", shown)

    def test_reports_all_settings_errors_together(self):
        path = self.write("a.ini", INVALID_SETTINGS)
        code, _, errors = self.invoke("settings", "check", path)
        self.assertEqual(code, EXIT_USAGE)
        for expected_error in (
            "[callers] port: must be at most 65535",
            "[daemon] colour: unknown key",
            "[daemon] zone: is required",
            "[members] heartbeat_interval_s: must be a number",
            "[peers] key_file: must name a file",
            "[platform] url: is required",
        ):
            self.assertIn(expected_error, errors)

    def test_unreachable_daemon(self):
        code, _, errors = self.invoke("status", "--url=http://127.0.0.1:1")
        self.assertEqual(code, EXIT_UNREACHABLE)
        self.assertEqual(errors.count("\n"), 1)

    def test_ticket_errors_name_the_field(self):
        path = self.write("t.toml", 'number = 1\n[teams.a]\nweigth = "x"\n')
        code, _, errors = self.invoke("ticket", "apply", path)
        self.assertEqual(code, EXIT_USAGE)
        self.assertIn("team.weigth: unknown field", errors)

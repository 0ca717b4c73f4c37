"""Tests of the daemon's exit codes and error output."""

from __future__ import annotations

import contextlib
import io
import socket
import tempfile
import unittest
from pathlib import Path

from auburnswitch.daemon.run import (
    EXIT_BAD_SETTINGS,
    EXIT_CANNOT_LISTEN,
    main,
)

SETTINGS = """
[daemon]
instance = entry-1
zone = daejeon-1
[callers]
port = {callers}
[operators]
port = {operators}
[peers]
port = {peers}
key_file = {key_file}
[platform]
url = http://127.0.0.1:1
"""


class ExitTest(unittest.TestCase):
    def run_main(self, **ports: int) -> tuple[int, list[str]]:
        ports = {"callers": 0, "operators": 0, "peers": 0} | ports
        errors = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            key_file = Path(folder, "peer.key")
            key_file.write_text("key", "utf-8")
            path = Path(folder, "entry-1.ini")
            text = SETTINGS.format(key_file=key_file, **ports)
            path.write_text(text, "utf-8")
            with contextlib.redirect_stderr(errors):
                code = main(str(path))
        return code, errors.getvalue().splitlines()

    def test_address_in_use(self):
        with socket.create_server(("127.0.0.1", 0)) as occupying_socket:
            port = occupying_socket.getsockname()[1]
            for listener in ("callers", "operators", "peers"):
                with self.subTest(listener):
                    code, lines = self.run_main(**{listener: port})
                    self.assertEqual(code, EXIT_CANNOT_LISTEN)
                    expected_line = (
                        f"auburnswitchd: cannot listen on 127.0.0.1:{port}"
                    )
                    self.assertIn(expected_line, lines)

    def test_bad_settings(self):
        code, lines = self.run_main(callers=70_000)
        self.assertEqual(code, EXIT_BAD_SETTINGS)
        self.assertEqual(
            lines, ["auburnswitchd: [callers] port: must be at most 65535"]
        )

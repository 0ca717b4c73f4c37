"""Tests of the command-line tool against a daemon, as processes."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import unittest
from pathlib import Path

from auburnswitch.experiments.installation import (
    CALLER_KEYS,
    open_installation,
)
from auburnswitch.standins.installation_objects import HOST
from tests.processes import CALLER_KEY, initial_ticket, open_process_fleet

TIMEOUT_S = 60
TICKET = """
number = 7
author = "mina"
note = "first tickets"

[zones.sejong-1]
region = "kr-central"

[services.front-desk]
kind = "model"

[endpoints.engine-7]
service = "front-desk"
zone = "sejong-1"
host = "127.0.0.1"
port = 1
"""


class AgainstDaemonTest(unittest.IsolatedAsyncioTestCase):
    async def invoke(self, *arguments: str) -> tuple[int, str, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "auburnswitch.cli",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | self.environment,
        )
        out, err = await process.communicate()
        return process.returncode, out.decode(), err.decode()

    async def test_ticket_commands(self):
        async with asyncio.timeout(TIMEOUT_S), open_process_fleet() as fleet:
            await fleet.start_standin("platform", "platform")
            daemon = await fleet.start_daemon("entry-1")
            await fleet.start_daemon("entry-2")
            path = fleet.folder / "ticket.toml"
            path.write_text(TICKET, "utf-8")
            self.environment = {
                "PYTHONPATH": os.pathsep.join(sys.path),
                "AUBURNSWITCH_URL": daemon.operators,
                "AUBURNSWITCH_KEY_FILE": str(fleet.folder / "operator.key"),
            }

            code, out, err = await self.invoke(
                "ticket", "apply", str(path), "--wait", "--json"
            )
            self.assertEqual((code, err), (0, ""))
            self.assertEqual(len(json.loads(out)["in_force"]), 2)

            code, out, _ = await self.invoke("ticket", "list")
            self.assertEqual(code, 0)
            self.assertIn("first tickets", out)
            code, out, _ = await self.invoke("ticket", "show", "7")
            self.assertEqual(json.loads(out)["ticket"]["author"], "mina")
            code, out, _ = await self.invoke("endpoints")
            self.assertIn("engine-7", out)
            code, out, _ = await self.invoke("audit", "--author", "mina")
            self.assertIn("engine-7", out)
            code, out, _ = await self.invoke("status", "--json")
            self.assertTrue(json.loads(out)["ready"])

            path.write_text(TICKET.replace("port = 1", "port = 2"), "utf-8")
            code, _, err = await self.invoke("ticket", "apply", str(path))
            self.assertEqual(code, 1)
            self.assertIn("4002 ticket_conflict", err)
            code, _, err = await self.invoke("ticket", "show", "8")
            self.assertEqual(code, 1)
            self.assertIn("4004 ticket_not_found", err)

    async def test_load_on_a_route(self):
        async with open_installation(engines=3, daemons=2) as fleet:
            with tempfile.TemporaryDirectory() as folder:
                key_file = Path(folder) / "caller.key"
                key_file.write_text(CALLER_KEYS[0], "utf-8")
                self.environment = {"PYTHONPATH": os.pathsep.join(sys.path)}
                code, out, err = await self.invoke(
                    "load",
                    f"{fleet.url(0)},{fleet.url(1)}",
                    str(key_file),
                    f"--host={HOST}",
                    "--path=/chat/1",
                    "--requests=6",
                )
            self.assertEqual((code, err), (0, ""))
            self.assertIn("ok 6", out)
            self.assertEqual(len(fleet.received_requests), 6)

    async def test_load_rejects_invalid_target(self):
        self.environment = {"PYTHONPATH": os.pathsep.join(sys.path)}
        for options in ((), ("--model=m", "--host=h", "--path=/p")):
            code, _, err = await self.invoke(
                "load", "http://127.0.0.1:1", __file__, *options
            )
            self.assertEqual(code, 2)
            self.assertIn("either --model, or --host and --path", err)

    async def test_load_prints_and_saves_report(self):
        async with asyncio.timeout(TIMEOUT_S), open_process_fleet() as fleet:
            await fleet.start_standin("platform", "platform")
            await fleet.start_standin("engine-1", "engine", "--warm_after=1")
            daemons = [
                await fleet.start_daemon(name)
                for name in ("entry-1", "entry-2")
            ]
            await fleet.apply("entry-1", initial_ticket(fleet.urls))
            await fleet.wait_ready(live=2)
            key_file = fleet.folder / "caller.key"
            key_file.write_text(CALLER_KEY, "utf-8")
            report_file = fleet.folder / "report.json"
            self.environment = {"PYTHONPATH": os.pathsep.join(sys.path)}
            code, out, err = await self.invoke(
                "load",
                ",".join(daemon.callers for daemon in daemons),
                str(key_file),
                "chat",
                "--requests=6",
                "--answer_tokens=2",
                f"--save={report_file}",
            )
            self.assertEqual((code, err), (0, ""))
            self.assertIn("LENGTH", out)
            short = json.loads(report_file.read_text("utf-8"))["lengths"][
                "short"
            ]
            self.assertEqual(short["results"], {"ok": short["requests"]})
            self.assertGreater(short["first_token_s"]["p50"], 0)

"""Tests of signals to an entry daemon process around its start and stop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from auburnswitch.standins.ports import free_port

READ_TIMEOUT_S = 20.0
SIGNAL_INTERVAL_S = 0.001
SETTINGS = """
[instance]
name = entry-1
zone = zone-1
[listen]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
peer_host = 127.0.0.1
peer_port = {peers}
[store]
address = 127.0.0.1:9
[bounds]
stop_grace_s = {stop_grace_s}
"""


def make_settings(stop_grace_s: float) -> str:
    return SETTINGS.format(
        callers=free_port(),
        readiness=free_port(),
        peers=free_port(),
        stop_grace_s=stop_grace_s,
    )


class SignalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder, "entry.ini")
        self.process: asyncio.subprocess.Process
        self.events: list[dict[str, Any]] = []
        self.errors = ""

    async def start(self):
        environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "auburnswitch.entry",
            str(self.path),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=environment,
        )
        self.addAsyncCleanup(self.kill)

    async def kill(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.communicate()

    async def wait_for_event(self, name: str) -> dict[str, Any]:
        async with asyncio.timeout(READ_TIMEOUT_S):
            while line := await self.process.stdout.readline():
                self.events.append(json.loads(line))
                if self.events[-1]["event_name"] == name:
                    return self.events[-1]
        raise AssertionError(f"the log ended without {name}: {self.events}")

    async def wait_for_exit(self) -> int:
        async with asyncio.timeout(READ_TIMEOUT_S):
            output, errors = await self.process.communicate()
        self.events += map(json.loads, output.splitlines())
        self.errors = errors.decode()
        return self.process.returncode

    def event_names(self) -> list[str]:
        return [event["event_name"] for event in self.events]

    @contextlib.asynccontextmanager
    async def open_while_settings_are_read(self):
        """Starts a daemon and holds it while it reads its settings."""
        os.mkfifo(self.path)
        await self.start()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(READ_TIMEOUT_S):
            with await loop.run_in_executor(None, self.path.open, "w") as pipe:
                pipe.write(make_settings(stop_grace_s=6))
                pipe.flush()
                yield

    def replace_settings(self, stop_grace_s: float) -> None:
        """Writes a new file in place of the old one."""
        new_path = self.path.with_suffix(".new")
        new_path.write_text(make_settings(stop_grace_s), "utf-8")
        new_path.replace(self.path)

    # A reload signal between reading the file and running was swallowed.
    async def test_reload_signal_during_the_start(self):
        async with self.open_while_settings_are_read():
            self.replace_settings(stop_grace_s=5)
            self.process.send_signal(signal.SIGHUP)
        await self.wait_for_event("settings_reloaded")
        self.process.send_signal(signal.SIGTERM)
        stopping = await self.wait_for_event("entry_stopping")
        self.assertEqual(stopping["grace_s"], 5)
        self.assertEqual(await self.wait_for_exit(), 0)

    # A reload signal in the last moments of a stop ended the process.
    async def test_reload_signals_during_the_stop(self):
        self.path.write_text(make_settings(stop_grace_s=6), "utf-8")
        await self.start()
        await self.wait_for_event("entry_started")
        self.process.send_signal(signal.SIGTERM)
        await self.wait_for_event("entry_stopping")
        self.replace_settings(stop_grace_s=60)
        sending = asyncio.create_task(self.send_signals(signal.SIGHUP))
        exit_status = await self.wait_for_exit()
        await sending
        self.assertEqual(exit_status, 0, self.errors[-300:])
        self.assertNotIn("settings_reloaded", self.event_names())
        self.assertEqual(self.event_names()[-1], "entry_stopped")
        self.assertEqual(self.errors, "")

    async def send_signals(self, number: signal.Signals):
        with contextlib.suppress(ProcessLookupError):
            while self.process.returncode is None:
                # Popen.send_signal would take the exit status from asyncio.
                os.kill(self.process.pid, number)
                await asyncio.sleep(SIGNAL_INTERVAL_S)

    # A stop signal during the start ended the process with an error status.
    async def test_stop_signal_before_the_start(self):
        async with self.open_while_settings_are_read():
            self.process.send_signal(signal.SIGTERM)
        self.assertEqual(await self.wait_for_exit(), 0)
        self.assertEqual(self.events, [])  # it accepted nothing
        self.assertEqual(self.errors, "")

    # A second stop signal in the last moments ended it with an error status.
    async def test_stop_signals_during_the_stop(self):
        self.path.write_text(make_settings(stop_grace_s=2), "utf-8")
        await self.start()
        await self.wait_for_event("entry_started")
        sending = asyncio.create_task(self.send_signals(signal.SIGTERM))
        self.assertEqual(await self.wait_for_exit(), 0, self.errors[-300:])
        await sending
        self.assertEqual(self.event_names()[-1], "entry_stopped")

    async def test_stop_signal_just_after_the_start(self):
        self.path.write_text(make_settings(stop_grace_s=6), "utf-8")
        await self.start()
        await self.wait_for_event("entry_started")
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(await self.wait_for_exit(), 0)
        self.assertEqual(self.event_names()[-1], "entry_stopped")


if __name__ == "__main__":
    unittest.main()

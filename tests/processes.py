"""Runs daemons and stand-ins as separate processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CALLER_KEY = "caller-key"
OPERATOR_KEY = "operator-key"
AUTHORIZATION_HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}
OPERATOR_HEADERS = {"Authorization": f"Bearer {OPERATOR_KEY}"}
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20
DAEMON_STARTED_EVENT = 100


class DaemonProcess:
    """A daemon and where it listens.

    Attributes:
        process: The process.
        callers: Base URL for callers.
        operators: Base URL for operators.
        events: Log events read so far.
    """

    def __init__(self, *, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.callers = ""
        self.operators = ""
        self.events: list[dict[str, Any]] = []
        self.reader: asyncio.Task[None] | None = None

    async def wait_started(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self.callers:
                self.record_event(await self.process.stderr.readline())
        self.reader = asyncio.create_task(self.read_events())

    async def read_events(self) -> None:
        while line := await self.process.stderr.readline():
            self.record_event(line)

    def record_event(self, line: bytes) -> None:
        if not line:
            raise RuntimeError("the daemon ended before it started")
        with contextlib.suppress(ValueError):
            event = json.loads(line)
            self.events.append(event)
            if event.get("event") == DAEMON_STARTED_EVENT:
                self.callers = event["callers"]
                self.operators = event["operators"]


class ProcessFleet:
    """Processes of one test, ended with it.

    Attributes:
        session: HTTP client of callers and operators.
        urls: Base URL of each stand-in, by name.
        processes: Every process by name.
        daemons: Daemons by instance name.
    """

    def __init__(self, *, session: aiohttp.ClientSession, folder: Path) -> None:
        self.session = session
        self.folder = folder
        self.urls: dict[str, str] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.daemons: dict[str, DaemonProcess] = {}

    async def start_standin(self, name: str, *arguments: str) -> None:
        process = await _spawn(
            "-m",
            "auburnswitch.standins",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.processes[name] = process
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await process.stdout.readline()
        self.urls[name] = line.decode().strip()

    async def start_daemon(
        self, instance: str, zone: str = "zone-a", extra: str = ""
    ) -> DaemonProcess:
        path = self.folder / f"{instance}.ini"
        path.write_text(
            f"[daemon]\ninstance = {instance}\nzone = {zone}\nseed = 1\n"
            f"[callers]\nport = 0\n[operators]\nport = 0\n"
            f"key_file = {self.folder}/operator.key\n"
            f"[peers]\nport = 0\nkey_file = {self.folder}/peer.key\n"
            f"[platform]\nurl = {self.urls['platform']}\n{extra}",
            "utf-8",
        )
        process = await _spawn(
            "-m",
            "auburnswitch.daemon",
            str(path),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self.processes[instance] = process
        daemon = DaemonProcess(process=process)
        await daemon.wait_started()
        self.daemons[instance] = daemon
        return daemon

    async def apply(self, instance: str, ticket: dict[str, Any]) -> int:
        url = f"{self.daemons[instance].operators}/tickets"
        async with self.session.post(
            url, json=ticket, headers=OPERATOR_HEADERS
        ) as response:
            await response.read()
            return response.status

    async def status(self, instance: str) -> dict[str, Any]:
        url = f"{self.daemons[instance].operators}/status"
        async with self.session.get(url, headers=OPERATOR_HEADERS) as response:
            return await response.json()

    async def wait_ready(self, live: int) -> None:
        """Waits until every daemon is ready and sees the others."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                statuses = [await self.status(name) for name in self.daemons]
                digests = {status["state_digest"] for status in statuses}
                ready = all(
                    s["ready"] and len(s["live"]) == live for s in statuses
                )
                if ready and len(digests) == 1:
                    return
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for daemon in self.daemons.values():
            if daemon.reader is not None:
                daemon.reader.cancel()


async def _spawn(*arguments: str, **pipes: Any) -> asyncio.subprocess.Process:
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    return await asyncio.create_subprocess_exec(
        sys.executable, *arguments, env=environment, **pipes
    )


@contextlib.asynccontextmanager
async def open_process_fleet() -> AsyncIterator[ProcessFleet]:
    """Yields an empty fleet and ends its processes at the end."""
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "operator.key").write_text(OPERATOR_KEY, "utf-8")
        Path(folder, "peer.key").write_text("peer-key", "utf-8")
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            fleet = ProcessFleet(session=session, folder=Path(folder))
            try:
                yield fleet
            finally:
                await fleet.stop()


def initial_ticket(urls: dict[str, str], warm_after: int = 1) -> dict[str, Any]:
    """Returns the ticket that configures engines and plain services."""
    digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    changes: list[dict[str, Any]] = [
        {"kind": "team", "name": "t", "team": {"key_digests": [digest]}},
        {"kind": "availability_zone", "name": "zone-a", "zone": {}},
        {"kind": "service", "name": "chat", "service": {"kind": "model"}},
        {"kind": "service", "name": "desk", "service": {"kind": "plain"}},
    ]
    for name, url in urls.items():
        if name == "platform":
            continue
        host, _, port = url.removeprefix("http://").partition(":")
        endpoint = {
            "service": "desk" if name.startswith("plain") else "chat",
            "zone": "zone-a",
            "host": host,
            "port": int(port),
            "warm_after": warm_after,
        }
        changes.append({"kind": "endpoint", "name": name, "endpoint": endpoint})
    return {"number": 1, "author": "test", "changes": changes}


__all__ = [
    "AUTHORIZATION_HEADERS",
    "OPERATOR_HEADERS",
    "DaemonProcess",
    "ProcessFleet",
    "initial_ticket",
    "open_process_fleet",
]

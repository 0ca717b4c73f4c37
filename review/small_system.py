"""Entry daemons as processes, their callers, and the record of a case."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import json
import os
import random
import re
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

from metadata_store import Store
from runner import Run, Runner, is_whole
from wire import call

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

ROOT = Path(__file__).resolve().parents[1]
HOST = "entry.example"
KEY = "key-of-the-tenant"
# The bounds of the site gadeuk-booking, as SYSTEM.md prints them.
BOUNDS = {
    "GraceS": 8,
    "RetryBudgetRatio": 0.2,
    "RetryBudgetExtra": 106,
    "BudgetWindowS": 10,
    "ColdOver": 1.5,
    "ColdSlack": 5,
    "HoldMaxMs": 20000,
}
HEARTBEAT_MS = 1200
STABILITY_WINDOW_S = 3.0
DEADLINE_MS = 1000
READY_TIMEOUT_S = 15.0
READINESS_CALL = "GET /v1/readiness"
PORT_RANGE = (16_000, 30_000)
EXIT_CANNOT_LISTEN = 3  # of a daemon
_used_ports: set[int] = set()

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


def make_config(version: int, keys: tuple[str, ...] = (KEY,)) -> dict[str, Any]:
    """Returns a configuration with one idempotent route.

    Args:
        version: Version of the configuration.
        keys: The tenant's keys.
    """
    route = {
        "Name": "r-look",
        "Host": HOST,
        "PathPrefix": "/look/",
        "Kind": "idempotent",
        "TimeoutMs": DEADLINE_MS,
        "TargetLatencyMs": 150,
        "Priority": 2,
        "Service": "booking-api",
        "MaxAttempts": 2,
        "AllowAnonymous": False,
    }
    idle = {**route, "Name": f"r-idle-{version}"}
    idle["PathPrefix"] = f"/idle-{version}/"
    service = {
        "Name": "booking-api",
        "HealthPath": "/health",
        "MaxConnections": 110,
        "ColdStartS": 0.0,
        "ColdPerS": 0.0,
    }
    return {
        "Version": version,
        "Routes": [route, idle],
        "Services": [service],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "salon", "ApiKeys": [*keys], "Priority": 1}],
    }


def _fill(template: str, values: dict[str, Any]) -> str:
    """Fills the placeholders of the deploy file's template of the settings."""

    def value(found: re.Match[str]) -> str:
        current: Any = values
        for part in found[1].split("."):
            key: Any = int(part) if part.isdigit() else part
            current = current[key]
        return str(current)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


def _free_port() -> int:
    """Returns a port that is free for TCP and UDP.

    It lies below those that the system gives to outgoing connections.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        if port in _used_ports:
            continue
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            _used_ports.add(port)
            return port


class Daemon:
    """One entry daemon, started with the command of the deploy file."""

    def __init__(self, *, name: str, zone: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.folder = folder
        self.take_ports()
        self.process: subprocess.Popen[bytes] | None = None
        self.was_ready = False
        self.stop_status: int | None = None  # None if it had to be killed
        self.disturbed_at: list[float] = []

    def take_ports(self) -> None:
        """Chooses the ports."""
        self.callers = ("127.0.0.1", _free_port())
        self.ready = ("127.0.0.1", _free_port())
        self.metrics_port = _free_port()
        self.peer_port = _free_port()

    def start(self, store_address: tuple[str, int]) -> None:
        """Writes the settings from the template and starts the process."""
        self.store_address = store_address
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        values = {
            "NodeName": self.name,
            "Zone": self.zone,
            "Ip": "127.0.0.1",
            "Limits": {"LinkMbps": 1000.0},
            "ListenAddrs": {
                "Front": f"127.0.0.1:{self.callers[1]}",
                "Ready": f"127.0.0.1:{self.ready[1]}",
            },
            "InternalPortRange": [self.peer_port, self.peer_port],
            "Platform": {"Address": f"127.0.0.1:{store_address[1]}"},
            "Bounds": BOUNDS,
            "HeartbeatMs": HEARTBEAT_MS,
        }
        text = _fill((ROOT / role["template"]).read_text(), values)
        # Several daemons share one address here.
        text = text.replace(":9464", f":{self.metrics_port}")
        settings = self.folder / f"{self.name}.ini"
        settings.write_text(text)
        command = role["run"].split()
        command[-1] = str(settings)
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment = {**kept, "PYTHONPATH": str(ROOT / "target/deps")}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.disturbed_at.append(time.monotonic())

    async def readiness(self) -> int:
        """Returns the status of the readiness check, 0 without an answer."""
        with contextlib.suppress(OSError, EOFError):
            headers = {"Host": "ready"}
            return (await call(self.ready, READINESS_CALL, headers)).status
        return 0

    async def wait_until_ready(self) -> None:
        """Waits until the daemon says that it is ready."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_S):
                while True:
                    status = self.process.poll() if self.process else None
                    if status == EXIT_CANNOT_LISTEN and not self.was_ready:
                        self.take_ports()  # another process has taken one
                        self.start(self.store_address)
                    elif status is not None:
                        break
                    if await self.readiness() == 200:
                        self.was_ready = True
                        return
                    await asyncio.sleep(0.05)
        status = self.process.poll() if self.process else None
        log = (self.folder / f"{self.name}.log").read_text()
        raise CaseError(
            f"{self.name} is not ready, exit status {status}: {log[-300:]}"
        )

    def was_in_touch(self, at: float) -> bool:
        """Returns whether it ran undisturbed for the stability window."""
        began_at = at - STABILITY_WINDOW_S
        return not any(
            began_at <= disturbed_at <= at for disturbed_at in self.disturbed_at
        )

    async def stop(self) -> None:
        """Sends SIGTERM, and SIGKILL after the grace time."""
        if self.process is None:
            return
        self.disturbed_at.append(time.monotonic())
        self.stop_status = None
        self.process.terminate()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BOUNDS["GraceS"]):
                while (status := self.process.poll()) is None:
                    await asyncio.sleep(0.02)
                self.stop_status = status
        self.end()

    def end(self) -> None:
        """Kills the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class System:
    """The store, the runners, the daemons and what was seen of them."""

    def __init__(self, *, folder: Path, record: Path) -> None:
        self.folder = folder
        self.store = Store(note=self.note)
        self.runners: list[Runner] = []
        self.daemons: list[Daemon] = []
        self.runs: list[Run] = []
        self.sent_to: dict[str, str] = {}
        self.sent_at: dict[str, float] = {}
        self.statuses: dict[int, int] = {}
        self.served: set[str] = set()
        self.started_at = time.monotonic()
        self._record = record.open("w")
        self._numbers = itertools.count(1)

    def note(self, text: str, at: float | None = None) -> None:
        """Writes a line to the record until that is closed."""
        if self._record.closed:
            return
        after_s = (at or time.monotonic()) - self.started_at
        self._record.write(f"{after_s:8.3f}  {text}\n")
        self._record.flush()

    def _on_run(self, run: Run) -> None:
        self.runs.append(run)
        self.note(f"run   {run.attempt} at {run.runner} in {run.zone}", run.at)

    async def add_runner(self, name: str, zone: str) -> Runner:
        """Starts a runner and writes its entry."""
        runner = Runner(
            name=name, service="booking-api", zone=zone, on_run=self._on_run
        )
        await runner.start()
        self.runners.append(runner)
        self.write_entry(runner)
        return runner

    def write_entry(self, runner: Runner) -> None:
        """Writes a runner's entry as the runner does."""
        self.store.put("servers", runner.name, runner.entry())

    async def add_daemon(self, name: str, zone: str) -> Daemon:
        """Starts a daemon."""
        daemon = Daemon(name=name, zone=zone, folder=self.folder)
        self.daemons.append(daemon)
        daemon.start(self.store.address)
        return daemon

    async def request(
        self, daemon: Daemon, path: str = "/look/slot", key: str = KEY
    ) -> int:
        """Sends one request of a caller; returns the status, 0 without one."""
        attempt = f"{next(self._numbers):016x}"
        self.sent_to[attempt] = daemon.name
        self.sent_at[attempt] = time.monotonic()
        self.note(f"sent  {attempt} to {daemon.name}")
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {key}",
        }
        status = 0
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                answer = await call(daemon.callers, f"GET {path}", headers)
                status = answer.status
                if status == 200 and is_whole(answer, attempt):
                    self.served.add(attempt)
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.note(f"ended {attempt} with {status or 'no answer'}")
        return status

    async def keep_sending(
        self, daemon: Daemon, interval_s: float, key: str = KEY
    ) -> None:
        """Sends requests at intervals until cancelled."""
        while True:
            await self.request(daemon, key=key)
            await asyncio.sleep(interval_s)

    def share_served(self, since: float, until: float) -> float:
        """Returns the share of the requests sent in a time that was served."""
        sent = {a for a, at in self.sent_at.items() if since <= at <= until}
        return len(sent & self.served) / len(sent) if sent else 0.0

    def note_logs(self, event: str, field: str) -> None:
        """Notes how often each daemon has logged an event, by a field."""
        for daemon in self.daemons:
            counts: collections.Counter[str] = collections.Counter()
            log = self.folder / f"{daemon.name}.log"
            for line in log.read_text("utf-8", "replace").splitlines():
                with contextlib.suppress(ValueError):
                    entry = json.loads(line)
                    if entry.get("event_name") == event:
                        counts[str(entry.get(field))[:90]] += 1
            self.note(f"{daemon.name} logged {event}: {dict(counts)}")

    def close(self) -> None:
        """Ends the processes."""
        for daemon in self.daemons:
            daemon.end()
        self._record.close()


@contextlib.asynccontextmanager
async def open_system(case: Path) -> AsyncIterator[System]:
    """Runs a store; ends everything on exit."""
    with tempfile.TemporaryDirectory() as folder:
        system = System(folder=Path(folder), record=case / "record.txt")
        try:
            await system.store.start()
            yield system
        finally:
            system.close()
            if kept := os.environ.get("KEEP_LOGS"):
                for log in Path(folder).glob("*.log"):
                    (Path(kept) / log.name).write_bytes(log.read_bytes())


def run_case(case: Path, play: Callable[[System], Awaitable[int]]) -> int:
    """Runs a case and returns its exit status.

    Args:
        case: Folder of the case, which receives the record.
        play: Plays the case.
    """

    async def run() -> int:
        async with open_system(case) as system:
            try:
                return await play(system)
            except Exception as error:  # whatever it is, nothing was shown
                system.note(f"not run: {error!r}")
                print(f"not run: {error!r}")
                return EXIT_NOT_RUN

    return asyncio.run(run())


__all__ = [
    "EXIT_BROKEN",
    "EXIT_HELD",
    "STABILITY_WINDOW_S",
    "KEY",
    "CaseError",
    "Daemon",
    "System",
    "make_config",
    "run_case",
]

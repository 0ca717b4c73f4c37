"""One entry daemon process and the records of its stops."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Final

import aiohttp

from auburnswitch.platform.protocol import READINESS_PATH
from auburnswitch.standins.ports import free_port

if TYPE_CHECKING:
    from auburnswitch.soak.fault_proxy import FaultProxy

EXIT_TIMEOUT_S: Final = 12.0
READY_TIMEOUT_S: Final = 10.0
READY_STATUS: Final = 200
HANDLER_POLL_INTERVAL_S: Final = 0.001


@dataclass(slots=True, kw_only=True, eq=False)
class ProcessRun:
    """One process of a daemon, from its start to its exit.

    Attributes:
        daemon: Name of the daemon.
        terminated_at: Loop time of the first SIGTERM, None before it.
        exited_at: Loop time of the exit after it, None before it.
        status: Exit status.
        killed: Whether it was killed at the end of the grace time.
        paused_at: Loop times at which it was paused or continued, in seconds.
    """

    daemon: str
    terminated_at: float | None = None
    exited_at: float | None = None
    status: int | None = None
    killed: bool = False
    paused_at: list[float] = field(default_factory=list)


class DaemonProcess:
    """One entry daemon process, restarted with the same settings.

    Attributes:
        name: Name of the daemon's instance.
        folder: Folder of the settings file and the log.
        store_proxy: Proxy between the daemon and the store.
        callers_address: Address for callers, as host:port.
        readiness_address: Address of the readiness check, as host:port.
        metrics_address: Address of the metrics, as host:port; empty without.
        peer_port: Port for peers.
        bounds: Bounds in the settings file.
        process: The running process, None before the first start.
        runs: All processes so far, the running one last.
    """

    def __init__(
        self,
        *,
        name: str,
        folder: Path,
        store_proxy: FaultProxy,
        stop_grace_s: float,
        has_metrics: bool = False,
    ) -> None:
        self.name = name
        self.folder = folder
        self.store_proxy = store_proxy
        self.bounds: dict[str, float] = {"stop_grace_s": stop_grace_s}
        self.runs: list[ProcessRun] = []
        self.metrics_address = f"127.0.0.1:{free_port()}" if has_metrics else ""
        self.callers_address = f"127.0.0.1:{free_port()}"
        self.readiness_address = f"127.0.0.1:{free_port()}"
        self.peer_port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self) -> Path:
        """Writes the settings file and returns its path."""
        settings = self.folder / f"{self.name}.ini"
        metrics = f"metrics = {self.metrics_address}\n"
        bounds = [f"{name} = {value}\n" for name, value in self.bounds.items()]
        settings.write_text(
            f"[instance]\nname = {self.name}\nzone = zone-1\n"
            f"[listen]\ncallers = {self.callers_address}\n"
            f"readiness = {self.readiness_address}\npeer_host = 127.0.0.1\n"
            f"peer_port = {self.peer_port}\n"
            f"{metrics if self.metrics_address else ''}"
            f"[store]\naddress = 127.0.0.1:{self.store_proxy.port}\n"
            f"[bounds]\n{''.join(bounds)}"
        )
        return settings

    async def start(self) -> None:
        """Starts the process and appends its log to a file."""
        settings = self.write_settings()
        source = Path(__file__).parents[2]
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "auburnswitch.entry",
                str(settings),
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(source)},
            )
        self.runs.append(ProcessRun(daemon=self.name))

    async def stop(self) -> None:
        """Sends SIGTERM; kills a process that outlasts the grace time."""
        run, loop = self.runs[-1], asyncio.get_running_loop()
        run.terminated_at = loop.time()
        self.send_signal(signal.SIGTERM)
        run.status = await self.wait_for_exit(self.bounds["stop_grace_s"])
        run.exited_at = loop.time()
        run.killed = run.status == -signal.SIGKILL

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is None or self.process.returncode is not None:
            return
        # The process's own method may take the exit status from asyncio, which
        # then reports 255.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.runs[-1].paused_at.append(asyncio.get_running_loop().time())

    async def wait_for_reload_handler(self) -> None:
        """Waits until a reload signal no longer ends the process.

        The interpreter needs some milliseconds to the daemon's first line.
        """
        while self.process is not None and self.process.returncode is None:
            if _catches(self.process.pid, signal.SIGHUP):
                return
            await asyncio.sleep(HANDLER_POLL_INTERVAL_S)

    def check_running(self) -> None:
        """Checks that the process has not exited.

        Raises:
            RuntimeError: The process has exited; the message has the exit
                status and the end of the log.
        """
        if self.process is None or self.process.returncode is None:
            return
        log = (self.folder / f"{self.name}.log").read_text("utf-8", "replace")
        raise RuntimeError(
            f"{self.name} exited with status {self.process.returncode}:"
            f" {log[-500:]}"
        )

    async def wait_until_ready(self) -> None:
        """Waits until the daemon reports itself ready.

        Raises:
            RuntimeError: The process has exited.
            TimeoutError: The daemon isn't ready in time.
        """
        url = f"http://{self.readiness_address}{READINESS_PATH}"
        async with (
            aiohttp.ClientSession() as session,
            asyncio.timeout(READY_TIMEOUT_S),
        ):
            while True:
                self.check_running()
                with contextlib.suppress(aiohttp.ClientError):  # not open yet
                    async with session.get(url) as response:
                        if response.status == READY_STATUS:
                            return
                await asyncio.sleep(0.05)

    async def wait_for_exit(
        self, timeout_s: float = EXIT_TIMEOUT_S
    ) -> int | None:
        """Waits for the process to exit; kills it after a timeout.

        Returns:
            The exit status, None if the process was never started.
        """
        if self.process is None:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                return await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()


def _catches(pid: int, number: signal.Signals) -> bool:
    """Returns whether a process has a handler for a signal."""
    try:
        status = Path(f"/proc/{pid}/status").read_text("ascii")
    except (FileNotFoundError, ProcessLookupError):
        return False  # it has exited
    (caught,) = (
        line.split()[1]
        for line in status.splitlines()
        if line.startswith("SigCgt:")
    )
    return bool(int(caught, 16) >> (number - 1) & 1)


__all__ = ["DaemonProcess", "ProcessRun"]

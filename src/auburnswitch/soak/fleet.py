"""Entry daemon processes connected to stand-ins of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

from auburnswitch.http_server import open_http_server
from auburnswitch.soak.fault_proxy import FaultProxy
from auburnswitch.standins import installation_objects
from auburnswitch.standins.endpoint import EndpointStandIn
from auburnswitch.standins.installation_store import InstallationStore
from auburnswitch.standins.ports import free_port

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STREAM_EVENTS: Final = 12
EXIT_TIMEOUT_S: Final = 12.0


class DaemonProcess:
    """One entry daemon process, restarted with the same settings.

    Attributes:
        name: Name of the daemon's instance.
        folder: Folder of the settings file and the log.
        store_proxy: Proxy between the daemon and the store.
        callers_address: Address for callers, as host:port.
        readiness_address: Address of the readiness check, as host:port.
        peer_port: Port for peers.
        process: The running process, None before the first start.
        interrupted_at: Loop times at which it was started, killed, paused,
            continued or stopped, in seconds.
    """

    def __init__(
        self, *, name: str, folder: Path, store_proxy: FaultProxy
    ) -> None:
        self.name = name
        self.folder = folder
        self.store_proxy = store_proxy
        self.callers_address = f"127.0.0.1:{free_port()}"
        self.readiness_address = f"127.0.0.1:{free_port()}"
        self.peer_port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.interrupted_at: list[float] = []

    async def start(self) -> None:
        """Starts the process and appends its log to a file."""
        settings = self.folder / f"{self.name}.ini"
        settings.write_text(
            f"[instance]\nname = {self.name}\nzone = zone-1\n"
            f"[listen]\ncallers = {self.callers_address}\n"
            f"readiness = {self.readiness_address}\npeer_host = 127.0.0.1\n"
            f"peer_port = {self.peer_port}\n"
            f"[store]\naddress = 127.0.0.1:{self.store_proxy.port}\n"
            "[bounds]\nstop_grace_s = 6\n"
        )
        self._record_interruption()
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

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            if number is not signal.SIGHUP:
                self._record_interruption()

    def _record_interruption(self) -> None:
        self.interrupted_at.append(asyncio.get_running_loop().time())

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

    async def wait_for_exit(self) -> int | None:
        """Waits for the process to exit; kills it after a timeout.

        Returns:
            The exit status, None if the process was never started.
        """
        if self.process is None:
            return None
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()


class SoakFleet:
    """Processes and stand-ins of one soak run.

    Attributes:
        store: Stand-in of the platform's store.
        endpoints: Stand-ins of the endpoints by id.
        endpoint_proxies: Proxy in front of each endpoint, by endpoint id.
        daemons: The entry daemons.
        config_version: Version of the newest configuration.
        caller_keys: Valid caller keys in that configuration.
    """

    def __init__(self) -> None:
        self.store = InstallationStore()
        self.endpoints: dict[str, EndpointStandIn] = {}
        self.endpoint_proxies: dict[str, FaultProxy] = {}
        self.daemons: list[DaemonProcess] = []
        self.config_version = 0
        self.caller_keys = ["key-1", "key-2"]

    def write_config(self) -> None:
        """Writes a new version of the configuration."""
        self.config_version += 1
        config = installation_objects.make_config(
            self.config_version, list(self.caller_keys)
        )
        installation_objects.put_config(self.store, config)

    def put_endpoint(self, name: str, state: str = "ready") -> None:
        """Writes an endpoint's entry."""
        address = f"127.0.0.1:{self.endpoint_proxies[name].port}"
        service = name.split("-")[0]
        boot_ms = self.endpoints[name].boot_ms
        installation_objects.put_endpoint(
            self.store, name, service, address, State=state, born=boot_ms
        )


@contextlib.asynccontextmanager
async def open_fleet(
    folder: Path, daemon_count: int = 3
) -> AsyncIterator[SoakFleet]:
    """Starts the stand-ins and the daemons; stops all of them on exit."""
    fleet = SoakFleet()
    async with contextlib.AsyncExitStack() as stack:
        store_server = await stack.enter_async_context(
            open_http_server(fleet.store.make_app(), host="127.0.0.1", port=0)
        )
        for name in ("engines-1", "engines-2", "engines-3", "desk-1", "desk-2"):
            endpoint = EndpointStandIn(
                endpoint_id=name, event_count=STREAM_EVENTS
            )
            fleet.endpoints[name] = endpoint
            server = await stack.enter_async_context(
                open_http_server(endpoint, host="127.0.0.1", port=0)
            )
            endpoint_proxy = FaultProxy(target=("127.0.0.1", server.port))
            fleet.endpoint_proxies[name] = await stack.enter_async_context(
                endpoint_proxy.open()
            )
            fleet.put_endpoint(name)
        fleet.write_config()
        for number in range(daemon_count):
            store_proxy = FaultProxy(target=("127.0.0.1", store_server.port))
            await stack.enter_async_context(store_proxy.open())
            daemon = DaemonProcess(
                name=f"entry-{number}", folder=folder, store_proxy=store_proxy
            )
            fleet.daemons.append(daemon)
            await daemon.start()
        try:
            yield fleet
        finally:
            for daemon in fleet.daemons:
                daemon.send_signal(signal.SIGKILL)
                await daemon.wait_for_exit()


__all__ = ["STREAM_EVENTS", "DaemonProcess", "SoakFleet", "open_fleet"]

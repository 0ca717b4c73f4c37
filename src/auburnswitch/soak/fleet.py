"""Entry daemons as processes before stand-ins of the platform."""

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
    """One entry daemon, started again under the same settings.

    Attributes:
        name: Its instance.
        callers_address: Address for callers.
        readiness_address: Address of the readiness check.
        store: The proxy between it and the store.
        process: The running process, None before the first start.
    """

    def __init__(self, *, name: str, folder: Path, store: FaultProxy) -> None:
        self.name = name
        self.folder = folder
        self.store = store
        self.callers_address = f"127.0.0.1:{free_port()}"
        self.readiness_address = f"127.0.0.1:{free_port()}"
        self.peer_port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process; its log is appended to a file."""
        settings = self.folder / f"{self.name}.ini"
        settings.write_text(
            f"[instance]\nname = {self.name}\nzone = zone-1\n"
            f"[listen]\ncallers = {self.callers_address}\n"
            f"readiness = {self.readiness_address}\npeer_host = 127.0.0.1\n"
            f"peer_port = {self.peer_port}\n"
            f"[store]\naddress = 127.0.0.1:{self.store.port}\n"
            "[bounds]\nstop_grace_s = 6\n"
        )
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
        """Sends a signal to the process that was started here."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def check_running(self) -> None:
        """Raises an error with the end of the log if the process has ended.

        Raises:
            RuntimeError: It has ended by itself.
        """
        if self.process is None or self.process.returncode is None:
            return
        log = (self.folder / f"{self.name}.log").read_text("utf-8", "replace")
        raise RuntimeError(
            f"{self.name} ended with {self.process.returncode}: {log[-500:]}"
        )

    async def wait_for_exit(self) -> int | None:
        """Waits for the process's end, killing it if it takes too long."""
        if self.process is None:
            return None
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()


class SoakFleet:
    """All of one soak's processes and stand-ins.

    Attributes:
        store: The platform's store.
        runners: Endpoints by id.
        endpoint_proxies: The proxy before each endpoint.
        daemons: The entry daemons.
        config_version: Version of the newest configuration.
        caller_keys: Caller keys that it has.
    """

    def __init__(self) -> None:
        self.store = InstallationStore()
        self.runners: dict[str, EndpointStandIn] = {}
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
        installation_objects.put_endpoint(
            self.store, name, service, address, State=state
        )


@contextlib.asynccontextmanager
async def open_fleet(
    folder: Path, daemon_count: int = 3
) -> AsyncIterator[SoakFleet]:
    """Starts the stand-ins and the daemons; ends all at the end."""
    fleet = SoakFleet()
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(
            open_http_server(fleet.store.make_app(), host="127.0.0.1", port=0)
        )
        for name in ("engines-1", "engines-2", "engines-3", "desk-1", "desk-2"):
            runner = EndpointStandIn(
                endpoint_id=name, event_count=STREAM_EVENTS
            )
            fleet.runners[name] = runner
            server = await stack.enter_async_context(
                open_http_server(runner, host="127.0.0.1", port=0)
            )
            link = FaultProxy(target=("127.0.0.1", server.port))
            fleet.endpoint_proxies[name] = await stack.enter_async_context(
                link.open()
            )
            fleet.put_endpoint(name)
        fleet.write_config()
        for number in range(daemon_count):
            proxy = FaultProxy(target=("127.0.0.1", store.port))
            await stack.enter_async_context(proxy.open())
            daemon = DaemonProcess(
                name=f"entry-{number}", folder=folder, store=proxy
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

"""Entry daemon processes connected to stand-ins of the platform."""

from __future__ import annotations

import contextlib
import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from auburnswitch.http_server import open_http_server
from auburnswitch.soak.daemon_process import DaemonProcess
from auburnswitch.soak.fault_proxy import FaultProxy
from auburnswitch.standins import installation_objects
from auburnswitch.standins.endpoint import EndpointStandIn
from auburnswitch.standins.installation_store import InstallationStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

STREAM_EVENTS: Final = 12
ROUTE_TIMEOUT_MS: Final = 3000
GAP_AIM_MS: Final = 250


@dataclass(slots=True, kw_only=True)
class FleetOptions:
    """What differs between the scenarios of the soak.

    Attributes:
        daemon_count: Number of daemons.
        stop_grace_s: Time in which a daemon must exit after SIGTERM.
        has_metrics: Whether each daemon has an address for metrics.
        route_timeout_ms: Timeout of each route.
        gap_aim_ms: Longest pause in a stream that is on time.
        slots: Requests that an endpoint serves concurrently.
        engine: Replaced fields of the engines' speed and memory.
    """

    daemon_count: int = 3
    stop_grace_s: float = 6.0
    has_metrics: bool = False
    route_timeout_ms: int = ROUTE_TIMEOUT_MS
    gap_aim_ms: int = GAP_AIM_MS
    slots: int = installation_objects.SLOTS
    engine: dict[str, float] = field(default_factory=dict)


class SoakFleet:
    """Processes and stand-ins of one soak run.

    Attributes:
        options: What is particular to the scenario.
        store: Stand-in of the platform's store.
        endpoints: Stand-ins of the endpoints by id.
        endpoint_proxies: Proxy in front of each endpoint, by endpoint id.
        daemons: The entry daemons.
        config_version: Version of the newest configuration.
        caller_keys: Valid caller keys in that configuration.
    """

    def __init__(self, options: FleetOptions | None = None) -> None:
        self.options = options or FleetOptions()
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
        for route in config["Routes"]:
            route["TimeoutMs"] = self.options.route_timeout_ms
            if route["Kind"] == "streaming":
                route["GapAimMs"] = self.options.gap_aim_ms
        engine = {**installation_objects.ENGINE, **self.options.engine}
        config["Services"][0]["Engine"] = engine
        installation_objects.put_config(self.store, config)

    def put_endpoint(self, name: str, state: str = "ready") -> None:
        """Writes an endpoint's entry."""
        address = f"127.0.0.1:{self.endpoint_proxies[name].port}"
        service = name.split("-")[0]
        boot_ms = self.endpoints[name].boot_ms
        installation_objects.put_endpoint(
            self.store,
            name,
            service,
            address,
            State=state,
            Slots=self.options.slots,
            born=boot_ms,
        )


@contextlib.asynccontextmanager
async def open_fleet(
    folder: Path, options: FleetOptions | None = None
) -> AsyncIterator[SoakFleet]:
    """Starts the stand-ins and the daemons; stops all of them on exit."""
    fleet = SoakFleet(options)
    async with contextlib.AsyncExitStack() as stack:
        store_server = await stack.enter_async_context(
            open_http_server(fleet.store.make_app(), host="127.0.0.1", port=0)
        )
        stack.callback(store_server.abort)  # ends the watches
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
        for number in range(fleet.options.daemon_count):
            store_proxy = FaultProxy(target=("127.0.0.1", store_server.port))
            await stack.enter_async_context(store_proxy.open())
            daemon = DaemonProcess(
                name=f"entry-{number}",
                folder=folder,
                store_proxy=store_proxy,
                stop_grace_s=fleet.options.stop_grace_s,
                has_metrics=fleet.options.has_metrics,
            )
            fleet.daemons.append(daemon)
            await daemon.start()
        try:
            yield fleet
        finally:
            for daemon in fleet.daemons:
                daemon.send_signal(signal.SIGKILL)
                await daemon.wait_for_exit()


__all__ = [
    "STREAM_EVENTS",
    "FleetOptions",
    "SoakFleet",
    "open_fleet",
]

"""Runs a fleet of stand-ins and daemons on one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import aiohttp

from auburnswitch.daemon import Daemon, open_daemon
from auburnswitch.experiments.running_daemon import RunningDaemon
from auburnswitch.schema.base import to_json
from auburnswitch.schema.objects import (
    AvailabilityZone,
    Change,
    Endpoint,
    ObjectKind,
    Service,
    ServiceKind,
    Team,
    Ticket,
)
from auburnswitch.schema.settings import Settings
from auburnswitch.standins.engine import EngineStandIn, open_engine
from auburnswitch.standins.engine_options import EngineOptions
from auburnswitch.standins.history import History
from auburnswitch.standins.plain_service import (
    PlainServiceStandIn,
    open_plain_service,
)
from auburnswitch.standins.platform import PlatformStandIn, open_platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MODEL: Final = "front-desk"
PLAIN_SERVICE: Final = "bookings"
TEAM: Final = "salons"
CALLER_KEY: Final = "demo-caller-key"
OPERATOR_KEY: Final = "demo-operator-key"
PEER_KEY: Final = "demo-peer-key"
ZONES: Final = ("daejeon-1", "daejeon-2", "sejong-1")
REGION: Final = "kr-central"
HOST: Final = "127.0.0.1"
READY_POLL_INTERVAL_S: Final = 0.05
READY_TIMEOUT_S: Final = 30.0


@dataclass(slots=True, kw_only=True)
class FleetOptions:
    """Size and options of a fleet.

    Attributes:
        engines: Number of model engines.
        daemons: Number of daemons.
        plain_services: Number of replicas of the plain service.
        zones: Availability zones, assigned round robin.
        engine: Options of every engine.
        endpoint: Endpoint fields that differ from the defaults.
        customize_settings: Modifies a daemon's settings before it starts.
        connector: Creates the connectors of HTTP clients; None for the default
            connector.
        daemon_options: Returns further arguments of ``open_daemon`` for an
            instance.
        strict_invariants: Whether a violated invariant raises an error.
        base_port: First port of the daemons; 0 uses free ports.
        keep_frames: Whether to keep engines' history records of sent frames.
    """

    engines: int = 2
    daemons: int = 3
    plain_services: int = 1
    zones: tuple[str, ...] = ZONES
    engine: EngineOptions = field(default_factory=EngineOptions)
    endpoint: dict[str, Any] = field(default_factory=dict)
    customize_settings: Callable[[Settings], None] = lambda settings: None
    connector: Callable[[], aiohttp.BaseConnector] | None = None
    daemon_options: Callable[[str], dict[str, Any]] = lambda instance: {}
    strict_invariants: bool = True
    base_port: int = 0
    keep_frames: bool = False


def _freezable_loop() -> Any:
    return asyncio.get_running_loop()


class Fleet:
    """A running fleet.

    Attributes:
        options: Size and options of the fleet.
        history: Events of the stand-ins.
        platform: The platform stand-in.
        engines: Engine stand-ins by endpoint name.
        plain: Plain service stand-ins by endpoint name.
        daemons: Running daemons by instance name.
        session: HTTP client of callers and operators.
    """

    __slots__ = (
        "daemon_start_count",
        "daemons",
        "engines",
        "folder",
        "history",
        "killed_daemons",
        "next_ticket_number",
        "options",
        "plain",
        "platform",
        "running_daemons",
        "session",
        "stack",
    )

    def __init__(
        self,
        *,
        options: FleetOptions,
        platform: PlatformStandIn,
        history: History,
        session: aiohttp.ClientSession,
        stack: contextlib.AsyncExitStack,
        folder: Path,
    ) -> None:
        self.options = options
        self.platform = platform
        self.history = history
        self.session = session
        self.stack = stack
        self.folder = folder
        self.engines: dict[str, EngineStandIn] = {}
        self.plain: dict[str, PlainServiceStandIn] = {}
        self.daemons: dict[str, Daemon] = {}
        self.running_daemons: dict[str, RunningDaemon] = {}
        self.killed_daemons: list[RunningDaemon] = []
        self.daemon_start_count = 0
        self.next_ticket_number = 1

    def zone(self, number: int) -> str:
        """Returns the zone of the n-th endpoint or daemon."""
        return self.options.zones[number % len(self.options.zones)]

    async def start_engine(self, number: int) -> None:
        """Starts the n-th engine."""
        name = f"engine-{number}"
        self.engines[name] = await self.stack.enter_async_context(
            open_engine(
                host=HOST,
                name=name,
                options=self.options.engine,
                history=self.history,
                session=self.session,
            )
        )

    async def start_plain_service(self, number: int) -> None:
        """Starts the n-th replica of the plain service."""
        name = f"bookings-{number}"
        self.plain[name] = await self.stack.enter_async_context(
            open_plain_service(host=HOST, name=name, history=self.history)
        )

    async def start_daemon(self, number: int) -> Daemon:
        """Starts or restarts the n-th daemon."""
        instance = f"entry-{number}"
        self.platform.instances.set(instance, self.zone(number))
        options: dict[str, Any] = {
            "connector": self.options.connector,
            "strict_invariants": self.options.strict_invariants,
            **self.options.daemon_options(instance),
        }
        self.daemon_start_count += 1
        running = RunningDaemon(
            process_name=f"{instance}#{self.daemon_start_count}"
        )
        await running.start(
            open_daemon(self.daemon_settings(number), **options)
        )
        self.running_daemons[instance] = running
        self.daemons[instance] = running.daemon
        return running.daemon

    async def stop_daemon(self, number: int, *, graceful: bool = True) -> None:
        """Stops the n-th daemon, gracefully or at once."""
        instance = f"entry-{number}"
        del self.daemons[instance]
        await self.running_daemons.pop(instance).stop(graceful=graceful)

    def kill_daemon(self, number: int) -> None:
        """Kills the n-th daemon like SIGKILL; requires a `FreezableLoop`."""
        instance = f"entry-{number}"
        del self.daemons[instance]
        running = self.running_daemons.pop(instance)
        _freezable_loop().kill(running.process_name)
        self.killed_daemons.append(running)

    def freeze_daemon(self, number: int) -> None:
        """Freezes the n-th daemon like SIGSTOP; requires a `FreezableLoop`."""
        _freezable_loop().freeze(
            self.running_daemons[f"entry-{number}"].process_name
        )

    def thaw_daemon(self, number: int) -> None:
        """Resumes the frozen n-th daemon like SIGCONT."""
        _freezable_loop().thaw(
            self.running_daemons[f"entry-{number}"].process_name
        )

    async def close(self) -> None:
        """Aborts all daemons, including the tasks of killed ones."""
        for running in self.killed_daemons:
            _freezable_loop().thaw(running.process_name)
        for running in [*self.running_daemons.values(), *self.killed_daemons]:
            await running.abort()

    def daemon_settings(self, number: int) -> Settings:
        """Returns the settings of the n-th daemon."""
        settings = Settings()
        settings.daemon.instance = f"entry-{number}"
        settings.daemon.zone = self.zone(number)
        settings.daemon.seed = number + 1
        settings.platform.url = self.platform.url
        settings.operators.key_file = str(self.folder / "operator.key")
        settings.peers.key_file = str(self.folder / "peer.key")
        base = self.options.base_port
        sections = (settings.callers, settings.operators, settings.peers)
        for offset, section in enumerate(sections):
            section.port = base + 3 * number + offset if base else 0
        self.options.customize_settings(settings)
        return settings

    def ticket(self, changes: list[Change], note: str = "") -> Ticket:
        """Returns a ticket with the next number."""
        number = self.next_ticket_number
        self.next_ticket_number += 1
        return Ticket(number=number, author="demo", note=note, changes=changes)

    async def apply(self, ticket: Ticket, instance: str = "") -> dict[str, Any]:
        """Applies a ticket through a daemon and returns the response body.

        Args:
            ticket: The ticket.
            instance: Instance name of the daemon; empty for the first one.

        Raises:
            RuntimeError: The daemon refused the ticket.
        """
        daemon = self.daemons[instance or next(iter(self.daemons))]
        url = f"{_url(daemon.operator_server)}/tickets"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with self.session.post(
            url, json=to_json(ticket), headers=headers
        ) as response:
            body = await response.json()
        if response.status != 200:
            raise RuntimeError(body["error"]["message"])
        return body

    def initial_changes(self) -> list[Change]:
        """Returns the changes that configure all objects of the fleet."""
        digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        team = Team(key_digests=[digest])
        model = Service(kind=ServiceKind.MODEL)
        plain = Service(kind=ServiceKind.PLAIN)
        changes = [
            Change(kind=ObjectKind.TEAM, name=TEAM, team=team),
            Change(kind=ObjectKind.SERVICE, name=MODEL, service=model),
            Change(kind=ObjectKind.SERVICE, name=PLAIN_SERVICE, service=plain),
        ]
        changes += [self.zone_change(zone) for zone in self.options.zones]
        standins = [*self.engines.items(), *self.plain.items()]
        for number, (name, standin) in enumerate(standins):
            service = MODEL if name in self.engines else PLAIN_SERVICE
            changes.append(
                self._endpoint_change(name, standin.url, service, number)
            )
        return changes

    def zone_change(self, zone: str, *, out: bool = False) -> Change:
        """Returns the change that takes a zone out of service or back in."""
        return Change(
            kind=ObjectKind.AVAILABILITY_ZONE,
            name=zone,
            zone=AvailabilityZone(region=REGION, out=out),
        )

    def _endpoint_change(
        self, name: str, url: str, service: str, number: int
    ) -> Change:
        host, _, port = url.removeprefix("http://").partition(":")
        endpoint = Endpoint(
            service=service,
            zone=self.zone(number),
            host=host,
            port=int(port),
            **self.options.endpoint,
        )
        return Change(kind=ObjectKind.ENDPOINT, name=name, endpoint=endpoint)

    async def wait_until_converged(self) -> None:
        """Waits until all daemons are ready with the same configuration.

        Raises:
            TimeoutError: They did not converge within `READY_TIMEOUT_S`.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not self._has_converged():
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    def _has_converged(self) -> bool:
        daemons = self.daemons.values()
        digests = {daemon.state.digest for daemon in daemons}
        live_counts = {len(daemon.view.live_ids()) for daemon in daemons}
        ready = all(
            daemon.get_admission_refusal() is None for daemon in daemons
        )
        return (
            ready and len(digests) == 1 and live_counts == {len(self.daemons)}
        )

    def caller_url(self, instance: str) -> str:
        """Returns the base URL of a daemon's listener for callers."""
        return _url(self.daemons[instance].caller_server)


def _url(server: Any) -> str:
    assert server is not None
    return server.url


@contextlib.asynccontextmanager
async def open_fleet(options: FleetOptions) -> AsyncIterator[Fleet]:
    """Starts a fleet, configures it and waits until it has converged."""
    connector = options.connector() if options.connector else None
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        Path(folder, "operator.key").write_text(OPERATOR_KEY, "utf-8")
        Path(folder, "peer.key").write_text(PEER_KEY, "utf-8")
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        history = History(keep_frames=options.keep_frames)
        platform = await stack.enter_async_context(
            open_platform(host=HOST, history=history)
        )
        fleet = Fleet(
            options=options,
            platform=platform,
            history=history,
            session=session,
            stack=stack,
            folder=Path(folder),
        )
        for number in range(options.engines):
            await fleet.start_engine(number)
        for number in range(options.plain_services):
            await fleet.start_plain_service(number)
        try:
            for number in range(options.daemons):
                await fleet.start_daemon(number)
            await fleet.apply(fleet.ticket(fleet.initial_changes()))
            await fleet.wait_until_converged()
            yield fleet
        finally:
            await fleet.close()


__all__ = [
    "CALLER_KEY",
    "MODEL",
    "OPERATOR_KEY",
    "PLAIN_SERVICE",
    "TEAM",
    "ZONES",
    "Fleet",
    "FleetOptions",
    "open_fleet",
]

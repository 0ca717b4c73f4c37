"""Reads the load reports of the endpoints that this daemon owns."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any

import aiohttp

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.load_report import parse_load_report
from auburnswitch.http_client import read_json
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.endpoints.orphans import OrphanCollector
    from auburnswitch.endpoints.reservations import ReservationClient
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.schema.objects import Endpoint
    from auburnswitch.schema.settings import Settings


class LoadMonitor:
    """Polls the load of each owned endpoint in a separate task.

    Attributes:
        endpoint_manager: Receives the load reports.
        orphans: Frees engine memory that no daemon claims.
        pollers: Running task of each owned endpoint.
        updated_at: Loop time of the last ownership check, in seconds.
    """

    __slots__ = (
        "endpoint_manager",
        "orphans",
        "pollers",
        "reservations",
        "session",
        "settings",
        "tasks",
        "updated_at",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        endpoint_manager: EndpointManager,
        reservations: ReservationClient,
        orphans: OrphanCollector,
        session: aiohttp.ClientSession,
        tasks: TaskSet,
    ) -> None:
        self.settings = settings
        self.endpoint_manager = endpoint_manager
        self.reservations = reservations
        self.orphans = orphans
        self.session = session
        self.tasks = tasks
        self.pollers: dict[str, asyncio.Task[Any]] = {}
        self.updated_at = monotonic_s()

    async def run(self) -> None:
        """Detects pauses and runs a poller for each owned endpoint."""
        while True:
            self._check_pause()
            self._update_pollers()
            self.reservations.report_local_reservations()
            await asyncio.sleep(self.settings.endpoints.load_interval_s / 2)

    def _check_pause(self) -> None:
        now = monotonic_s()
        if now - self.updated_at > self.settings.members.suspect_after_s:
            self.endpoint_manager.on_pause()
        self.updated_at = now

    def _update_pollers(self) -> None:
        owned = set(self.endpoint_manager.owned())
        for name in owned - self.pollers.keys():
            task = self.tasks.supervise(
                partial(self._poll, name), f"load {name}"
            )
            self.pollers[name] = task
        for name in self.pollers.keys() - owned:
            self.pollers.pop(name).cancel()
        for name in self.endpoint_manager.ledgers.keys() - owned:
            self.endpoint_manager.drop_ledger(name)

    async def _poll(self, name: str) -> None:
        while True:
            spec = self.endpoint_manager.state.endpoints.get(name)
            if spec is not None:
                await self._read_load(name, spec)
            await asyncio.sleep(self.settings.endpoints.load_interval_s)

    async def _read_load(self, name: str, spec: Endpoint) -> None:
        requested_at = monotonic_s()
        url = f"http://{spec.host}:{spec.port}/load"
        try:
            async with (
                asyncio.timeout(self.settings.endpoints.connect_timeout_s),
                self.session.get(url) as response,
            ):
                report = parse_load_report(await read_json(response))
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
        ) as error:
            log_event(
                EventId.ENDPOINT_UNREACHABLE, endpoint=name, reason=repr(error)
            )
            self.endpoint_manager.record_unreachable(name)
            return
        self.endpoint_manager.on_load_report(name, report, requested_at)
        ledger = self.endpoint_manager.ledgers.get(name)
        if ledger is not None:
            await self.orphans.collect_if_due(ledger)


__all__ = ["LoadMonitor"]

"""Reads the load reports of the endpoints that this daemon owns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.load import parse_load
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from auburnswitch.endpoints.orphans import OrphanCollector
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.endpoints.reservations import ReservationClient
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.schema.objects import Endpoint
    from auburnswitch.schema.settings import Settings


class LoadMonitor:
    """Runs one task for each owned endpoint.

    Attributes:
        owner_table: Where the reports go.
        orphans: Frees memory that no one claims.
        pollers: Running task of each owned endpoint.
        updated_at: Loop time of the last look at ownership, in seconds.
    """

    __slots__ = (
        "orphans",
        "owner_table",
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
        owner_table: OwnerTable,
        reservations: ReservationClient,
        orphans: OrphanCollector,
        session: aiohttp.ClientSession,
        tasks: TaskSet,
    ) -> None:
        self.settings = settings
        self.owner_table = owner_table
        self.reservations = reservations
        self.orphans = orphans
        self.session = session
        self.tasks = tasks
        self.pollers: dict[str, asyncio.Task[Any]] = {}
        self.updated_at = monotonic_s()

    async def run(self) -> None:
        """Starts and ends pollers as ownership changes."""
        while True:
            self._check_pause()
            self._update()
            self.reservations.report_own()
            await asyncio.sleep(self.settings.endpoints.load_interval_s / 2)

    def _check_pause(self) -> None:
        now = monotonic_s()
        if now - self.updated_at > self.settings.members.suspect_after_s:
            self.owner_table.note_paused()
        self.updated_at = now

    def _update(self) -> None:
        owned = set(self.owner_table.owned())
        for name in owned - self.pollers.keys():
            task = self.tasks.start(self._poll(name), f"load {name}")
            self.pollers[name] = task
        for name in self.pollers.keys() - owned:
            self.pollers.pop(name).cancel()
        for name in self.owner_table.ledgers.keys() - owned:
            self.owner_table.drop_ledger(name)

    async def _poll(self, name: str) -> None:
        while True:
            spec = self.owner_table.state.endpoints.get(name)
            if spec is not None:
                await self._read_load(name, spec)
            await asyncio.sleep(self.settings.endpoints.load_interval_s)

    async def _read_load(self, name: str, spec: Endpoint) -> None:
        asked_at = monotonic_s()
        url = f"http://{spec.host}:{spec.port}/load"
        try:
            async with (
                asyncio.timeout(self.settings.endpoints.connect_timeout_s),
                self.session.get(url) as response,
            ):
                report = parse_load(await response.json())
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
        ) as error:
            log_event(
                EventId.ENDPOINT_UNREACHABLE, endpoint=name, reason=repr(error)
            )
            self.owner_table.note_unreachable(name)
            return
        self.owner_table.note_load(name, report, asked_at)
        ledger = self.owner_table.ledgers.get(name)
        if ledger is not None:
            await self.orphans.compare(ledger)


__all__ = ["LoadMonitor"]

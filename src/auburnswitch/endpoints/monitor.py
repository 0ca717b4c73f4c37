"""Reads the load reports of the endpoints that this daemon owns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.schema.objects import Endpoint
    from auburnswitch.schema.settings import EndpointsSettings


class LoadMonitor:
    """Runs one task for each owned endpoint.

    Attributes:
        owner_table: Where the reports go.
        pollers: Running task of each owned endpoint.
    """

    __slots__ = ("owner_table", "pollers", "session", "settings", "tasks")

    def __init__(
        self,
        *,
        settings: EndpointsSettings,
        owner_table: OwnerTable,
        session: aiohttp.ClientSession,
        tasks: TaskSet,
    ) -> None:
        self.settings = settings
        self.owner_table = owner_table
        self.session = session
        self.tasks = tasks
        self.pollers: dict[str, asyncio.Task[Any]] = {}

    async def run(self) -> None:
        """Starts and ends pollers as ownership changes."""
        while True:
            self._update()
            await asyncio.sleep(self.settings.load_interval_s / 2)

    def _update(self) -> None:
        owned = set(self.owner_table.owned())
        for name in owned - self.pollers.keys():
            task = self.tasks.start(self._poll(name), f"load {name}")
            self.pollers[name] = task
        for name in self.pollers.keys() - owned:
            self.pollers.pop(name).cancel()
            self.owner_table.ledgers.pop(name, None)

    async def _poll(self, name: str) -> None:
        while True:
            spec = self.owner_table.state.endpoints.get(name)
            if spec is not None:
                await self._read_load(name, spec)
            await asyncio.sleep(self.settings.load_interval_s)

    async def _read_load(self, name: str, spec: Endpoint) -> None:
        url = f"http://{spec.host}:{spec.port}/load"
        try:
            async with (
                asyncio.timeout(self.settings.connect_timeout_s),
                self.session.get(url) as response,
            ):
                report = await response.json()
            boot_id = str(report["boot_id"])
            queued = int(report.get("prefill_queued_tokens", 0))
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            LookupError,
        ) as error:
            log_event(
                EventId.ENDPOINT_UNREACHABLE, endpoint=name, reason=repr(error)
            )
            self.owner_table.note_unreachable(name)
            return
        self.owner_table.note_boot(name, boot_id)
        self.owner_table.note_queued(name, queued)


__all__ = ["LoadMonitor"]

"""Draws faults and carries them out, overlapping."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

from auburnswitch.soak.proxy import Link, Proxy
from auburnswitch.standins import installation_objects
from auburnswitch.standins.endpoint import Fault

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from auburnswitch.soak.fleet import DaemonProcess, SoakFleet

PAUSE_S: Final = (0.2, 1.0)
LASTS_S: Final = (0.3, 2.5)
DISTURBED: Final = (Link.DELAY, Link.RESET, Link.SILENT, Link.NO_ANSWERS)


class Faults:
    """Injects faults into a fleet.

    Attributes:
        log: What was done, in order.
        last_at: Loop time at which the last fault ended, in seconds.
    """

    def __init__(self, *, fleet: SoakFleet, chance: random.Random) -> None:
        self.fleet = fleet
        self.chance = chance
        self.log: list[str] = []
        self.last_at = 0.0
        self._busy: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Injects faults for a time, then waits for the last ones to end."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._restart,
            self._pause,
            self._terminate,
            self._reload,
            self._cut_store,
            self._cut_endpoint,
            self._fail_requests,
            self._drain_endpoint,
            self._stop_store,
            self._forget_history,
            self._change_keys,
            self._close_zone,
        ]
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < ends_at:
                await asyncio.sleep(self.chance.uniform(*PAUSE_S))
                tasks.create_task(self._one(self.chance.choice(kinds)))
        self.last_at = loop.time()

    async def _one(self, fault: Callable[[], Awaitable[None]]) -> None:
        self.log.append(fault.__name__.lstrip("_"))
        await fault()

    async def _last(self) -> None:
        await asyncio.sleep(self.chance.uniform(*LASTS_S))

    def _take(self) -> DaemonProcess | None:
        """Returns a daemon that no other signal fault is at work on."""
        free = [d for d in self.fleet.daemons if d.name not in self._busy]
        if not free:
            return None
        daemon = self.chance.choice(free)
        self._busy.add(daemon.name)
        return daemon

    async def _restart(self) -> None:
        if daemon := self._take():
            daemon.send(signal.SIGKILL)
            await daemon.end()
            await self._last()
            await daemon.start()
            self._busy.discard(daemon.name)

    async def _pause(self) -> None:
        if daemon := self._take():
            daemon.send(signal.SIGSTOP)
            await self._last()
            daemon.send(signal.SIGCONT)
            self._busy.discard(daemon.name)

    async def _terminate(self) -> None:
        if daemon := self._take():
            daemon.send(signal.SIGTERM)
            await daemon.end()
            await daemon.start()
            self._busy.discard(daemon.name)

    async def _reload(self) -> None:
        if daemon := self._take():
            daemon.send(signal.SIGHUP)
            self._busy.discard(daemon.name)

    async def _disturb(self, proxy: Proxy) -> None:
        proxy.disturb(self.chance.choice(DISTURBED))
        await self._last()
        proxy.disturb(Link.PASS)

    async def _cut_store(self) -> None:
        await self._disturb(self.chance.choice(self.fleet.daemons).store)

    async def _cut_endpoint(self) -> None:
        await self._disturb(self.chance.choice([*self.fleet.links.values()]))

    async def _fail_requests(self) -> None:
        runner = self.chance.choice([*self.fleet.runners.values()])
        kinds = [fault for fault in Fault if fault is not Fault.NO_RESPONSE]
        runner.faults.extend(self.chance.choices(kinds, k=4))

    async def _drain_endpoint(self) -> None:
        name = self.chance.choice([*self.fleet.runners])
        self.fleet.list_endpoint(name, "draining")
        await self._last()
        if self.chance.random() < 0.5:
            installation_objects.remove_endpoint(self.fleet.store, name)
            await self._last()
        self.fleet.list_endpoint(name)

    async def _stop_store(self) -> None:
        self.fleet.store.unavailable = True
        await self._last()
        self.fleet.store.unavailable = False

    async def _forget_history(self) -> None:
        self.fleet.store.compact_history()

    async def _change_keys(self) -> None:
        self.fleet.keys = ["key-1"]
        self.fleet.configure()
        await self._last()
        self.fleet.keys = ["key-1", "key-2"]
        self.fleet.configure()

    async def _close_zone(self) -> None:
        installation_objects.close_zone(self.fleet.store, "zone-1")
        await asyncio.sleep(LASTS_S[0])
        installation_objects.open_zone(self.fleet.store, "zone-1")


__all__ = ["Faults"]

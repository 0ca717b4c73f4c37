"""Draws faults and carries them out, overlapping."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

from auburnswitch.soak.fault_proxy import FaultProxy, ProxyMode
from auburnswitch.standins import installation_objects
from auburnswitch.standins.endpoint import Fault

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from auburnswitch.soak.fleet import DaemonProcess, SoakFleet

FAULT_INTERVAL_RANGE_S: Final = (0.2, 1.0)
FAULT_DURATION_RANGE_S: Final = (0.3, 2.5)
FAULT_MODES: Final = (
    ProxyMode.DELAY,
    ProxyMode.RESET,
    ProxyMode.STALL,
    ProxyMode.STALL_RESPONSES,
)


class FaultInjector:
    """Injects faults into a fleet.

    Attributes:
        injected_faults: What was done, in order.
        last_ended_at: Loop time at which the last fault ended, in seconds.
    """

    def __init__(self, *, fleet: SoakFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.injected_faults: list[str] = []
        self.last_ended_at = 0.0
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
                await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_RANGE_S))
                tasks.create_task(self._one(self.rng.choice(kinds)))
        self.last_ended_at = loop.time()

    async def _one(self, fault: Callable[[], Awaitable[None]]) -> None:
        self.injected_faults.append(fault.__name__.lstrip("_"))
        await fault()

    async def _last(self) -> None:
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))

    def _take(self) -> DaemonProcess | None:
        """Returns a daemon that no other signal fault is at work on."""
        free = [d for d in self.fleet.daemons if d.name not in self._busy]
        if not free:
            return None
        daemon = self.rng.choice(free)
        self._busy.add(daemon.name)
        return daemon

    async def _restart(self) -> None:
        if daemon := self._take():
            daemon.send_signal(signal.SIGKILL)
            await daemon.wait_for_exit()
            await self._last()
            await daemon.start()
            self._busy.discard(daemon.name)

    async def _pause(self) -> None:
        if daemon := self._take():
            daemon.send_signal(signal.SIGSTOP)
            await self._last()
            daemon.send_signal(signal.SIGCONT)
            self._busy.discard(daemon.name)

    async def _terminate(self) -> None:
        if daemon := self._take():
            daemon.send_signal(signal.SIGTERM)
            await daemon.wait_for_exit()
            await daemon.start()
            self._busy.discard(daemon.name)

    async def _reload(self) -> None:
        if daemon := self._take():
            daemon.send_signal(signal.SIGHUP)
            self._busy.discard(daemon.name)

    async def _disturb(self, proxy: FaultProxy) -> None:
        proxy.set_mode(self.rng.choice(FAULT_MODES))
        await self._last()
        proxy.set_mode(ProxyMode.PASS)

    async def _cut_store(self) -> None:
        await self._disturb(self.rng.choice(self.fleet.daemons).store)

    async def _cut_endpoint(self) -> None:
        await self._disturb(
            self.rng.choice([*self.fleet.endpoint_proxies.values()])
        )

    async def _fail_requests(self) -> None:
        runner = self.rng.choice([*self.fleet.runners.values()])
        kinds = [fault for fault in Fault if fault is not Fault.NO_RESPONSE]
        runner.faults.extend(self.rng.choices(kinds, k=4))

    async def _drain_endpoint(self) -> None:
        name = self.rng.choice([*self.fleet.runners])
        self.fleet.put_endpoint(name, "draining")
        await self._last()
        if self.rng.random() < 0.5:
            installation_objects.remove_endpoint(self.fleet.store, name)
            await self._last()
        self.fleet.put_endpoint(name)

    async def _stop_store(self) -> None:
        self.fleet.store.unavailable = True
        await self._last()
        self.fleet.store.unavailable = False

    async def _forget_history(self) -> None:
        self.fleet.store.compact_history()

    async def _change_keys(self) -> None:
        self.fleet.caller_keys = ["key-1"]
        self.fleet.write_config()
        await self._last()
        self.fleet.caller_keys = ["key-1", "key-2"]
        self.fleet.write_config()

    async def _close_zone(self) -> None:
        installation_objects.close_zone(self.fleet.store, "zone-1")
        await asyncio.sleep(FAULT_DURATION_RANGE_S[0])
        installation_objects.open_zone(self.fleet.store, "zone-1")


__all__ = ["FaultInjector"]

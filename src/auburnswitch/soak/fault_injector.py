"""Injects random, overlapping faults into a soak fleet."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

from auburnswitch.soak import availability_faults
from auburnswitch.soak.fault_proxy import FaultProxy, ProxyMode
from auburnswitch.standins import installation_objects
from auburnswitch.standins.endpoint import Fault

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from auburnswitch.soak.daemon_process import DaemonProcess
    from auburnswitch.soak.fleet import SoakFleet

FAULT_INTERVAL_RANGE_S: Final = (0.2, 1.0)
FAULT_DURATION_RANGE_S: Final = (0.3, 2.5)
REWRITE_DELAY_RANGE_S: Final = (0.0, 1.0)
FAULT_MODES: Final = (
    ProxyMode.DELAY,
    ProxyMode.RESET,
    ProxyMode.STALL,
    ProxyMode.STALL_RESPONSES,
)


class FaultInjector:
    """Injects random faults into a fleet.

    Attributes:
        fleet: The fleet.
        rng: Random number generator that selects faults, targets and times.
        injected_faults: Names of the injected faults, in order.
    """

    def __init__(self, *, fleet: SoakFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.injected_faults: list[str] = []
        self._faulted_daemons: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Injects faults for some seconds, then waits until all have ended."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        faults: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._pause,
            self._terminate,
            self._reload,
            self._disrupt_store,
            self._disrupt_endpoint,
            self._fail_requests,
            self._drain_endpoint,
            self._stop_store,
            self._compact_history,
            self._restore_store,
            self._lose_watch_answers,
            self._revoke_key,
            self._close_zone,
            self._leave_endpoint,
            self._leave_unlisted,
            self._defer_requests,
        ]
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < ends_at:
                await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_RANGE_S))
                tasks.create_task(self._inject(self.rng.choice(faults)))

    async def _inject(self, fault: Callable[[], Awaitable[None]]) -> None:
        self.injected_faults.append(fault.__name__.lstrip("_"))
        await fault()

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))

    def _select_daemon(self) -> DaemonProcess | None:
        """Returns a daemon without a signal fault and marks it as faulty.

        Returns None if every daemon has a signal fault.
        """
        available = [
            daemon
            for daemon in self.fleet.daemons
            if daemon.name not in self._faulted_daemons
        ]
        if not available:
            return None
        daemon = self.rng.choice(available)
        self._faulted_daemons.add(daemon.name)
        return daemon

    async def _kill(self) -> None:
        if daemon := self._select_daemon():
            daemon.send_signal(signal.SIGKILL)
            await daemon.wait_for_exit()
            await self._wait_fault_duration()
            await daemon.start()
            self._faulted_daemons.discard(daemon.name)

    async def _pause(self) -> None:
        if daemon := self._select_daemon():
            daemon.send_signal(signal.SIGSTOP)
            await self._wait_fault_duration()
            daemon.send_signal(signal.SIGCONT)
            self._faulted_daemons.discard(daemon.name)

    async def _terminate(self) -> None:
        if daemon := self._select_daemon():
            daemon.send_signal(signal.SIGTERM)
            await daemon.wait_for_exit()
            await daemon.start()
            self._faulted_daemons.discard(daemon.name)

    async def _reload(self) -> None:
        if daemon := self._select_daemon():
            await daemon.wait_for_reload_handler()
            daemon.send_signal(signal.SIGHUP)
            self._faulted_daemons.discard(daemon.name)

    async def _disrupt(self, proxy: FaultProxy) -> None:
        proxy.set_mode(self.rng.choice(FAULT_MODES))
        await self._wait_fault_duration()
        proxy.set_mode(ProxyMode.PASS)

    async def _disrupt_store(self) -> None:
        await self._disrupt(self.rng.choice(self.fleet.daemons).store_proxy)

    async def _disrupt_endpoint(self) -> None:
        await self._disrupt(
            self.rng.choice([*self.fleet.endpoint_proxies.values()])
        )

    async def _fail_requests(self) -> None:
        endpoint = self.rng.choice([*self.fleet.endpoints.values()])
        endpoint_faults = [
            fault for fault in Fault if fault is not Fault.NO_RESPONSE
        ]
        endpoint.faults.extend(self.rng.choices(endpoint_faults, k=4))

    async def _drain_endpoint(self) -> None:
        name = self.rng.choice([*self.fleet.endpoints])
        self.fleet.put_endpoint(name, "draining")
        await self._wait_fault_duration()
        if self.rng.random() < 0.5:
            installation_objects.remove_endpoint(self.fleet.store, name)
            await self._wait_fault_duration()
        self.fleet.put_endpoint(name)

    async def _leave_endpoint(self) -> None:
        await availability_faults.leave_endpoint(self.fleet, self.rng)

    async def _leave_unlisted(self) -> None:
        await availability_faults.leave_unlisted(self.fleet, self.rng)

    async def _defer_requests(self) -> None:
        await availability_faults.defer_requests(self.fleet, self.rng)

    async def _stop_store(self) -> None:
        self.fleet.store.unavailable = True
        await self._wait_fault_duration()
        self.fleet.store.unavailable = False

    async def _compact_history(self) -> None:
        self.fleet.store.compact_history()

    async def _restore_store(self) -> None:
        """Brings the store back from a copy; its writers write again."""
        store = self.fleet.store
        state = store.copy_state()
        await self._wait_fault_duration()
        newest = store.copy_state()
        store.restore(state)
        await asyncio.sleep(self.rng.uniform(*REWRITE_DELAY_RANGE_S))
        for kind in installation_objects.WRITTEN_KINDS:
            store.write_again(kind, state, newest)

    async def _lose_watch_answers(self) -> None:
        kind = self.rng.choice(installation_objects.WRITTEN_KINDS)
        self.fleet.store.lossy_kinds.add(kind)
        await self._wait_fault_duration()
        self.fleet.store.lossy_kinds.discard(kind)

    async def _revoke_key(self) -> None:
        self.fleet.caller_keys = ["key-1"]
        self.fleet.write_config()
        await self._wait_fault_duration()
        self.fleet.caller_keys = ["key-1", "key-2"]
        self.fleet.write_config()

    async def _close_zone(self) -> None:
        installation_objects.close_zone(self.fleet.store, "zone-1")
        await asyncio.sleep(FAULT_DURATION_RANGE_S[0])
        installation_objects.open_zone(self.fleet.store, "zone-1")


__all__ = ["FaultInjector"]

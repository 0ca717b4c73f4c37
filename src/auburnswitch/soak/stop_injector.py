"""Stops, reloads and reconfigures daemons of a soak fleet as planned."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

    from auburnswitch.soak.daemon_process import DaemonProcess
    from auburnswitch.soak.fleet import SoakFleet

ACTION_INTERVAL_RANGE_S: Final = (0.2, 1.0)
# The shortest time lies well after a process has set its handlers.
EARLY_STOP_RANGE_S: Final = (0.3, 1.5)
EARLY_STOP_SHARE: Final = 0.25
MAX_EXTRA_SIGNALS: Final = 2
RELOADED_BOUNDS_S: Final = (1.5, 2.0, 2.5)


class StopInjector:
    """Injects planned work only: overlapping stops, reloads, configurations.

    One daemon at least is ready and isn't stopped.

    Attributes:
        fleet: The fleet.
        rng: Random number generator that selects actions, targets and times.
    """

    def __init__(self, *, fleet: SoakFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self._ready_daemons = list(fleet.daemons)
        self._ends_at = 0.0

    async def run(self, seconds: float) -> None:
        """Injects for some seconds, then waits until all daemons are ready."""
        loop = asyncio.get_running_loop()
        self._ends_at = loop.time() + seconds
        actions = (self._stop, self._stop, self._reload, self._change_config)
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < self._ends_at:
                await asyncio.sleep(self.rng.uniform(*ACTION_INTERVAL_RANGE_S))
                tasks.create_task(self.rng.choice(actions)())

    async def _stop(self) -> None:
        if len(self._ready_daemons) < 2:
            return
        daemon = self.rng.choice(self._ready_daemons)
        self._ready_daemons.remove(daemon)
        await self._restart(daemon)
        ending = asyncio.get_running_loop().time() > self._ends_at
        if not ending and self.rng.random() < EARLY_STOP_SHARE:
            await asyncio.sleep(self.rng.uniform(*EARLY_STOP_RANGE_S))
            await self._restart(daemon)
        await daemon.wait_until_ready()
        self._ready_daemons.append(daemon)

    async def _restart(self, daemon: DaemonProcess) -> None:
        """Stops a process, with further signals meanwhile, and starts one."""
        max_delay_s = self.fleet.options.stop_grace_s / 2
        numbers = self.rng.choices(
            (signal.SIGTERM, signal.SIGHUP),
            k=self.rng.randint(0, MAX_EXTRA_SIGNALS),
        )
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(daemon.stop())
            for number in numbers:
                await asyncio.sleep(self.rng.uniform(0.01, max_delay_s))
                daemon.send_signal(number)
        await daemon.start()

    async def _reload(self) -> None:
        daemon = self.rng.choice(self._ready_daemons)
        value = self.rng.choice(RELOADED_BOUNDS_S)
        daemon.bounds["lapsed_entry_grace_s"] = value
        daemon.write_settings()
        daemon.send_signal(signal.SIGHUP)

    async def _change_config(self) -> None:
        extra_keys = self.rng.choice(([], ["key-3"]))
        self.fleet.caller_keys = ["key-1", "key-2", *extra_keys]
        self.fleet.write_config()


__all__ = ["StopInjector"]

"""Measures the propagation time of tickets and the store calls when idle.

Runs the whole fleet in virtual time, so the results show the protocol alone:
peers and store respond without delay unless a fault adds one.

Usage: python -m auburnswitch.experiments.ticket_spread [--tickets 20]
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

import aiohttp
import fire

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.fleet import Fleet, FleetOptions, open_fleet
from auburnswitch.experiments.virtual_time import (
    SimulatedConnector,
    run_virtual,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Fault = Callable[[Fleet, int], Awaitable[None]]

DAEMON_COUNT: Final = 9
POLL_INTERVAL_S: Final = 0.02
PROPAGATION_TIMEOUT_S: Final = 60.0
IDLE_PERIOD_S: Final = 120.0
IDLE_DAEMON_COUNTS: Final = (3, 6, 9)
SETTLE_S: Final = 15.0
SLOW_STORE_DELAY_S: Final = 1.0


async def _no_fault(_: Fleet, __: int) -> None:
    pass


async def _kill_acceptor(fleet: Fleet, number: int) -> None:
    await fleet.stop_daemon(number, graceful=False)


async def _hang_watches(fleet: Fleet, _: int) -> None:
    fleet.platform.watch_broken = True


async def _hang_watches_and_kill(fleet: Fleet, number: int) -> None:
    fleet.platform.watch_broken = True
    await fleet.stop_daemon(number, graceful=False)


async def _slow_down_store(fleet: Fleet, _: int) -> None:
    fleet.platform.delay_s = SLOW_STORE_DELAY_S


FAULTS: Final[dict[str, tuple[Fault, bool]]] = {
    "quiet": (_no_fault, False),
    "accepting daemon killed": (_kill_acceptor, False),
    "watches hang": (_hang_watches, True),
    "watches hang, daemon killed": (_hang_watches_and_kill, True),
    "store takes 1 s": (_slow_down_store, True),
}


async def measure_ticket(
    fleet: Fleet, fault: Fault, inject_before_ticket: bool
) -> float:
    """Applies one ticket; returns the seconds until all daemons have it.

    Args:
        fleet: The fleet.
        fault: Fault to inject.
        inject_before_ticket: Whether to inject the fault before the ticket is
            accepted rather than right after.
    """
    number = random.Random(fleet.next_ticket_number).randrange(DAEMON_COUNT)
    instance = f"entry-{number}"
    out = fleet.next_ticket_number % 2 == 0
    ticket = fleet.ticket([fleet.zone_change(fleet.zone(0), out=out)])
    if inject_before_ticket and fault is _hang_watches_and_kill:
        fleet.platform.watch_broken = True
    elif inject_before_ticket:
        await fault(fleet, number)
    try:
        await fleet.apply(ticket, instance)
    except aiohttp.ClientOSError:  # an idle connection was closed
        await fleet.apply(ticket, instance)
    accepted_at = monotonic_s()
    if not inject_before_ticket or fault is _hang_watches_and_kill:
        await fault(fleet, number)
    async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
        while not all(
            daemon.state.has_joined(ticket) for daemon in fleet.daemons.values()
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
    took_s = monotonic_s() - accepted_at
    fleet.platform.watch_broken = False
    fleet.platform.delay_s = 0.0
    if instance not in fleet.daemons:
        await fleet.start_daemon(number)
    await asyncio.sleep(SETTLE_S)
    return took_s


async def measure_propagation(tickets: int) -> list[str]:
    """Returns a table row with propagation times for each fault."""
    rows = []
    for name, (fault, inject_before_ticket) in FAULTS.items():
        options = FleetOptions(
            daemons=DAEMON_COUNT, connector=SimulatedConnector
        )
        async with open_fleet(options) as fleet:
            await asyncio.sleep(SETTLE_S)
            times_s = sorted(
                [
                    await measure_ticket(fleet, fault, inject_before_ticket)
                    for _ in range(tickets)
                ]
            )
            median_s = times_s[len(times_s) // 2]
            rows.append(f"{name:28}  {median_s:8.2f}  {times_s[-1]:8.2f}")
    return rows


async def measure_idle_calls(daemons: int) -> str:
    """Returns a table row with the store calls per second when idle."""
    options = FleetOptions(daemons=daemons, connector=SimulatedConnector)
    async with open_fleet(options) as fleet:
        await asyncio.sleep(SETTLE_S * 2)
        calls_before = fleet.platform.calls.copy()
        await asyncio.sleep(IDLE_PERIOD_S)
        calls = fleet.platform.calls - calls_before
    rate_per_s = sum(calls.values()) / IDLE_PERIOD_S
    kinds = ", ".join(
        f"{k} {n / IDLE_PERIOD_S:.2f}" for k, n in sorted(calls.items())
    )
    return (
        f"{daemons:7}  {rate_per_s:7.2f}  {rate_per_s / daemons:10.3f}  {kinds}"
    )


def main(tickets: int = 20) -> None:
    """Runs the measurement.

    Args:
        tickets: Number of tickets applied under each fault.
    """
    print(f"{'fault':28}  median s     max s")
    for row in run_virtual(lambda: measure_propagation(min(tickets, 100))):
        print(row, flush=True)
    print("daemons  calls/s  per daemon  kinds")
    for daemons in IDLE_DAEMON_COUNTS:
        print(run_virtual(lambda n=daemons: measure_idle_calls(n)), flush=True)


if __name__ == "__main__":
    fire.Fire(main)


__all__ = ["main", "measure_idle_calls", "measure_propagation"]

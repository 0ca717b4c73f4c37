"""Fleets whose daemons can be partitioned, killed and started."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING
from unittest import mock

from auburnswitch.experiments.fleet import FleetOptions, open_fleet
from auburnswitch.members.roster import ROSTER_KEY
from tests.members.network import PartitionableNetwork
from tests.virtual_time import SimulatedConnector

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from auburnswitch.experiments.fleet import Fleet

POLL_INTERVAL_S = 0.05


@contextlib.asynccontextmanager
async def open_partitionable_fleet(
    daemons: int,
) -> AsyncIterator[tuple[Fleet, PartitionableNetwork]]:
    network = PartitionableNetwork()
    options = FleetOptions(
        engines=1,
        daemons=daemons,
        connector=SimulatedConnector,
        daemon_options=network.options,
    )
    async with _deterministic_ids(), open_fleet(options) as fleet:
        network.fleet = fleet
        await wait_until(lambda: is_converged(fleet), 10)
        yield fleet, network


@contextlib.asynccontextmanager
async def _deterministic_ids() -> AsyncIterator[None]:
    """Makes incarnation ids, and so the owners, the same in each run."""
    rng = random.Random(1)

    def token_hex(size: int) -> str:
        return rng.randbytes(size).hex()

    with mock.patch("secrets.token_hex", token_hex):
        yield


async def wait_until(condition: Callable[[], bool], limit_s: float) -> float:
    """Waits until a condition holds; returns the waiting time in seconds.

    Raises:
        TimeoutError: The condition did not hold within ``limit_s``.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)
    return loop.time() - started_at


def stored_member_ids(fleet: Fleet) -> list[str]:
    stored = fleet.platform.store.objects.get(ROSTER_KEY)
    members = stored.value["members"] if stored is not None else []
    return sorted(member["id"] for member in members)


def is_converged(fleet: Fleet) -> bool:
    """Returns whether all daemons have the stored roster and a majority."""
    ids = sorted(daemon.member.id for daemon in fleet.daemons.values())
    return stored_member_ids(fleet) == ids and all(
        sorted(daemon.view.roster_ids()) == ids and daemon.view.has_quorum()
        for daemon in fleet.daemons.values()
    )


async def kill_daemons(fleet: Fleet, numbers: Iterable[int]) -> None:
    await asyncio.gather(
        *(fleet.stop_daemon(number, graceful=False) for number in numbers)
    )


async def start_daemons(fleet: Fleet, numbers: Iterable[int]) -> None:
    await asyncio.gather(*(fleet.start_daemon(number) for number in numbers))


def remove_instances(fleet: Fleet, numbers: Iterable[int]) -> None:
    for number in numbers:
        fleet.platform.instances.remove(f"entry-{number}")


__all__ = [
    "is_converged",
    "kill_daemons",
    "open_partitionable_fleet",
    "remove_instances",
    "start_daemons",
    "stored_member_ids",
    "wait_until",
]

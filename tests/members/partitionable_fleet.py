"""Fleets whose daemons can be cut, killed and started."""

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

POLL_S = 0.05


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
    async with _numbered_ids(), open_fleet(options) as fleet:
        network.fleet = fleet
        await until(lambda: agreed(fleet), 10)
        yield fleet, network


@contextlib.asynccontextmanager
async def _numbered_ids() -> AsyncIterator[None]:
    """Makes the ids of incarnations, and so the owners, the same each run."""
    numbers = random.Random(1)

    def token_hex(size: int) -> str:
        return numbers.randbytes(size).hex()

    with mock.patch("secrets.token_hex", token_hex):
        yield


async def until(holds: Callable[[], bool], limit_s: float) -> float:
    """Waits until a condition holds; returns how long that took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with asyncio.timeout(limit_s):
        while not holds():
            await asyncio.sleep(POLL_S)
    return loop.time() - started_at


def stored_ids(fleet: Fleet) -> list[str]:
    stored = fleet.platform.store.objects.get(ROSTER_KEY)
    members = stored.value["members"] if stored is not None else []
    return sorted(member["id"] for member in members)


def agreed(fleet: Fleet) -> bool:
    """Tells whether all daemons are in one roster and have a majority."""
    ids = sorted(daemon.member.id for daemon in fleet.daemons.values())
    return stored_ids(fleet) == ids and all(
        sorted(daemon.view.roster_ids()) == ids and daemon.view.has_quorum()
        for daemon in fleet.daemons.values()
    )


async def kill(fleet: Fleet, numbers: Iterable[int]) -> None:
    await asyncio.gather(
        *(fleet.stop_daemon(number, graceful=False) for number in numbers)
    )


async def start(fleet: Fleet, numbers: Iterable[int]) -> None:
    await asyncio.gather(*(fleet.start_daemon(number) for number in numbers))


def remove_instances(fleet: Fleet, numbers: Iterable[int]) -> None:
    for number in numbers:
        fleet.platform.instances.remove(f"entry-{number}")


__all__ = [
    "agreed",
    "kill",
    "open_partitionable_fleet",
    "remove_instances",
    "start",
    "stored_ids",
    "until",
]

"""Tests of strict rights in a whole fleet, in virtual time."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.freezable_loop import FreezableLoop
from tests.members.lease_overlap_checker import (
    RESERVATION_TTL_S,
    LeaseOverlapChecker,
)
from tests.members.partitionable_fleet import (
    agreed,
    open_partitionable_fleet,
    until,
)
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from auburnswitch.experiments.fleet import Fleet
    from tests.members.network import PartitionableNetwork

LEASE_S = 3.0
REMOVAL_S = 10.0
STEPS = 60
LONGEST_STEP_S = 12.0
ENDPOINT = "engine-0"


def run(
    scenario: Callable[[Fleet, PartitionableNetwork], Awaitable],
    daemons: int = 5,
):
    async def opened():
        async with open_partitionable_fleet(daemons) as (fleet, network):
            return await scenario(fleet, network)

    return run_virtual(opened, FreezableLoop)


async def settled(watch: LeaseOverlapChecker) -> int:
    """Waits until the endpoint has a strict owner; returns its number."""
    await until(lambda: bool(watch.holders(ENDPOINT)), 60)
    [instance] = watch.holders(ENDPOINT)
    return int(instance.removeprefix("entry-"))


class OwnershipLeasesTest(unittest.TestCase):
    def test_rights_come_after_one_wait_at_the_first_start(self):
        async def scenario(fleet, network):
            await settled(LeaseOverlapChecker(fleet))
            return monotonic_s()

        self.assertLess(run(scenario), LEASE_S + RESERVATION_TTL_S + 1)

    def test_joining_owner_waits_for_its_predecessors_grants_only(self):
        async def scenario(fleet, network):
            watch = LeaseOverlapChecker(fleet)
            await settled(watch)
            await asyncio.sleep(10)
            before = watch.holders(ENDPOINT)
            number = 1
            while watch.holders(ENDPOINT) == before:
                self.assertLess(number, 9)
                await fleet.start_daemon(number)
                await asyncio.sleep(0.5)
                number += 1
            moved_at = monotonic_s()
            await settled(watch)
            return monotonic_s() - moved_at

        self.assertLess(run(scenario, daemons=1), RESERVATION_TTL_S + 0.5)

    def test_successor_of_a_killed_owner_waits(self):
        async def scenario(fleet, network):
            watch = LeaseOverlapChecker(fleet)
            fleet.kill_daemon(await settled(watch))
            killed_at = monotonic_s()
            await settled(watch)
            return monotonic_s() - killed_at

        took_s = run(scenario)
        self.assertGreater(took_s, REMOVAL_S + LEASE_S + RESERVATION_TTL_S - 1)
        self.assertLess(took_s, REMOVAL_S + LEASE_S + RESERVATION_TTL_S + 1.5)

    def test_successor_of_a_leaving_owner_waits_for_its_grants_only(self):
        async def scenario(fleet, network):
            watch = LeaseOverlapChecker(fleet)
            number = await settled(watch)
            await asyncio.sleep(10)
            stop = asyncio.create_task(fleet.stop_daemon(number))
            await until(lambda: not watch.holders(ENDPOINT), 5)
            given_up_at = monotonic_s()
            await settled(watch)
            await stop
            return monotonic_s() - given_up_at

        took_s = run(scenario)
        self.assertGreater(took_s, RESERVATION_TTL_S - 0.1)
        self.assertLess(took_s, RESERVATION_TTL_S + 1)

    def test_thawed_owner_has_no_rights(self):
        async def scenario(fleet, network):
            watch = LeaseOverlapChecker(fleet)
            number = await settled(watch)
            daemon = fleet.daemons[f"entry-{number}"]
            fleet.freeze_daemon(number)
            watch.frozen.add(f"entry-{number}")
            await asyncio.sleep(LEASE_S)
            self.assertFalse(daemon.ownership_leases.holds_lease(ENDPOINT))
            await settled(watch)
            fleet.thaw_daemon(number)
            watch.frozen.clear()
            for _ in range(100):
                watch.sample()
                await asyncio.sleep(0.01)
            await until(lambda: agreed(fleet), 20)

        run(scenario)

    def test_minority_owner_loses_its_rights_within_the_lease(self):
        async def scenario(fleet, network):
            watch = LeaseOverlapChecker(fleet)
            name = f"entry-{await settled(watch)}"
            network.cut([name], set(fleet.daemons) - {name})
            await asyncio.sleep(LEASE_S)
            self.assertNotIn(name, watch.holders(ENDPOINT))

        run(scenario)

    def test_rights_never_overlap_in_random_runs(self):
        changes = [run(_Disorder(seed).run) for seed in (1, 2)]
        self.assertGreater(min(changes), 5)  # the runs moved ownership


class _Disorder:
    """Freezes, kills, stops, starts and cuts daemons at random."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.next_number = 5

    async def run(self, fleet: Fleet, network: PartitionableNetwork) -> int:
        self.fleet, self.network = fleet, network
        self.watch = LeaseOverlapChecker(fleet)
        watching = asyncio.create_task(self.watch.run())
        for _ in range(STEPS):
            await self.step()
            await asyncio.sleep(self.random.uniform(0, LONGEST_STEP_S))
            if watching.done():
                await watching
        watching.cancel()
        await self.thaw()
        await self.heal()
        fleet.platform.outage = False
        return self.watch.changes

    async def step(self) -> None:
        actions = [
            self.freeze,
            self.thaw,
            self.kill,
            self.replace,
            self.restart,
            self.cut,
            self.heal,
            self.toggle_outage,
        ]
        await self.random.choice(actions)()

    def pick(self) -> int | None:
        """Returns a daemon that can be spared, if there is one."""
        active = sorted(set(self.fleet.daemons) - self.watch.frozen)
        if len(active) < 4:
            return None
        return int(self.random.choice(active).removeprefix("entry-"))

    async def freeze(self) -> None:
        number = self.pick()
        if number is not None:
            self.fleet.freeze_daemon(number)
            self.watch.frozen.add(f"entry-{number}")

    async def thaw(self) -> None:
        for instance in sorted(self.watch.frozen):
            self.fleet.thaw_daemon(int(instance.removeprefix("entry-")))
        self.watch.frozen.clear()
        self.watch.sample()

    async def kill(self) -> None:
        number = self.pick()
        if number is not None:
            self.fleet.kill_daemon(number)
            self.fleet.platform.instances.remove(f"entry-{number}")
            await self.start()

    async def replace(self) -> None:
        number = self.pick()
        if number is not None:
            await self.fleet.stop_daemon(number)
            self.fleet.platform.instances.remove(f"entry-{number}")
            await self.start()

    async def restart(self) -> None:
        number = self.pick()
        if number is not None:
            self.fleet.kill_daemon(number)
            await self.fleet.start_daemon(number)

    async def start(self) -> None:
        await self.fleet.start_daemon(self.next_number)
        self.next_number += 1

    async def cut(self) -> None:
        number = self.pick()
        if number is not None:
            name = f"entry-{number}"
            self.network.cut([name], set(self.fleet.daemons) - {name})

    async def heal(self) -> None:
        self.network.heal()

    async def toggle_outage(self) -> None:
        self.fleet.platform.outage = not self.fleet.platform.outage

"""Tests of ownership leases in a whole fleet, in virtual time."""

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
    is_converged,
    open_partitionable_fleet,
    wait_until,
)
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from auburnswitch.experiments.fleet import Fleet
    from tests.members.network import PartitionableNetwork

LEASE_S = 3.0
REMOVAL_S = 10.0
STEPS = 60
MAX_STEP_S = 12.0
ENDPOINT = "engine-0"


def run_on_fleet(
    scenario: Callable[[Fleet, PartitionableNetwork], Awaitable],
    daemons: int = 5,
):
    async def opened():
        async with open_partitionable_fleet(daemons) as (fleet, network):
            return await scenario(fleet, network)

    return run_virtual(opened, FreezableLoop)


async def wait_for_owner(checker: LeaseOverlapChecker) -> int:
    """Waits until a daemon holds the lease; returns its number."""
    await wait_until(lambda: bool(checker.holders(ENDPOINT)), 60)
    [instance] = checker.holders(ENDPOINT)
    return int(instance.removeprefix("entry-"))


class OwnershipLeasesTest(unittest.TestCase):
    def test_lease_starts_after_one_wait_at_the_first_start(self):
        async def scenario(fleet, network):
            await wait_for_owner(LeaseOverlapChecker(fleet))
            return monotonic_s()

        self.assertLess(run_on_fleet(scenario), LEASE_S + RESERVATION_TTL_S + 1)

    def test_joining_owner_waits_only_for_its_predecessors_grants(self):
        async def scenario(fleet, network):
            checker = LeaseOverlapChecker(fleet)
            await wait_for_owner(checker)
            await asyncio.sleep(10)
            before = checker.holders(ENDPOINT)
            number = 1
            while checker.holders(ENDPOINT) == before:
                self.assertLess(number, 9)
                await fleet.start_daemon(number)
                await asyncio.sleep(0.5)
                number += 1
            moved_at = monotonic_s()
            await wait_for_owner(checker)
            return monotonic_s() - moved_at

        self.assertLess(
            run_on_fleet(scenario, daemons=1), RESERVATION_TTL_S + 0.5
        )

    def test_successor_of_a_killed_owner_waits(self):
        async def scenario(fleet, network):
            checker = LeaseOverlapChecker(fleet)
            fleet.kill_daemon(await wait_for_owner(checker))
            killed_at = monotonic_s()
            await wait_for_owner(checker)
            return monotonic_s() - killed_at

        took_s = run_on_fleet(scenario)
        self.assertGreater(took_s, REMOVAL_S + LEASE_S + RESERVATION_TTL_S - 1)
        self.assertLess(took_s, REMOVAL_S + LEASE_S + RESERVATION_TTL_S + 1.5)

    def test_successor_of_a_leaving_owner_waits_only_for_its_grants(self):
        async def scenario(fleet, network):
            checker = LeaseOverlapChecker(fleet)
            number = await wait_for_owner(checker)
            await asyncio.sleep(10)
            stop = asyncio.create_task(fleet.stop_daemon(number))
            await wait_until(lambda: not checker.holders(ENDPOINT), 5)
            released_at = monotonic_s()
            await wait_for_owner(checker)
            await stop
            return monotonic_s() - released_at

        took_s = run_on_fleet(scenario)
        self.assertGreater(took_s, RESERVATION_TTL_S - 0.1)
        self.assertLess(took_s, RESERVATION_TTL_S + 1)

    def test_thawed_owner_has_no_lease(self):
        async def scenario(fleet, network):
            checker = LeaseOverlapChecker(fleet)
            number = await wait_for_owner(checker)
            daemon = fleet.daemons[f"entry-{number}"]
            fleet.freeze_daemon(number)
            checker.frozen.add(f"entry-{number}")
            await asyncio.sleep(LEASE_S)
            self.assertFalse(daemon.ownership_leases.holds_lease(ENDPOINT))
            await wait_for_owner(checker)
            fleet.thaw_daemon(number)
            checker.frozen.clear()
            for _ in range(100):
                checker.sample()
                await asyncio.sleep(0.01)
            await wait_until(lambda: is_converged(fleet), 20)

        run_on_fleet(scenario)

    def test_minority_owner_loses_its_lease_within_the_lease_time(self):
        async def scenario(fleet, network):
            checker = LeaseOverlapChecker(fleet)
            name = f"entry-{await wait_for_owner(checker)}"
            network.partition([name], set(fleet.daemons) - {name})
            await asyncio.sleep(LEASE_S)
            self.assertNotIn(name, checker.holders(ENDPOINT))

        run_on_fleet(scenario)

    def test_leases_never_overlap_in_random_runs(self):
        change_counts = [
            run_on_fleet(_RandomFaults(seed).run) for seed in (1, 2)
        ]
        self.assertGreater(
            min(change_counts), 5
        )  # ownership moved in every run


class _RandomFaults:
    """Freezes, kills, stops, starts and partitions daemons at random."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.next_number = 5

    async def run(self, fleet: Fleet, network: PartitionableNetwork) -> int:
        self.fleet, self.network = fleet, network
        self.checker = LeaseOverlapChecker(fleet)
        checking = asyncio.create_task(self.checker.run())
        for _ in range(STEPS):
            await self.step()
            await asyncio.sleep(self.rng.uniform(0, MAX_STEP_S))
            if checking.done():
                await checking
        checking.cancel()
        await self.thaw()
        await self.heal()
        fleet.platform.outage = False
        return self.checker.changes

    async def step(self) -> None:
        actions = [
            self.freeze,
            self.thaw,
            self.kill,
            self.replace,
            self.restart,
            self.partition,
            self.heal,
            self.toggle_outage,
        ]
        await self.rng.choice(actions)()

    def pick_active(self) -> int | None:
        """Returns a random active daemon, None if fewer than 4 are active."""
        active = sorted(set(self.fleet.daemons) - self.checker.frozen)
        if len(active) < 4:
            return None
        return int(self.rng.choice(active).removeprefix("entry-"))

    async def freeze(self) -> None:
        number = self.pick_active()
        if number is not None:
            self.fleet.freeze_daemon(number)
            self.checker.frozen.add(f"entry-{number}")

    async def thaw(self) -> None:
        for instance in sorted(self.checker.frozen):
            self.fleet.thaw_daemon(int(instance.removeprefix("entry-")))
        self.checker.frozen.clear()
        self.checker.sample()

    async def kill(self) -> None:
        number = self.pick_active()
        if number is not None:
            self.fleet.kill_daemon(number)
            self.fleet.platform.instances.remove(f"entry-{number}")
            await self.start()

    async def replace(self) -> None:
        number = self.pick_active()
        if number is not None:
            await self.fleet.stop_daemon(number)
            self.fleet.platform.instances.remove(f"entry-{number}")
            await self.start()

    async def restart(self) -> None:
        number = self.pick_active()
        if number is not None:
            self.fleet.kill_daemon(number)
            await self.fleet.start_daemon(number)

    async def start(self) -> None:
        await self.fleet.start_daemon(self.next_number)
        self.next_number += 1

    async def partition(self) -> None:
        number = self.pick_active()
        if number is not None:
            name = f"entry-{number}"
            self.network.partition([name], set(self.fleet.daemons) - {name})

    async def heal(self) -> None:
        self.network.heal()

    async def toggle_outage(self) -> None:
        self.fleet.platform.outage = not self.fleet.platform.outage

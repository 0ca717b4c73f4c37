"""Tests of zones out of service and leaving endpoints, in virtual time."""

from __future__ import annotations

import asyncio
import unittest

from expression import Error

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.fleet import FleetOptions
from auburnswitch.experiments.freezable_loop import FreezableLoop
from auburnswitch.object_store.client import StoreUnavailable
from auburnswitch.standins.engine_options import EngineOptions
from auburnswitch.standins.history import HistoryKind
from auburnswitch.standins.instances import InstanceState
from tests.endpoints.fleet_harness import FleetHarness, number_of, open_harness
from tests.virtual_time import run_virtual

ENGINE = "engine-0"
ZONE = FleetOptions().zones[0]
MAX_DELAY_S = 3.0
INSTANCE_LAG_S = 2.0  # of the platform's list
WARM_AFTER = 2
ANSWER_TOKENS = 200  # 5 s at the engine's decode step


def start_times(harness: FleetHarness, after: float) -> list[float]:
    """Returns the times at which work started on the engine."""
    records = harness.fleet.history.select(
        HistoryKind.REQUEST_STARTED, actor=ENGINE
    )
    return [r.time_s for r in records if r.time_s > after]


class FailingStore:
    """A store that is unavailable to one daemon."""

    async def list_instances(self):
        """Fails to read the instance list."""
        return Error(StoreUnavailable(reason="partitioned"))


class UnschedulableTest(unittest.TestCase):
    def run_unschedulable(
        self, make_unschedulable, *, restore=None
    ) -> tuple[FleetHarness, float]:
        """Makes an endpoint unschedulable under load.

        Returns:
            The harness, and the delay of the last start of work after the
            endpoint became unschedulable, in seconds.
        """

        async def run():
            async with open_harness(
                daemons=3,
                engines=3,
                engine=EngineOptions(warm_after=WARM_AFTER),
                endpoint={"warm_after": WARM_AFTER},
            ) as harness:
                await harness.warm_up()
                load = asyncio.create_task(
                    harness.load(12, 4, answer=ANSWER_TOKENS)
                )
                await asyncio.sleep(5)
                running = len(harness.fleet.engines[ENGINE].batch.jobs())
                self.assertGreater(running, 0)
                unschedulable_at = monotonic_s()
                await make_unschedulable(harness)
                await load
                start_delays_s = [
                    at - unschedulable_at
                    for at in start_times(harness, unschedulable_at)
                ]
                if restore is not None:
                    await restore(harness)
                await harness.finish()
                self.assertEqual(set(harness.statuses), {200})
                return harness, max(start_delays_s, default=0.0)

        return run_virtual(run, FreezableLoop)

    def test_zone_out_and_back(self):
        async def make_unschedulable(harness):
            change = harness.fleet.zone_change(ZONE, out=True)
            await harness.fleet.apply(harness.fleet.ticket([change]))

        async def restore(harness):
            change = harness.fleet.zone_change(ZONE)
            await harness.fleet.apply(harness.fleet.ticket([change]))
            self.assertEqual(harness.phase(ENGINE), "COLD")
            restored_at = monotonic_s()
            for _ in range(12):
                harness.send("entry-1", answer=ANSWER_TOKENS)
            await asyncio.sleep(4)
            self.assertLessEqual(len(start_times(harness, restored_at)), 2)
            await harness.load(20, 4)
            self.assertEqual(harness.phase(ENGINE), "WARM")

        _, last_start_delay_s = self.run_unschedulable(
            make_unschedulable, restore=restore
        )
        self.assertLess(last_start_delay_s, MAX_DELAY_S)

    def test_leaving_instance(self):
        async def make_unschedulable(harness):
            instances = harness.fleet.platform.instances
            instances.set(ENGINE, ZONE, InstanceState.LEAVING)

        _, last_start_delay_s = self.run_unschedulable(make_unschedulable)
        self.assertLess(last_start_delay_s, MAX_DELAY_S + INSTANCE_LAG_S)

    def test_next_daemon_reads_the_instance_list(self):
        async def run():
            async with open_harness(daemons=3, engines=1) as harness:
                daemons = harness.fleet.daemons
                await asyncio.sleep(3)
                reader = next(
                    d.instance_list_reader
                    for d in daemons.values()
                    if d.instance_list_reader.last_read_succeeded
                )
                reader.store = FailingStore()
                instances = harness.fleet.platform.instances
                instances.set(ENGINE, ZONE, InstanceState.LEAVING)
                await asyncio.sleep(10)
                return [
                    d.endpoint_manager.is_unschedulable(ENGINE)
                    for d in daemons.values()
                ]

        self.assertEqual(run_virtual(run, FreezableLoop), [True] * 3)

    def test_engine_reports_leaving(self):
        async def make_unschedulable(harness):
            harness.fleet.engines[ENGINE].leaving = True

        _, last_start_delay_s = self.run_unschedulable(make_unschedulable)
        self.assertLess(last_start_delay_s, MAX_DELAY_S)

    def test_frozen_owner_resumes_after_the_ticket(self):
        async def make_unschedulable(harness):
            owner = harness.owner_of(ENGINE)
            number = number_of(owner)
            del harness.fleet.daemons[owner]  # sends no more load through it
            harness.fleet.freeze_daemon(number)
            await asyncio.sleep(5)
            change = harness.fleet.zone_change(ZONE, out=True)
            await harness.fleet.apply(harness.fleet.ticket([change]))
            self.out_at = monotonic_s()
            await asyncio.sleep(5)
            harness.fleet.thaw_daemon(number)
            harness.fleet.daemons[owner] = harness.fleet.running_daemons[
                owner
            ].daemon
            for _ in range(9):
                harness.send(owner)

        harness, _ = self.run_unschedulable(make_unschedulable)
        late_starts = start_times(harness, self.out_at + MAX_DELAY_S)
        self.assertEqual(late_starts, [])

    def test_only_endpoint_of_a_service(self):
        async def run():
            async with open_harness(daemons=2, engines=1) as harness:
                await harness.load(8, 2)
                await harness.finish()
                change = harness.fleet.zone_change(ZONE, out=True)
                await harness.fleet.apply(harness.fleet.ticket([change]))
                out_at = monotonic_s()
                harness.statuses.clear()
                await asyncio.gather(*(harness.send("entry-0") for _ in "123"))
                took_s = monotonic_s() - out_at
                return harness.statuses, took_s, start_times(harness, out_at)

        statuses, took_s, started = run_virtual(run, FreezableLoop)
        self.assertEqual(statuses, [503] * 3)
        self.assertLess(took_s, 1)
        self.assertEqual(started, [])

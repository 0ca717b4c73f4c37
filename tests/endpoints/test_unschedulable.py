"""Tests of zones taken out and endpoints that leave, in virtual time."""

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
BOUND_S = 3.0
INSTANCE_LAG_S = 2.0  # of the platform's list
WARM_AFTER = 2
ANSWER_TOKENS = 200  # 5 s at the engine's decode step


def starts(bench: FleetHarness, after: float) -> list[float]:
    """Returns the times at which work started on the engine."""
    records = bench.fleet.history.select(
        HistoryKind.REQUEST_STARTED, actor=ENGINE
    )
    return [r.time_s for r in records if r.time_s > after]


class FailingStore:
    """A store that is down for one daemon."""

    async def list_instances(self):
        """Fails to read the instance list."""
        return Error(StoreUnavailable(reason="cut off"))


class ClosingTest(unittest.TestCase):
    def run_closing(self, close, *, reopen=None) -> tuple[FleetHarness, float]:
        """Closes an endpoint under load; returns the bench and the last start.

        The last start is in seconds after the closing.
        """

        async def run():
            async with open_harness(
                daemons=3,
                engines=3,
                engine=EngineOptions(warm_after=WARM_AFTER),
                endpoint={"warm_after": WARM_AFTER},
            ) as bench:
                await bench.warm_up()
                load = asyncio.create_task(
                    bench.load(12, 4, answer=ANSWER_TOKENS)
                )
                await asyncio.sleep(5)
                running = len(bench.fleet.engines[ENGINE].batch.jobs())
                self.assertGreater(running, 0)
                closed_at = monotonic_s()
                await close(bench)
                await load
                late = [at - closed_at for at in starts(bench, closed_at)]
                if reopen is not None:
                    await reopen(bench)
                await bench.finish()
                self.assertEqual(set(bench.statuses), {200})
                return bench, max(late, default=0.0)

        return run_virtual(run, FreezableLoop)

    def test_zone_out_and_back(self):
        async def close(bench):
            change = bench.fleet.zone_change(ZONE, out=True)
            await bench.fleet.apply(bench.fleet.ticket([change]))

        async def reopen(bench):
            change = bench.fleet.zone_change(ZONE)
            await bench.fleet.apply(bench.fleet.ticket([change]))
            self.assertEqual(bench.phase(ENGINE), "COLD")
            back_at = monotonic_s()
            for _ in range(12):
                bench.send("entry-1", answer=ANSWER_TOKENS)
            await asyncio.sleep(4)
            self.assertLessEqual(len(starts(bench, back_at)), 2)
            await bench.load(20, 4)
            self.assertEqual(bench.phase(ENGINE), "WARM")

        _, last_s = self.run_closing(close, reopen=reopen)
        self.assertLess(last_s, BOUND_S)

    def test_leaving_instance(self):
        async def close(bench):
            instances = bench.fleet.platform.instances
            instances.set(ENGINE, ZONE, InstanceState.LEAVING)

        _, last_s = self.run_closing(close)
        self.assertLess(last_s, BOUND_S + INSTANCE_LAG_S)

    def test_next_daemon_reads_the_instance_list(self):
        async def run():
            async with open_harness(daemons=3, engines=1) as bench:
                daemons = bench.fleet.daemons
                await asyncio.sleep(3)
                reader = next(
                    d.instance_list_reader
                    for d in daemons.values()
                    if d.instance_list_reader.last_read_succeeded
                )

                reader.store = FailingStore()
                instances = bench.fleet.platform.instances
                instances.set(ENGINE, ZONE, InstanceState.LEAVING)
                await asyncio.sleep(10)
                return [
                    d.endpoint_manager.is_unschedulable(ENGINE)
                    for d in daemons.values()
                ]

        self.assertEqual(run_virtual(run, FreezableLoop), [True] * 3)

    def test_engine_says_leaving(self):
        async def close(bench):
            bench.fleet.engines[ENGINE].leaving = True

        _, last_s = self.run_closing(close)
        self.assertLess(last_s, BOUND_S)

    def test_frozen_owner_thaws_after_the_ticket(self):
        async def close(bench):
            owner = bench.owner_of(ENGINE)
            number = number_of(owner)
            del bench.fleet.daemons[owner]  # no more load through it
            bench.fleet.freeze_daemon(number)
            await asyncio.sleep(5)
            change = bench.fleet.zone_change(ZONE, out=True)
            await bench.fleet.apply(bench.fleet.ticket([change]))
            self.out_at = monotonic_s()
            await asyncio.sleep(5)
            bench.fleet.thaw_daemon(number)
            bench.fleet.daemons[owner] = bench.fleet.running_daemons[
                owner
            ].daemon
            for _ in range(9):
                bench.send(owner)

        bench, _ = self.run_closing(close)
        late = starts(bench, self.out_at + BOUND_S)
        self.assertEqual(late, [])

    def test_only_endpoint_of_a_service(self):
        async def run():
            async with open_harness(daemons=2, engines=1) as bench:
                await bench.load(8, 2)
                await bench.finish()
                change = bench.fleet.zone_change(ZONE, out=True)
                await bench.fleet.apply(bench.fleet.ticket([change]))
                out_at = monotonic_s()
                bench.statuses.clear()
                await asyncio.gather(*(bench.send("entry-0") for _ in "123"))
                took_s = monotonic_s() - out_at
                return bench.statuses, took_s, starts(bench, out_at)

        statuses, took_s, started = run_virtual(run, FreezableLoop)
        self.assertEqual(statuses, [503] * 3)
        self.assertLess(took_s, 1)
        self.assertEqual(started, [])

"""Tests of the handover of endpoints at an owner's graceful stop."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.handover import Handover
from auburnswitch.endpoints.load_report import LoadReport
from auburnswitch.experiments.freezable_loop import FreezableLoop
from auburnswitch.schema.peers import EndpointPhase, HandoverRequest
from auburnswitch.standins.history import HistoryKind
from tests.endpoints.fleet_harness import number_of, open_harness
from tests.endpoints.manager_support import (
    make_endpoint_manager,
    make_reserve_request,
)
from tests.endpoints.test_cold_bound import cold_fleet_options
from tests.virtual_time import run_virtual

ENGINE = "engine-0"
HANDED_OVER_WITHIN_S = 3.0  # less than the wait without a handover


class HandoverTest(unittest.TestCase):
    def test_successor_adopts_phase_and_reservations(self):
        async def scenario():
            old, new = (
                make_endpoint_manager(),
                make_endpoint_manager(recovered=False),
            )
            warm_up = old.ledgers[ENGINE].warm_up
            warm_up.phase, warm_up.successes = EndpointPhase.WARMING, 9
            warm_up.window = 5
            await old.reserve(make_reserve_request(), "peer")
            new.ledgers.clear()
            request = HandoverRequest(endpoints=[ENGINE])
            Handover(endpoint_manager=old).fill_request(request)
            Handover(endpoint_manager=new).apply_request(request)
            new.on_load_report(ENGINE, LoadReport(boot_id="b1"), 0.0)
            ledger = new.ledgers[ENGINE]
            holder_ids = [r.member_id for r in ledger.reservations.values()]
            return ledger.phase, ledger.max_running, holder_ids

        self.assertEqual(
            run_virtual(scenario), (EndpointPhase.WARMING, 5, ["peer"])
        )

    def test_warm_endpoint_stays_warm(self):
        async def scenario():
            async with open_harness(daemons=3, engines=1) as harness:
                await harness.warm_up()
                owner = harness.owner_of(ENGINE)
                load = asyncio.create_task(harness.load(8, 4))
                await harness.fleet.stop_daemon(number_of(owner))
                await harness.wait_phase(ENGINE, "WARM")
                await load
                await harness.finish()
                successor = harness.fleet.daemons[harness.owner_of(ENGINE)]
                generation = successor.endpoint_manager.ledgers[
                    ENGINE
                ].warm_up.generation
                return set(harness.statuses), generation

        # Generation 1: a new ledger starts cold, then adopts the handover.
        self.assertEqual(run_virtual(scenario, FreezableLoop), ({200}, 1))

    def test_cold_endpoint_is_used_again_soon(self):
        async def scenario():
            async with open_harness(**cold_fleet_options()) as harness:
                await harness.load(10, 2, answer=16)
                owner = harness.owner_of(ENGINE)
                await harness.fleet.stop_daemon(number_of(owner))
                stopped_at = monotonic_s()
                await harness.load(8, 10, answer=2)
                await harness.finish()
                records = harness.fleet.history.select(
                    HistoryKind.REQUEST_STARTED, actor=ENGINE
                )
                return min(
                    r.time_s - stopped_at
                    for r in records
                    if r.time_s > stopped_at
                )

        self.assertLess(
            run_virtual(scenario, FreezableLoop), HANDED_OVER_WITHIN_S
        )

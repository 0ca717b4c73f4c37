"""Tests of freeing engine memory that no daemon claims, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from typing import TYPE_CHECKING

from aiohttp import ClientError

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import EndpointClient
from auburnswitch.endpoints.load_report import LoadReport
from auburnswitch.endpoints.orphans import OrphanCollector
from auburnswitch.experiments.freezable_loop import FreezableLoop
from auburnswitch.schema.objects import Member, Roster
from auburnswitch.schema.peers import ClaimsReply
from auburnswitch.schema.results import ResultCode
from auburnswitch.schema.settings import EndpointsSettings
from auburnswitch.standins.engine import open_engine
from auburnswitch.standins.history import HistoryKind, HistoryRecord
from tests.endpoints.fleet_harness import FleetHarness, number_of, open_harness
from tests.endpoints.manager_support import (
    make_endpoint_manager,
    make_reservation_client,
    make_reserve_request,
)
from tests.virtual_time import open_session, run_virtual

if TYPE_CHECKING:
    from aiohttp import ClientSession

ENGINE = "engine-0"
LONG_ANSWER_TOKENS = 1600  # 40 s at the engine's decode step
FREED_WITHIN_S = 30.0  # roster removal, lease wait, two rounds and the load lag
KV_CACHE = {"request_id": "gone", "attempt": 1, "prompt": "word" * 500}


async def wait_until_empty(harness: FleetHarness) -> float:
    """Waits until the engine's memory is free; returns the time in seconds."""
    start = monotonic_s()
    engine = harness.fleet.engines[ENGINE]
    async with asyncio.timeout(FREED_WITHIN_S):
        while engine.batch.memory_used_tokens:
            await asyncio.sleep(0.1)
    return monotonic_s() - start


async def start_long_requests(harness: FleetHarness, entry: str) -> None:
    """Starts two long requests through one daemon and waits for both to run."""
    for _ in range(2):
        harness.send(entry, answer=LONG_ANSWER_TOKENS)
    async with asyncio.timeout(FREED_WITHIN_S):
        while len(harness.fleet.engines[ENGINE].batch.jobs()) < 2:
            await asyncio.sleep(0.1)


async def send_as(session: ClientSession, url: str, member_id: str) -> None:
    """Runs a long completion under a daemon's member id."""
    headers = {
        "X-Request-Id": "foreign",
        "X-Attempt": "1",
        "X-Member-Id": member_id,
    }
    body = {
        "model": "",
        "prompt": "word" * 100,
        "max_tokens": LONG_ANSWER_TOKENS,
    }
    async with session.post(
        url + "/v1/completions", json=body, headers=headers
    ) as response:
        with contextlib.suppress(ClientError):
            await response.read()


def cancellations(harness: FleetHarness) -> list[HistoryRecord]:
    """Returns the cancellations that engines have recorded."""
    return list(harness.fleet.history.select(HistoryKind.REQUEST_CANCELLED))


def non_owner_instance(owner: str) -> str:
    """Returns an instance whose daemon is not the owner."""
    return "entry-0" if owner != "entry-0" else "entry-1"


class ClaimingLink:
    """A link to a daemon that claims all requested attempts or none."""

    def __init__(self) -> None:
        self.claims = True

    async def call(self, request):
        """Returns the attempts that the daemon claims."""
        return ClaimsReply(attempts=request.attempts if self.claims else [])


@contextlib.asynccontextmanager
async def open_collector():
    """Opens an engine that runs a member's work and the owner's collector."""
    async with open_engine(name=ENGINE) as engine, open_session() as session:
        manager = make_endpoint_manager(port=int(engine.url.rpartition(":")[2]))
        members = [Member(id="me"), Member(id="p")]
        manager.view.adopt_roster(Roster(epoch=1, members=members))
        collector = OrphanCollector(
            endpoint_manager=manager,
            reservations=make_reservation_client(manager),
            client=EndpointClient(
                session=session, settings=EndpointsSettings()
            ),
        )
        manager.ledgers[ENGINE].load = LoadReport(boot_id="b1", running=1)
        running = asyncio.create_task(send_as(session, engine.url, "p"))
        await asyncio.sleep(1)
        yield engine, collector
        await running


class WorkListTest(unittest.TestCase):
    def test_listed_work_counts_against_the_cold_limit(self):
        async def scenario():
            async with open_collector() as (_, collector):
                manager = collector.endpoint_manager
                ledger = manager.ledgers[ENGINE]
                ledger.work_listed_at = float("-inf")
                codes = [
                    (await manager.reserve(make_reserve_request(), "me")).code
                ]
                await collector.collect_if_due(ledger)
                for _ in range(2):
                    codes.append(
                        (
                            await manager.reserve(make_reserve_request(), "me")
                        ).code
                    )
                return codes

        self.assertEqual(
            run_virtual(scenario),
            [
                ResultCode.OWNERSHIP_PENDING,
                ResultCode.OK,
                ResultCode.QUEUE_FULL,
            ],
        )

    def test_live_daemon_is_queried_for_its_claims(self):
        async def scenario():
            async with open_collector() as (engine, collector):
                link = ClaimingLink()
                collector.reservations.membership.links["p"] = link
                ledger = collector.endpoint_manager.ledgers[ENGINE]
                in_use = []
                for claims in (True, False):
                    link.claims = claims
                    for _ in range(6):
                        peer = collector.endpoint_manager.view.peers["p"]
                        peer.last_received_at = monotonic_s()
                        await asyncio.sleep(2)
                        await collector.collect_if_due(ledger)
                    in_use.append(engine.batch.memory_used_tokens > 0)
                return in_use

        self.assertEqual(run_virtual(scenario), [True, False])


class OrphanTest(unittest.TestCase):
    def run_harness(self, scenario, **options):
        """Runs a scenario on one engine and five daemons."""

        async def run():
            async with open_harness(daemons=5, engines=1, **options) as harness:
                return await scenario(harness)

        return run_virtual(run, FreezableLoop)

    def test_entry_daemon_is_killed(self):
        async def scenario(harness):
            entry = non_owner_instance(harness.owner_of(ENGINE))
            await start_long_requests(harness, entry)
            harness.fleet.kill_daemon(number_of(entry))
            return await wait_until_empty(harness)

        self.assertLess(self.run_harness(scenario), FREED_WITHIN_S)

    def test_entry_daemon_and_owner_are_killed_together(self):
        async def scenario(harness):
            owner = harness.owner_of(ENGINE)
            entry = non_owner_instance(owner)
            await start_long_requests(harness, entry)
            harness.fleet.kill_daemon(number_of(entry))
            harness.fleet.kill_daemon(number_of(owner))
            load = asyncio.create_task(harness.load(30, 2))
            took_s = await wait_until_streams_end(harness, entry)
            await load
            self.assertEqual(harness.crashed_engines(), [])
            return took_s

        self.assertLess(self.run_harness(scenario), FREED_WITHIN_S)

    def test_unclaimed_kv_cache(self):
        async def scenario(harness):
            await asyncio.sleep(8)
            url = harness.fleet.engines[ENGINE].url + "/v1/prefill"
            headers = {"X-Member-Id": "entry-9.gone", "X-Request-Id": "gone"}
            async with harness.fleet.session.post(
                url, json=KV_CACHE, headers=headers | {"X-Attempt": "1"}
            ) as response:
                self.assertEqual(response.status, 200)
            return await wait_until_empty(harness)

        self.assertLess(self.run_harness(scenario), 10)

    def test_slow_heartbeats_cancel_no_work(self):
        def customize_settings(settings):
            settings.members.heartbeat_interval_s = 5
            settings.members.suspect_after_s = 11
            settings.members.strict_lease_s = 11
            settings.members.isolated_after_s = 11
            settings.members.remove_after_s = 30

        async def scenario(harness):
            await asyncio.sleep(30)
            entry = non_owner_instance(harness.owner_of(ENGINE))
            await start_long_requests(harness, entry)
            await harness.finish()
            return harness.statuses, cancellations(harness)

        self.assertEqual(
            self.run_harness(scenario, customize_settings=customize_settings),
            ([200, 200], []),
        )

    def test_work_of_a_frozen_daemon_runs_while_it_is_a_member(self):
        def customize_settings(settings):
            settings.members.remove_after_s = 60

        async def scenario(harness):
            entry = non_owner_instance(harness.owner_of(ENGINE))
            await start_long_requests(harness, entry)
            harness.fleet.freeze_daemon(number_of(entry))
            await asyncio.sleep(25)
            harness.fleet.thaw_daemon(number_of(entry))
            await harness.finish()
            return harness.statuses, cancellations(harness)

        self.assertEqual(
            self.run_harness(scenario, customize_settings=customize_settings),
            ([200, 200], []),
        )


async def wait_until_streams_end(harness: FleetHarness, entry: str) -> float:
    """Waits until a daemon's streams end; returns the time in seconds."""
    start = monotonic_s()
    engine = harness.fleet.engines[ENGINE]
    async with asyncio.timeout(FREED_WITHIN_S):
        while any(j.member_id.startswith(entry) for j in engine.batch.jobs()):
            await asyncio.sleep(0.1)
    return monotonic_s() - start

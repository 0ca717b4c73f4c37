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
LONG_ANSWER = 1600  # 40 s at the engine's decode step
FREED_WITHIN_S = 30.0  # removal, strict wait, two rounds and the lag
KV_CACHE = {"request_id": "gone", "attempt": 1, "prompt": "word" * 500}


async def wait_empty(bench: FleetHarness) -> float:
    """Returns the time until the engine's memory is free, in seconds."""
    start = monotonic_s()
    engine = bench.fleet.engines[ENGINE]
    async with asyncio.timeout(FREED_WITHIN_S):
        while engine.batch.memory_used_tokens:
            await asyncio.sleep(0.1)
    return monotonic_s() - start


async def hold_work(bench: FleetHarness, entry: str) -> None:
    """Waits until two long answers run that came through one daemon."""
    for _ in range(2):
        bench.send(entry, answer=LONG_ANSWER)
    async with asyncio.timeout(FREED_WITHIN_S):
        while len(bench.fleet.engines[ENGINE].batch.jobs()) < 2:
            await asyncio.sleep(0.1)


async def send_as(web: ClientSession, url: str, member_id: str) -> None:
    """Runs a long completion under a daemon's name."""
    headers = {
        "X-Request-Id": "foreign",
        "X-Attempt": "1",
        "X-Member-Id": member_id,
    }
    body = {"model": "", "prompt": "word" * 100, "max_tokens": LONG_ANSWER}
    async with web.post(
        url + "/v1/completions", json=body, headers=headers
    ) as response:
        with contextlib.suppress(ClientError):
            await response.read()


def cancelled(bench: FleetHarness) -> list[HistoryRecord]:
    """Returns the cancellations that engines have carried out."""
    return list(bench.fleet.history.select(HistoryKind.REQUEST_CANCELLED))


def entry_apart_from(owner: str) -> str:
    """Returns a daemon that is not the owner."""
    return "entry-0" if owner != "entry-0" else "entry-1"


class ClaimingLink:
    """A link to a daemon that claims what it is asked for, or nothing."""

    def __init__(self) -> None:
        self.claims = True

    async def call(self, request):
        """Answers which attempts the daemon still has."""
        return ClaimsReply(attempts=request.attempts if self.claims else [])


@contextlib.asynccontextmanager
async def open_survey():
    """Opens an engine that runs a member's work, and the owner's collector."""
    async with open_engine(name=ENGINE) as engine, open_session() as web:
        table = make_endpoint_manager(port=int(engine.url.rpartition(":")[2]))
        members = [Member(id="me"), Member(id="p")]
        table.view.adopt_roster(Roster(epoch=1, members=members))
        collector = OrphanCollector(
            endpoint_manager=table,
            reservations=make_reservation_client(table),
            client=EndpointClient(session=web, settings=EndpointsSettings()),
        )
        table.ledgers[ENGINE].load = LoadReport(boot_id="b1", running=1)
        running = asyncio.create_task(send_as(web, engine.url, "p"))
        await asyncio.sleep(1)
        yield engine, collector
        await running


class SurveyTest(unittest.TestCase):
    def test_listed_work_counts_against_the_cold_bound(self):
        async def scenario():
            async with open_survey() as (_, collector):
                table = collector.endpoint_manager
                ledger = table.ledgers[ENGINE]
                ledger.work_listed_at = float("-inf")
                codes = [
                    (await table.reserve(make_reserve_request(), "me")).code
                ]
                await collector.collect_if_due(ledger)
                for _ in range(2):
                    codes.append(
                        (await table.reserve(make_reserve_request(), "me")).code
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

    def test_daemon_that_is_heard_is_asked(self):
        async def scenario():
            async with open_survey() as (engine, collector):
                link = ClaimingLink()
                collector.reservations.membership.links["p"] = link
                ledger = collector.endpoint_manager.ledgers[ENGINE]
                used = []
                for claims in (True, False):
                    link.claims = claims
                    for _ in range(6):
                        peer = collector.endpoint_manager.view.peers["p"]
                        peer.last_received_at = monotonic_s()
                        await asyncio.sleep(2)
                        await collector.collect_if_due(ledger)
                    used.append(engine.batch.memory_used_tokens > 0)
                return used

        self.assertEqual(run_virtual(scenario), [True, False])


class OrphanTest(unittest.TestCase):
    def run_bench(self, scenario, **options):
        """Runs a scenario on one engine and five daemons."""

        async def run():
            async with open_harness(daemons=5, engines=1, **options) as bench:
                return await scenario(bench)

        return run_virtual(run, FreezableLoop)

    def test_entry_daemon_is_killed(self):
        async def scenario(bench):
            entry = entry_apart_from(bench.owner_of(ENGINE))
            await hold_work(bench, entry)
            bench.fleet.kill_daemon(number_of(entry))
            return await wait_empty(bench)

        self.assertLess(self.run_bench(scenario), FREED_WITHIN_S)

    def test_entry_daemon_and_owner_are_killed_together(self):
        async def scenario(bench):
            owner = bench.owner_of(ENGINE)
            entry = entry_apart_from(owner)
            await hold_work(bench, entry)
            bench.fleet.kill_daemon(number_of(entry))
            bench.fleet.kill_daemon(number_of(owner))
            load = asyncio.create_task(bench.load(30, 2))
            took_s = await wait_empty_of(bench, entry)
            await load
            self.assertEqual(bench.crashes(), [])
            return took_s

        self.assertLess(self.run_bench(scenario), FREED_WITHIN_S)

    def test_unclaimed_kv_cache(self):
        async def scenario(bench):
            await asyncio.sleep(8)
            url = bench.fleet.engines[ENGINE].url + "/v1/prefill"
            headers = {"X-Member-Id": "entry-9.gone", "X-Request-Id": "gone"}
            async with bench.fleet.session.post(
                url, json=KV_CACHE, headers=headers | {"X-Attempt": "1"}
            ) as response:
                self.assertEqual(response.status, 200)
            return await wait_empty(bench)

        self.assertLess(self.run_bench(scenario), 10)

    def test_slow_heartbeats_lose_no_work(self):
        def customize_settings(settings):
            settings.members.heartbeat_interval_s = 5
            settings.members.suspect_after_s = 11
            settings.members.strict_lease_s = 11
            settings.members.isolated_after_s = 11
            settings.members.remove_after_s = 30

        async def scenario(bench):
            await asyncio.sleep(30)
            entry = entry_apart_from(bench.owner_of(ENGINE))
            await hold_work(bench, entry)
            await bench.finish()
            return bench.statuses, cancelled(bench)

        self.assertEqual(
            self.run_bench(scenario, customize_settings=customize_settings),
            ([200, 200], []),
        )

    def test_frozen_daemon_keeps_its_work_while_it_is_a_member(self):
        def customize_settings(settings):
            settings.members.remove_after_s = 60

        async def scenario(bench):
            entry = entry_apart_from(bench.owner_of(ENGINE))
            await hold_work(bench, entry)
            bench.fleet.freeze_daemon(number_of(entry))
            await asyncio.sleep(25)
            bench.fleet.thaw_daemon(number_of(entry))
            await bench.finish()
            return bench.statuses, cancelled(bench)

        self.assertEqual(
            self.run_bench(scenario, customize_settings=customize_settings),
            ([200, 200], []),
        )


async def wait_empty_of(bench: FleetHarness, entry: str) -> float:
    """Returns the time until no stream of a daemon is left, in seconds."""
    start = monotonic_s()
    engine = bench.fleet.engines[ENGINE]
    async with asyncio.timeout(FREED_WITHIN_S):
        while any(j.member_id.startswith(entry) for j in engine.batch.jobs()):
            await asyncio.sleep(0.1)
    return monotonic_s() - start

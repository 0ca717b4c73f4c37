"""Tests of orders to engines with fencing numbers."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from expression import Ok

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import EndpointClient
from auburnswitch.endpoints.engine_reconciler import EngineReconciler
from auburnswitch.endpoints.fencing import FencingNumberAllocator
from auburnswitch.endpoints.model_load_limiter import ModelLoadLimiter
from auburnswitch.experiments.fleet import MODEL, FleetOptions
from auburnswitch.experiments.freezable_loop import FreezableLoop
from auburnswitch.object_store.client import ObjectStoreClient
from auburnswitch.observe.tasks import open_task_set
from auburnswitch.schema.objects import Change, Endpoint, ObjectKind
from auburnswitch.schema.settings import EndpointsSettings, PlatformSettings
from auburnswitch.standins.engine import open_engine
from auburnswitch.standins.engine_options import EngineOptions
from auburnswitch.standins.history import HistoryKind
from auburnswitch.standins.platform import open_platform
from auburnswitch.standins.weight_store import open_weight_store
from tests.endpoints.fleet_harness import FleetHarness, number_of, open_harness
from tests.endpoints.manager_support import ENGINE, make_endpoint_manager
from tests.virtual_time import open_session, run_virtual

ZONE = FleetOptions().zones[0]


def model_version_change(harness: FleetHarness, version: str) -> Change:
    """Returns the change that sets the engine's model version."""
    engine = harness.fleet.engines[ENGINE]
    host, _, port = engine.url.removeprefix("http://").partition(":")
    spec = Endpoint(
        service=MODEL,
        zone=ZONE,
        host=host,
        port=int(port),
        model_version=version,
    )
    return Change(kind=ObjectKind.ENDPOINT, name=ENGINE, endpoint=spec)


async def wait_version(harness: FleetHarness, version: str) -> None:
    """Waits until the engine has loaded a version."""
    async with asyncio.timeout(60):
        while harness.fleet.engines[ENGINE].order_state.version != version:
            await asyncio.sleep(0.1)


class LeaseLosingAllocator:
    """Loses the lease while it allocates, as if the daemon were paused."""

    def __init__(self, leases) -> None:
        self.leases = leases

    async def allocate(self, _, *, last_seen=0):
        """Revokes the lease and allocates a number."""
        self.leases.held = False
        return Ok(last_seen + 1)


@contextlib.asynccontextmanager
async def open_reconciler(make_allocator, *, weight_url="", **engine_options):
    """Opens an engine and the reconciler of an owner without peers."""
    options = EngineOptions(**engine_options)
    async with (
        open_session() as session,
        open_engine(options=options, name=ENGINE) as engine,
        open_task_set() as tasks,
    ):
        port = engine.url.rpartition(":")[2]
        manager = make_endpoint_manager(model_version="v2", port=int(port))
        settings = EndpointsSettings(weight_store_url=weight_url)
        reconciler = EngineReconciler(
            endpoint_manager=manager,
            client=EndpointClient(session=session, settings=settings),
            fencing_numbers=make_allocator(manager, session),
            model_load_limiter=ModelLoadLimiter(
                settings=settings, session=session, count_daemons=lambda: 1
            ),
            tasks=tasks,
        )
        tasks.start(reconciler.run(), "orders")
        yield engine, reconciler


class OrderTest(unittest.TestCase):
    def test_fencing_numbers_increase_across_a_take_over(self):
        async def scenario():
            async with open_harness(daemons=4, engines=1) as harness:
                ticket = harness.fleet.ticket(
                    [model_version_change(harness, "v2")]
                )
                await harness.fleet.apply(ticket)
                await wait_version(harness, "v2")
                owner = harness.owner_of(ENGINE)
                harness.fleet.freeze_daemon(number_of(owner))
                await asyncio.sleep(20)
                other = next(i for i in harness.fleet.daemons if i != owner)
                ticket = harness.fleet.ticket(
                    [model_version_change(harness, "v3")]
                )
                await harness.fleet.apply(ticket, other)
                await wait_version(harness, "v3")
                harness.fleet.thaw_daemon(number_of(owner))
                await asyncio.sleep(40)
                version = harness.fleet.engines[ENGINE].order_state.version
                records = harness.fleet.history.select(
                    HistoryKind.ORDER_APPLIED
                )
                return version, [r.fields["fencing_number"] for r in records]

        version, fencing_numbers = run_virtual(scenario, FreezableLoop)
        self.assertEqual(version, "v3")
        self.assertEqual(fencing_numbers, [1, 2])

    def test_no_order_after_the_lease_has_expired(self):
        async def scenario():
            def make_allocator(manager, _):
                return LeaseLosingAllocator(manager.leases)

            async with open_reconciler(
                make_allocator, checks_fencing=False
            ) as (
                engine,
                _,
            ):
                await asyncio.sleep(10)
                return engine.order_state.fencing_number

        self.assertEqual(run_virtual(scenario), 0)

    def test_lost_store_response_and_higher_number_at_the_engine(self):
        async def scenario():
            async with open_platform() as platform, open_session() as session:
                settings = PlatformSettings(url=platform.url)
                store = ObjectStoreClient(settings=settings, session=session)
                fencing_numbers = FencingNumberAllocator(
                    store=store, member_id="me"
                )
                async with open_reconciler(lambda *_: fencing_numbers) as (
                    engine,
                    _,
                ):
                    engine.order_state.fencing_number = 7
                    await asyncio.sleep(10)
                    found = (
                        engine.order_state.version,
                        engine.order_state.fencing_number,
                    )
                    platform.lose_answers = 1
                    allocated = await fencing_numbers.allocate(ENGINE)
                    return *found, allocated

        version, number, allocated = run_virtual(scenario)
        self.assertEqual((version, number), ("v2", 8))
        self.assertEqual(allocated, Ok(9))

    def test_order_of_another_owner_is_read_back_and_corrected(self):
        async def scenario():
            class CountingAllocator:
                number = 0

                async def allocate(self, _, *, last_seen=0):
                    self.number += 1
                    return Ok(self.number)

            async with open_reconciler(
                lambda *_: CountingAllocator(), checks_fencing=False
            ) as (engine, _):
                await asyncio.sleep(10)
                first_version = engine.order_state.version
                # An outdated order arrived late.
                engine.order_state.version = "v1"
                await asyncio.sleep(60)
                return first_version, engine.order_state.version

        self.assertEqual(run_virtual(scenario), ("v2", "v2"))

    def test_loads_stay_within_the_weight_store_rate(self):
        async def scenario():
            async with open_weight_store(burst_loads=1) as weights:
                async with open_session() as session:
                    settings = EndpointsSettings(weight_store_url=weights.url)
                    model_load_limiter = ModelLoadLimiter(
                        settings=settings,
                        session=session,
                        count_daemons=lambda: 3,
                    )
                    granted = 0
                    end_at = monotonic_s() + 60
                    while monotonic_s() < end_at:
                        granted += await model_load_limiter.may_load("m", "v2")
                        await asyncio.sleep(0.5)
                return granted, weights.rejected_loads

        granted, refused = run_virtual(scenario)
        self.assertEqual(granted, 8)  # 0.4 loads/s shared by three daemons
        self.assertEqual(refused, 0)

"""Tests of granting, dispatching and releasing reservations."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.endpoints.client import Attempt
from auburnswitch.endpoints.load_report import LoadReport
from auburnswitch.endpoints.reservations import DispatchRefusedError
from auburnswitch.observe.tasks import open_task_set
from auburnswitch.schema.objects import Ticket
from auburnswitch.schema.peers import (
    Done,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
)
from auburnswitch.schema.results import ResultCode
from auburnswitch.schema.settings import PeersSettings
from tests.endpoints.manager_support import (
    ENGINE,
    make_changes,
    make_endpoint,
    make_endpoint_manager,
    make_reservation_client,
    make_reserve_request,
)
from tests.virtual_time import run_virtual

ATTEMPT = Attempt(request_id="r1", number=1, member_id="me")


class SlowLink:
    """A link to an owner that grants after a delay."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.released: list[str] = []
        self.settings = PeersSettings()

    async def call(self, body, timeout_s=None):
        """Returns the reply to a call."""
        if isinstance(body, ReserveRequest):
            await asyncio.sleep(self.delay_s)
            return ReserveReply(reservation_id="late")
        if isinstance(body, ReleaseRequest):
            self.released.append(body.reservation_id)
        return Done()


class OtherOwner:
    """Ownership by another daemon."""

    def owner_of(self, _: str) -> str:
        """Returns the owner."""
        return "peer"


def release_of(reply: ReserveReply) -> ReleaseRequest:
    """Returns the message that releases a reservation."""
    return ReleaseRequest(endpoint=ENGINE, reservation_id=reply.reservation_id)


class ReservationTest(unittest.TestCase):
    def test_request_that_cannot_start_in_time_is_refused_at_once(self):
        async def scenario():
            return await make_endpoint_manager().reserve(
                make_reserve_request(time_left_s=0.001), "me"
            )

        reply = run_virtual(scenario)
        self.assertEqual(reply.code, ResultCode.QUEUE_FULL)
        self.assertGreater(reply.retry_after_s, 0)

    def test_unused_reservation_expires_by_the_requesters_clock(self):
        async def scenario():
            client = make_reservation_client(make_endpoint_manager())
            held = await client.reserve(make_reserve_request())
            await asyncio.sleep(1.01)  # simulates a pause before the dispatch
            with self.assertRaises(DispatchRefusedError):
                client.begin_dispatch(held, ATTEMPT)
            fresh = await client.reserve(make_reserve_request())
            client.begin_dispatch(fresh, ATTEMPT)
            await client.release(held, succeeded=False)
            return len(client.endpoint_manager.ledgers[ENGINE].reservations)

        self.assertEqual(run_virtual(scenario), 1)

    def test_time_in_the_queue_does_not_count_towards_expiry(self):
        async def scenario():
            manager = make_endpoint_manager(cold_max_running=1)
            client = make_reservation_client(manager)
            first = await client.reserve(make_reserve_request())
            waiting = asyncio.create_task(
                client.reserve(make_reserve_request(max_wait_s=5))
            )
            await asyncio.sleep(3)
            await client.release(first, succeeded=False)
            second = await waiting
            return second.dispatch_deadline - asyncio.get_running_loop().time()

        self.assertAlmostEqual(run_virtual(scenario), 1.0, places=6)

    def test_zone_out_after_the_grant_prevents_the_dispatch(self):
        async def scenario():
            manager = make_endpoint_manager()
            client = make_reservation_client(manager)
            held = await client.reserve(make_reserve_request())
            out = make_changes(make_endpoint(), zone_out=True)
            manager.state.join_ticket(Ticket(number=2, changes=out))
            with self.assertRaises(DispatchRefusedError):
                client.begin_dispatch(held, ATTEMPT)
            return (await client.reserve(make_reserve_request())).code

        self.assertEqual(run_virtual(scenario), ResultCode.NO_ENDPOINT)

    def test_late_grant_is_released(self):
        async def scenario():
            client = make_reservation_client(make_endpoint_manager())
            link = SlowLink(3)
            client.endpoint_manager.owners = OtherOwner()
            client.membership.links["peer"] = link
            async with open_task_set() as tasks:
                client.membership.tasks = tasks
                reply = await client.reserve(make_reserve_request(max_wait_s=1))
                cancelled = asyncio.create_task(
                    client.reserve(make_reserve_request())
                )
                await asyncio.sleep(0.5)
                cancelled.cancel()
                await asyncio.sleep(5)
            return reply.code, link.released

        code, released = run_virtual(scenario)
        self.assertEqual(code, ResultCode.PEER_UNREACHABLE)
        self.assertEqual(released, ["late", "late"])

    def test_cancelled_requester_holds_no_reservation(self):
        async def scenario():
            manager = make_endpoint_manager(cold_max_running=1)
            ledger = manager.ledgers[ENGINE]
            first = await manager.reserve(make_reserve_request(), "peer")
            granted = asyncio.create_task(
                manager.reserve(make_reserve_request(max_wait_s=9), "p")
            )
            await asyncio.sleep(0.01)
            manager.release(release_of(first))
            granted.cancel()  # granted, but the reply is not sent yet
            await asyncio.sleep(0.01)
            after_cancel = len(ledger.reservations)
            second = await manager.reserve(make_reserve_request(), "peer")
            waiter = asyncio.create_task(
                manager.reserve(make_reserve_request(max_wait_s=9), "p")
            )
            await asyncio.sleep(0.01)
            waiter.cancel()
            await asyncio.sleep(0.01)
            manager.release(release_of(second))
            return after_cancel, len(ledger.reservations)

        self.assertEqual(run_virtual(scenario), (0, 0))

    def test_release_counts_once(self):
        async def scenario():
            manager = make_endpoint_manager()
            client = make_reservation_client(manager)
            held = await client.reserve(make_reserve_request())
            client.begin_dispatch(held, ATTEMPT)
            work = held.work
            await client.release(held, succeeded=True)
            await client.release(held, succeeded=True)
            manager.release(
                ReleaseRequest(
                    endpoint=ENGINE,
                    reservation_id=held.id,
                    used=True,
                    succeeded=True,
                )
            )
            # The report was sent before the release.
            manager.reservation_reconciler.record_report("me", [work])
            ledger = manager.ledgers[ENGINE]
            return ledger.warm_up.successes, len(ledger.reservations)

        self.assertEqual(run_virtual(scenario), (1, 0))

    def test_cold_endpoint_without_a_lease_is_refused_at_once(self):
        async def scenario():
            manager = make_endpoint_manager()
            manager.leases.held = False
            start = asyncio.get_running_loop().time()
            reply = await manager.reserve(
                make_reserve_request(max_wait_s=5), "me"
            )
            return reply.code, asyncio.get_running_loop().time() - start

        self.assertEqual(
            run_virtual(scenario), (ResultCode.OWNERSHIP_PENDING, 0.0)
        )

    def test_isolated_daemon_dispatches_nothing(self):
        async def scenario():
            client = make_reservation_client(make_endpoint_manager())
            held = await client.reserve(make_reserve_request())
            client.membership.isolated = True
            with self.assertRaises(DispatchRefusedError):
                client.begin_dispatch(held, ATTEMPT)

        run_virtual(scenario)

    def test_regained_lease_requires_a_new_work_list(self):
        async def scenario():
            manager = make_endpoint_manager()
            ledger = manager.ledgers[ENGINE]
            codes = [(await manager.reserve(make_reserve_request(), "me")).code]
            manager.leases.held = False
            codes.append(
                (await manager.reserve(make_reserve_request(), "me")).code
            )
            await asyncio.sleep(10)
            manager.leases.held = True
            codes.append(
                (await manager.reserve(make_reserve_request(), "me")).code
            )
            ledger.work_listed_at = asyncio.get_running_loop().time()
            codes.append(
                (await manager.reserve(make_reserve_request(), "me")).code
            )
            return codes

        pending = ResultCode.OWNERSHIP_PENDING
        self.assertEqual(
            run_virtual(scenario),
            [ResultCode.OK, pending, pending, ResultCode.OK],
        )

    def test_lost_release_is_corrected_by_reports(self):
        async def scenario():
            manager = make_endpoint_manager()
            reply = await manager.reserve(make_reserve_request(), "peer")
            counts = []
            for _ in range(4):
                manager.reservation_reconciler.record_report("peer", [])
                counts.append(len(manager.ledgers[ENGINE].reservations))
                await asyncio.sleep(1.5)
            return reply.code, counts

        self.assertEqual(run_virtual(scenario), (ResultCode.OK, [1, 1, 1, 0]))

    def test_grant_on_an_earlier_boot_id_is_not_dispatched(self):
        async def scenario():
            manager = make_endpoint_manager()
            client = make_reservation_client(manager)
            held = await client.reserve(make_reserve_request())
            manager.on_load_report(ENGINE, LoadReport(boot_id="b2"), 0.0)
            with self.assertRaises(DispatchRefusedError):
                client.begin_dispatch(held, ATTEMPT)

        run_virtual(scenario)

    def test_release_reaches_the_ledger_of_a_former_owner(self):
        async def scenario():
            manager = make_endpoint_manager()
            client = make_reservation_client(manager)
            held = await client.reserve(make_reserve_request())
            held.owner_id = "peer"
            manager.owners = OtherOwner()
            await client.release(held, succeeded=False)
            return len(manager.ledgers[ENGINE].reservations)

        self.assertEqual(run_virtual(scenario), 0)

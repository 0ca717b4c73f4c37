"""Tests of granting, using and giving back reservations."""

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
    changes,
    endpoint,
    make_endpoint_manager,
    make_reservation_client,
    make_reserve_request,
)
from tests.virtual_time import run_virtual

ATTEMPT = Attempt(request_id="r1", number=1, member_id="me")


class SlowLink:
    """A link to an owner that grants late."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.released: list[str] = []
        self.settings = PeersSettings()

    async def call(self, body, timeout_s=None):
        """Answers a call."""
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
    """Returns the message that gives a reservation back."""
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

    def test_unused_reservation_expires_by_the_askers_clock(self):
        async def scenario():
            client = make_reservation_client(make_endpoint_manager())
            held = await client.reserve(make_reserve_request())
            await asyncio.sleep(1.01)  # as a pause before the dispatch would
            with self.assertRaises(DispatchRefusedError):
                client.begin_dispatch(held, ATTEMPT)
            fresh = await client.reserve(make_reserve_request())
            client.begin_dispatch(fresh, ATTEMPT)
            await client.release(held, succeeded=False)
            return len(client.endpoint_manager.ledgers[ENGINE].reservations)

        self.assertEqual(run_virtual(scenario), 1)

    def test_time_in_the_queue_does_not_count(self):
        async def scenario():
            table = make_endpoint_manager(cold_max_running=1)
            client = make_reservation_client(table)
            first = await client.reserve(make_reserve_request())
            waiting = asyncio.create_task(
                client.reserve(make_reserve_request(max_wait_s=5))
            )
            await asyncio.sleep(3)
            await client.release(first, succeeded=False)
            second = await waiting
            return second.dispatch_deadline - asyncio.get_running_loop().time()

        self.assertAlmostEqual(run_virtual(scenario), 1.0, places=6)

    def test_zone_out_after_the_grant_stops_the_dispatch(self):
        async def scenario():
            table = make_endpoint_manager()
            client = make_reservation_client(table)
            held = await client.reserve(make_reserve_request())
            out = changes(endpoint(), zone_out=True)
            table.state.join_ticket(Ticket(number=2, changes=out))
            with self.assertRaises(DispatchRefusedError):
                client.begin_dispatch(held, ATTEMPT)
            return (await client.reserve(make_reserve_request())).code

        self.assertEqual(run_virtual(scenario), ResultCode.NO_ENDPOINT)

    def test_late_grant_is_given_back(self):
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

    def test_vanished_asker_keeps_no_room(self):
        async def scenario():
            table = make_endpoint_manager(cold_max_running=1)
            ledger = table.ledgers[ENGINE]
            first = await table.reserve(make_reserve_request(), "peer")
            granted = asyncio.create_task(
                table.reserve(make_reserve_request(max_wait_s=9), "p")
            )
            await asyncio.sleep(0.01)
            table.release(release_of(first))
            granted.cancel()  # granted, but the reply is not sent yet
            await asyncio.sleep(0.01)
            after_cancel = len(ledger.reservations)
            second = await table.reserve(make_reserve_request(), "peer")
            waiter = asyncio.create_task(
                table.reserve(make_reserve_request(max_wait_s=9), "p")
            )
            await asyncio.sleep(0.01)
            waiter.cancel()
            await asyncio.sleep(0.01)
            table.release(release_of(second))
            return after_cancel, len(ledger.reservations)

        self.assertEqual(run_virtual(scenario), (0, 0))

    def test_release_counts_once(self):
        async def scenario():
            table = make_endpoint_manager()
            client = make_reservation_client(table)
            held = await client.reserve(make_reserve_request())
            client.begin_dispatch(held, ATTEMPT)
            work = held.work
            await client.release(held, succeeded=True)
            await client.release(held, succeeded=True)
            table.release(
                ReleaseRequest(
                    endpoint=ENGINE,
                    reservation_id=held.id,
                    used=True,
                    succeeded=True,
                )
            )
            table.reservation_reconciler.note_report(
                "me", [work]
            )  # crossed the release
            ledger = table.ledgers[ENGINE]
            return ledger.warm_up.successes, len(ledger.reservations)

        self.assertEqual(run_virtual(scenario), (1, 0))

    def test_cold_endpoint_needs_strict_rights_and_says_so_at_once(self):
        async def scenario():
            table = make_endpoint_manager()
            table.rights.strict = False
            start = asyncio.get_running_loop().time()
            reply = await table.reserve(
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

    def test_regained_rights_need_a_new_survey(self):
        async def scenario():
            table = make_endpoint_manager()
            ledger = table.ledgers[ENGINE]
            codes = [(await table.reserve(make_reserve_request(), "me")).code]
            table.rights.strict = False
            codes.append(
                (await table.reserve(make_reserve_request(), "me")).code
            )
            await asyncio.sleep(10)
            table.rights.strict = True
            codes.append(
                (await table.reserve(make_reserve_request(), "me")).code
            )
            ledger.work_listed_at = asyncio.get_running_loop().time()
            codes.append(
                (await table.reserve(make_reserve_request(), "me")).code
            )
            return codes

        pending = ResultCode.OWNERSHIP_PENDING
        self.assertEqual(
            run_virtual(scenario),
            [ResultCode.OK, pending, pending, ResultCode.OK],
        )

    def test_lost_release_is_made_good_by_reports(self):
        async def scenario():
            table = make_endpoint_manager()
            reply = await table.reserve(make_reserve_request(), "peer")
            counts = []
            for _ in range(4):
                table.reservation_reconciler.note_report("peer", [])
                counts.append(len(table.ledgers[ENGINE].reservations))
                await asyncio.sleep(1.5)
            return reply.code, counts

        self.assertEqual(run_virtual(scenario), (ResultCode.OK, [1, 1, 1, 0]))

    def test_grant_on_an_earlier_start_is_not_used(self):
        async def scenario():
            table = make_endpoint_manager()
            client = make_reservation_client(table)
            held = await client.reserve(make_reserve_request())
            table.note_load(ENGINE, LoadReport(boot_id="b2"), 0.0)
            with self.assertRaises(DispatchRefusedError):
                client.begin_dispatch(held, ATTEMPT)

        run_virtual(scenario)

    def test_release_reaches_a_ledger_that_is_being_given_up(self):
        async def scenario():
            table = make_endpoint_manager()
            client = make_reservation_client(table)
            held = await client.reserve(make_reserve_request())
            held.owner_id = "peer"
            table.owners = OtherOwner()
            await client.release(held, succeeded=False)
            return len(table.ledgers[ENGINE].reservations)

        self.assertEqual(run_virtual(scenario), 0)

"""Tests of granting, using and giving back reservations."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.endpoints.client import Attempt
from auburnswitch.endpoints.load import LoadReport
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
from tests.endpoints.owners import (
    ENGINE,
    ask,
    changes,
    client_of,
    endpoint,
    open_table,
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
            return await open_table().reserve(ask(time_left_s=0.001), "me")

        reply = run_virtual(scenario)
        self.assertEqual(reply.code, ResultCode.QUEUE_FULL)
        self.assertGreater(reply.retry_after_s, 0)

    def test_unused_reservation_expires_by_the_askers_clock(self):
        async def scenario():
            client = client_of(open_table())
            held = await client.reserve(ask())
            await asyncio.sleep(1.01)  # as a pause before the dispatch would
            with self.assertRaises(DispatchRefusedError):
                client.begin(held, ATTEMPT)
            fresh = await client.reserve(ask())
            client.begin(fresh, ATTEMPT)
            await client.release(held, succeeded=False)
            return len(client.owner_table.ledgers[ENGINE].reservations)

        self.assertEqual(run_virtual(scenario), 1)

    def test_time_in_the_queue_does_not_count(self):
        async def scenario():
            table = open_table(cold_max_running=1)
            client = client_of(table)
            first = await client.reserve(ask())
            waiting = asyncio.create_task(client.reserve(ask(max_wait_s=5)))
            await asyncio.sleep(3)
            await client.release(first, succeeded=False)
            second = await waiting
            return second.use_before - asyncio.get_running_loop().time()

        self.assertAlmostEqual(run_virtual(scenario), 1.0, places=6)

    def test_zone_out_after_the_grant_stops_the_dispatch(self):
        async def scenario():
            table = open_table()
            client = client_of(table)
            held = await client.reserve(ask())
            out = changes(endpoint(), zone_out=True)
            table.state.join_ticket(Ticket(number=2, changes=out))
            with self.assertRaises(DispatchRefusedError):
                client.begin(held, ATTEMPT)
            return (await client.reserve(ask())).code

        self.assertEqual(run_virtual(scenario), ResultCode.NO_ENDPOINT)

    def test_late_grant_is_given_back(self):
        async def scenario():
            client = client_of(open_table())
            link = SlowLink(3)
            client.owner_table.owners = OtherOwner()
            client.membership.links["peer"] = link
            async with open_task_set() as tasks:
                client.membership.tasks = tasks
                reply = await client.reserve(ask(max_wait_s=1))
                cancelled = asyncio.create_task(client.reserve(ask()))
                await asyncio.sleep(0.5)
                cancelled.cancel()
                await asyncio.sleep(5)
            return reply.code, link.released

        code, released = run_virtual(scenario)
        self.assertEqual(code, ResultCode.PEER_UNREACHABLE)
        self.assertEqual(released, ["late", "late"])

    def test_vanished_asker_keeps_no_room(self):
        async def scenario():
            table = open_table(cold_max_running=1)
            ledger = table.ledgers[ENGINE]
            first = await table.reserve(ask(), "peer")
            granted = asyncio.create_task(table.reserve(ask(max_wait_s=9), "p"))
            await asyncio.sleep(0.01)
            table.release(release_of(first))
            granted.cancel()  # granted, but the reply is not sent yet
            await asyncio.sleep(0.01)
            after_cancel = len(ledger.reservations)
            second = await table.reserve(ask(), "peer")
            waiter = asyncio.create_task(table.reserve(ask(max_wait_s=9), "p"))
            await asyncio.sleep(0.01)
            waiter.cancel()
            await asyncio.sleep(0.01)
            table.release(release_of(second))
            return after_cancel, len(ledger.reservations)

        self.assertEqual(run_virtual(scenario), (0, 0))

    def test_release_counts_once(self):
        async def scenario():
            table = open_table()
            client = client_of(table)
            held = await client.reserve(ask())
            client.begin(held, ATTEMPT)
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
            table.rebuilder.note_report("me", [work])  # crossed the release
            ledger = table.ledgers[ENGINE]
            return ledger.warm_up.successes, len(ledger.reservations)

        self.assertEqual(run_virtual(scenario), (1, 0))

    def test_cold_endpoint_needs_strict_rights_and_says_so_at_once(self):
        async def scenario():
            table = open_table()
            table.rights.strict = False
            start = asyncio.get_running_loop().time()
            reply = await table.reserve(ask(max_wait_s=5), "me")
            return reply.code, asyncio.get_running_loop().time() - start

        self.assertEqual(
            run_virtual(scenario), (ResultCode.OWNERSHIP_PENDING, 0.0)
        )

    def test_isolated_daemon_dispatches_nothing(self):
        async def scenario():
            client = client_of(open_table())
            held = await client.reserve(ask())
            client.membership.isolated = True
            with self.assertRaises(DispatchRefusedError):
                client.begin(held, ATTEMPT)

        run_virtual(scenario)

    def test_regained_rights_need_a_new_survey(self):
        async def scenario():
            table = open_table()
            ledger = table.ledgers[ENGINE]
            codes = [(await table.reserve(ask(), "me")).code]
            table.rights.strict = False
            codes.append((await table.reserve(ask(), "me")).code)
            await asyncio.sleep(10)
            table.rights.strict = True
            codes.append((await table.reserve(ask(), "me")).code)
            ledger.listed_at = asyncio.get_running_loop().time()
            codes.append((await table.reserve(ask(), "me")).code)
            return codes

        pending = ResultCode.OWNERSHIP_PENDING
        self.assertEqual(
            run_virtual(scenario),
            [ResultCode.OK, pending, pending, ResultCode.OK],
        )

    def test_lost_release_is_made_good_by_reports(self):
        async def scenario():
            table = open_table()
            reply = await table.reserve(ask(), "peer")
            counts = []
            for _ in range(4):
                table.rebuilder.note_report("peer", [])
                counts.append(len(table.ledgers[ENGINE].reservations))
                await asyncio.sleep(1.5)
            return reply.code, counts

        self.assertEqual(run_virtual(scenario), (ResultCode.OK, [1, 1, 1, 0]))

    def test_grant_on_an_earlier_start_is_not_used(self):
        async def scenario():
            table = open_table()
            client = client_of(table)
            held = await client.reserve(ask())
            table.note_load(ENGINE, LoadReport(boot_id="b2"), 0.0)
            with self.assertRaises(DispatchRefusedError):
                client.begin(held, ATTEMPT)

        run_virtual(scenario)

    def test_release_reaches_a_ledger_that_is_being_given_up(self):
        async def scenario():
            table = open_table()
            client = client_of(table)
            held = await client.reserve(ask())
            held.owner_id = "peer"
            table.owners = OtherOwner()
            await client.release(held, succeeded=False)
            return len(table.ledgers[ENGINE].reservations)

        self.assertEqual(run_virtual(scenario), 0)

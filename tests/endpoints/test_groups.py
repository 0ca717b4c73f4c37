"""Tests of reserving several endpoints, all or none."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.endpoints.client import Attempt
from auburnswitch.endpoints.groups import release_group, reserve_group
from auburnswitch.endpoints.load_report import LoadReport
from auburnswitch.endpoints.reservations import (
    DispatchRefusedError,
    ReservationClient,
)
from auburnswitch.observe.tasks import open_task_set
from auburnswitch.schema.objects import Change, ObjectKind, Ticket
from auburnswitch.schema.peers import (
    EndpointPhase,
    ReserveReply,
    ReserveRequest,
)
from auburnswitch.schema.results import ResultCode
from tests.endpoints.manager_support import (
    FakeMembership,
    make_endpoint,
    make_endpoint_manager,
)
from tests.virtual_time import run_virtual

NAMES = ("engine-0", "engine-1", "engine-2")
TOKENS = 400_000
ATTEMPT = Attempt(request_id="r1", number=1, member_id="me")


def make_parts(*names: str) -> list[ReserveRequest]:
    """Returns the requests of a group."""
    return [
        ReserveRequest(endpoint=name, request_id="r1", prompt_tokens=TOKENS)
        for name in names
    ]


class SlowClient(ReservationClient):
    """Delays reservations, so that groups interleave."""

    async def reserve(self, request):
        """Requests a reservation after a short delay."""
        await asyncio.sleep(0.01)
        return await super().reserve(request)


class GroupTest(unittest.TestCase):
    def run_group(self, scenario):
        """Runs a scenario on the owner of three warm engines."""

        async def run():
            manager = make_endpoint_manager()
            changes = [
                Change(
                    kind=ObjectKind.ENDPOINT,
                    name=name,
                    endpoint=make_endpoint(),
                )
                for name in NAMES
            ]
            manager.state.join_ticket(Ticket(number=2, changes=changes))
            for name in NAMES:
                manager.on_load_report(name, LoadReport(boot_id="b1"), 0.0)
                manager.ledgers[name].warm_up.phase = EndpointPhase.WARM
                manager.ledgers[name].recovering = False
            client = SlowClient(
                endpoint_manager=manager, membership=FakeMembership()
            )
            async with open_task_set() as tasks:
                client.membership.tasks = tasks
                return await scenario(manager, client)

        return run_virtual(run)

    def reserved_tokens(self, manager) -> list[int]:
        """Returns the reserved memory of each engine, in tokens."""
        return [manager.ledgers[name].reserved_tokens for name in NAMES]

    def test_all_parts_are_held_until_released(self):
        async def scenario(manager, client):
            group = await reserve_group(client, make_parts(*reversed(NAMES)))
            await asyncio.sleep(60)
            client.report_local_reservations()
            client.report_local_reservations()
            for held in group:
                client.begin_dispatch(held, ATTEMPT)
            during = self.reserved_tokens(manager)
            release_group(client, group, succeeded=True)
            await asyncio.sleep(0)
            order = [held.endpoint for held in group]
            return order, during, self.reserved_tokens(manager)

        order, during, after = self.run_group(scenario)
        self.assertEqual(order, list(reversed(NAMES)))
        self.assertEqual((during, after), ([TOKENS] * 3, [0] * 3))

    def test_one_full_endpoint_releases_every_part(self):
        async def scenario(manager, client):
            await client.reserve(make_parts(NAMES[2])[0])
            reply = await reserve_group(client, make_parts(*NAMES))
            await asyncio.sleep(0)
            self.assertIsInstance(reply, ReserveReply)
            return reply.code, self.reserved_tokens(manager)

        self.assertEqual(
            self.run_group(scenario), (ResultCode.QUEUE_FULL, [0, 0, TOKENS])
        )

    def test_cancelled_group_releases_every_part(self):
        async def scenario(manager, client):
            await client.reserve(make_parts(NAMES[2])[0])
            requests = make_parts(*NAMES)
            for request in requests:
                request.max_wait_s = 9
            task = asyncio.create_task(reserve_group(client, requests))
            await asyncio.sleep(1)
            waiting = self.reserved_tokens(manager)
            task.cancel()
            await asyncio.sleep(0.1)
            return waiting, self.reserved_tokens(manager)

        waiting, after = self.run_group(scenario)
        self.assertEqual(waiting, [TOKENS] * 3)
        self.assertEqual(after, [0, 0, TOKENS])

    def test_two_groups_do_not_deadlock(self):
        async def scenario(manager, client):
            first, second = make_parts(*NAMES), make_parts(*reversed(NAMES))
            for request in first + second:
                request.max_wait_s = 9
            tasks = [
                asyncio.create_task(reserve_group(client, group))
                for group in (first, second)
            ]
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED, timeout=1
            )
            release_group(client, done.pop().result())
            await asyncio.gather(*tasks)
            return self.reserved_tokens(manager)

        self.assertEqual(self.run_group(scenario), [TOKENS] * 3)

    def test_cold_endpoint_joins_no_group(self):
        async def scenario(manager, client):
            group = await reserve_group(client, make_parts(*NAMES))
            manager.on_load_report(NAMES[0], LoadReport(boot_id="b2"), 0.0)
            with self.assertRaises(DispatchRefusedError):
                client.begin_dispatch(group[0], ATTEMPT)
            release_group(client, group)
            await asyncio.sleep(0)
            return (await reserve_group(client, make_parts(*NAMES))).code

        self.assertEqual(self.run_group(scenario), ResultCode.NO_ENDPOINT)

"""Tests of the queue of one endpoint."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.endpoints.queue import ReservationQueue
from auburnswitch.schema.peers import LengthClass, ReserveReply, ReserveRequest
from auburnswitch.schema.results import ResultCode
from tests.virtual_time import run_virtual

SHORT, LONG = LengthClass.SHORT, LengthClass.LONG
AGING_S = 60.0


class FakeCapacity:
    """Grants requests while tokens are free and records the grant order."""

    def __init__(self, tokens):
        self.free_tokens = tokens
        self.granted = []

    def try_reserve(self, request, _):
        if request.prompt_tokens > self.free_tokens:
            return None
        self.free_tokens -= request.prompt_tokens
        self.granted.append(request.request_id)
        return ReserveReply(reservation_id=request.request_id)


def make_request(
    name, tokens, length=SHORT, *, team="a", weight=1.0, wait_s=100.0
):
    return ReserveRequest(
        request_id=name,
        prompt_tokens=tokens,
        length_class=length,
        team=team,
        team_weight=weight,
        max_wait_s=wait_s,
    )


async def queue_all(capacity, requests, *, gap_s=0.0):
    queue = ReservationQueue(try_reserve=capacity.try_reserve, aging_s=AGING_S)
    tasks = []
    for request in requests:
        tasks.append(asyncio.create_task(queue.reserve(request, "m", 1.0)))
        await asyncio.sleep(gap_s)
    return queue, tasks


class QueueTest(unittest.TestCase):
    def order(self, requests, *, wait_s=0.0, gap_s=0.0):
        async def scenario():
            capacity = FakeCapacity(0)
            queue, tasks = await queue_all(capacity, requests, gap_s=gap_s)
            await asyncio.sleep(wait_s)
            capacity.free_tokens = 10**9
            queue.grant_waiting()
            await asyncio.gather(*tasks)
            return capacity.granted

        return run_virtual(scenario)

    def test_short_takes_precedence_over_long(self):
        requests = [make_request("long", 9, LONG), make_request("short", 1)]
        self.assertEqual(self.order(requests), ["short", "long"])

    def test_aged_long_request_takes_precedence(self):
        requests = [make_request("long", 9, LONG), make_request("short", 1)]
        order = self.order(requests, wait_s=AGING_S - 1, gap_s=2)
        self.assertEqual(order, ["long", "short"])

    def test_wait_at_other_owners_counts(self):
        aged = make_request("aged", 9, LONG)
        aged.waited_s = AGING_S
        self.assertEqual(
            self.order([make_request("short", 1), aged]), ["aged", "short"]
        )

    def test_teams_share_by_weight(self):
        requests = [make_request(f"a{n}", 10) for n in range(6)]
        requests += [
            make_request(f"b{n}", 10, team="b", weight=2) for n in range(6)
        ]
        order = self.order(requests)[:6]
        self.assertEqual(sum(name.startswith("b") for name in order), 4)

    def test_large_request_is_not_starved_by_smaller_ones(self):
        async def scenario():
            capacity = FakeCapacity(5)
            requests = [
                make_request("large", 9, LONG),
                make_request("small", 4, LONG),
            ]
            queue, tasks = await queue_all(capacity, requests)
            before = list(capacity.granted)
            capacity.free_tokens = 9
            queue.grant_waiting()
            for task in tasks:
                task.cancel()
            return before, capacity.granted

        self.assertEqual(run_virtual(scenario), ([], ["large"]))

    def test_grant_at_the_moment_of_the_timeout_is_not_lost(self):
        async def scenario():
            capacity = FakeCapacity(0)
            queue = ReservationQueue(
                try_reserve=capacity.try_reserve, aging_s=AGING_S
            )

            def grant():
                capacity.free_tokens = 1
                queue.grant_waiting()

            asyncio.get_running_loop().call_later(1.0, grant)
            reply = await queue.reserve(
                make_request("r", 1, wait_s=1.0), "m", 1.0
            )
            return reply.code == ResultCode.OK, capacity.granted

        ok, granted = run_virtual(scenario)
        self.assertEqual(ok, bool(granted))

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 50),
                st.sampled_from(list(LengthClass)),
                st.sampled_from("abc"),
                st.floats(0, 3),
            ),
            max_size=12,
        )
    )
    def test_replies_match_grants(self, requested):
        async def scenario():
            capacity = FakeCapacity(40)
            requests = [
                make_request(str(n), tokens, length, team=team, wait_s=wait_s)
                for n, (tokens, length, team, wait_s) in enumerate(requested)
            ]
            queue, tasks = await queue_all(capacity, requests, gap_s=0.5)
            capacity.free_tokens += 30
            queue.grant_waiting()
            replies = await asyncio.gather(*tasks)
            ok = [r.reservation_id for r in replies if r.code == ResultCode.OK]
            return sorted(ok), sorted(capacity.granted), queue.waiters

        ok, granted, waiters = run_virtual(scenario)
        self.assertEqual(ok, granted)
        self.assertEqual(waiters, [])

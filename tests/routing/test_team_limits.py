"""Tests of team limits across several daemons."""

from __future__ import annotations

import asyncio
import hashlib
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.configuration.state import ConfigState
from auburnswitch.experiments.caller import stream_completion
from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    TEAM,
    FleetOptions,
    open_fleet,
)
from auburnswitch.members.member_view import MemberView
from auburnswitch.routing.request import RoutedRequest
from auburnswitch.routing.team_limits import TeamLimits
from auburnswitch.schema.objects import Change, Member, ObjectKind, Team, Ticket
from auburnswitch.schema.peers import Heartbeat, LengthClass
from auburnswitch.schema.results import ResultCode
from auburnswitch.schema.settings import MembersSettings
from tests.virtual_time import SimulatedConnector, run_virtual

DAEMONS = 9
INTERVAL_S = 0.5


class DaemonGroup:
    """The team limits of several daemons that exchange heartbeats."""

    def __init__(self, team):
        change = Change(kind=ObjectKind.TEAM, name="t", team=team)
        self.members = [Member(id=f"m{n}") for n in range(DAEMONS)]
        self.limits = []
        for local_member in self.members:
            state = ConfigState()
            state.join_ticket(Ticket(number=1, changes=[change]))
            view = MemberView(
                local_member=local_member, settings=MembersSettings()
            )
            for peer in self.members:
                view.get_or_add_peer(peer)
            self.limits.append(
                TeamLimits(state=state, view=view, interval_s=INTERVAL_S)
            )

    async def exchange(self):
        while True:
            for sender, limits in zip(self.members, self.limits, strict=True):
                for peer in self.limits:
                    if peer is limits:
                        continue
                    heartbeat = Heartbeat(sender=sender)
                    limits.fill_heartbeat(heartbeat, peer.view.local_member.id)
                    peer.on_heartbeat(heartbeat)
                    status = peer.view.peers[sender.id]
                    status.last_received_at = asyncio.get_running_loop().time()
            await asyncio.sleep(INTERVAL_S)


def make_request(tokens):
    return RoutedRequest(
        id="r",
        team="t",
        team_weight=1,
        service="s",
        deadline_at=0,
        prompt_tokens=tokens,
        answer_tokens=0,
        length_class=LengthClass.SHORT,
        fingerprint="f",
        path="/",
    )


def offer(team, *, seed, tokens, seconds, gap_s, run_s=1.0):
    """Offers requests at random daemons.

    Returns:
        The admitted tokens, the maximum number of requests in flight and the
        refusals.
    """

    async def scenario():
        daemons = DaemonGroup(team)
        heartbeat_task = asyncio.create_task(daemons.exchange())
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(2 * INTERVAL_S)
        admitted, running, max_running, refusals = 0, 0, 0, []
        ends = []
        end_at = loop.time() + seconds
        while loop.time() < end_at:
            await asyncio.sleep(gap_s)
            for ended in [e for e in ends if e[0] <= loop.time()]:
                ends.remove(ended)
                ended[1].finish(ended[2])
                running -= 1
            limits = rng.choice(daemons.limits)
            routed = make_request(rng.randint(1, tokens))
            refused = limits.admit(routed)
            if refused is not None:
                refusals.append(refused)
                continue
            admitted += routed.prompt_tokens
            running += 1
            max_running = max(max_running, running)
            ends.append((loop.time() + run_s, limits, routed))
        heartbeat_task.cancel()
        return admitted, max_running, refusals

    return run_virtual(scenario)


async def send_completion(fleet, number):
    body = {"model": MODEL, "prompt": "p" * 8_000, "max_tokens": 64}
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    url = fleet.caller_url(f"entry-{number % 3}")
    return await stream_completion(fleet.session, url, body, headers)


class EndToEndTest(unittest.TestCase):
    def test_second_request_in_flight_is_refused_by_any_daemon(self):
        async def scenario():
            options = FleetOptions(connector=SimulatedConnector)
            async with open_fleet(options) as fleet:
                digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
                team = Team(key_digests=[digest], max_in_flight=1)
                change = Change(kind=ObjectKind.TEAM, name=TEAM, team=team)
                await fleet.apply(fleet.ticket([change]))
                await fleet.wait_until_converged()
                first = asyncio.create_task(send_completion(fleet, 0))
                await asyncio.sleep(2 * INTERVAL_S)  # usage was reported
                others = [
                    await send_completion(fleet, number) for number in range(3)
                ]
                result = (await first).result
                await asyncio.sleep(2 * INTERVAL_S)
                return result, others, await send_completion(fleet, 1)

        first, others, after = run_virtual(scenario)
        self.assertEqual(first, "ok")
        for refused in others:
            self.assertEqual(
                (refused.result, refused.ran), ("team_limit", "no")
            )
            self.assertGreater(refused.retry_after_s, 0)
        self.assertEqual(after.result, "ok")


class TeamLimitsTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=20)
    @given(st.integers(0, 10**6), st.sampled_from([2_000, 20_000, 100_000]))
    def test_tokens_stay_within_the_stated_bound(self, seed, largest):
        team = Team(tokens_per_second=20_000, burst_tokens=100_000)
        seconds = 60
        admitted, _, refusals = offer(
            team, seed=seed, tokens=largest, seconds=seconds, gap_s=0.02
        )
        allowed = 100_000 + 20_000 * seconds
        over = (DAEMONS - 1) * max(largest, 100_000 / DAEMONS)
        self.assertLessEqual(admitted, allowed + over)
        self.assertGreaterEqual(admitted, 0.8 * 20_000 * seconds)
        for refused in refusals:
            self.assertEqual(refused.code, ResultCode.TEAM_LIMIT)
            self.assertGreater(refused.retry_after_s, 0)

    @settings(derandomize=True, deadline=None, max_examples=20)
    @given(st.integers(0, 10**6), st.sampled_from([1, 5, 40]))
    def test_requests_in_flight_stay_within_the_stated_bound(self, seed, limit):
        team = Team(max_in_flight=limit)
        _, max_running, _ = offer(
            team, seed=seed, tokens=10, seconds=20, gap_s=0.005, run_s=1.0
        )
        self.assertLessEqual(max_running, limit + DAEMONS - 1)
        self.assertGreaterEqual(max_running, limit)

    def test_no_limit_admits_everything(self):
        _, _, refusals = offer(
            Team(), seed=1, tokens=10**6, seconds=5, gap_s=0.01
        )
        self.assertEqual(refusals, [])

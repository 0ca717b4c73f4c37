"""Tests of the choice of the endpoint by hints and owners' answers."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.hints import HintCache
from auburnswitch.endpoints.reservations import HeldReservation
from auburnswitch.results import Refusal
from auburnswitch.routing.placer import MAX_LONG_PROBES, Placer
from auburnswitch.routing.policy import OwnerReservationPolicy
from auburnswitch.routing.request import RoutedRequest
from auburnswitch.routing.strike_registry import StrikeRegistry
from auburnswitch.schema.peers import (
    EndpointHint,
    EndpointPhase,
    LengthClass,
    ReserveReply,
    RunningWork,
)
from auburnswitch.schema.results import Ran, ResultCode
from tests.virtual_time import run_virtual

HINT_AGE_S = 0.5


def hint(name, wait_s):
    return EndpointHint(
        endpoint=name,
        phase=EndpointPhase.WARM,
        free_tokens=500_000,
        short_wait_s=wait_s,
        long_wait_s=wait_s,
        max_running=64,
        boot_id="b",
    )


class Owners:
    """Owners whose true waits differ from the hints that were spread."""

    def __init__(self, promised, true):
        self.true = true
        self.asked = []
        self.hints = HintCache()
        for name, wait_s in promised.items():
            self.hints.update(hint(name, wait_s))
        self.state = SimpleNamespace(endpoints_of=lambda _: sorted(promised))
        self.view = SimpleNamespace(roster=SimpleNamespace(epoch=1))
        self.is_unschedulable = lambda _: False
        self.owns = lambda _: False
        self.latest_hint = self.hints.newest

    async def reserve(self, request):
        self.asked.append(request.endpoint)
        wait_s = self.true[request.endpoint]
        late = wait_s > request.time_left_s
        if late or 0 < request.max_start_wait_s < wait_s:
            answer = hint(request.endpoint, wait_s)
            self.hints.update(answer)
            return ReserveReply(
                code=ResultCode.QUEUE_FULL,
                hints=[answer],
                retry_after_s=wait_s - request.time_left_s if late else 1.0,
            )
        return HeldReservation(
            endpoint=request.endpoint,
            owner_id="m",
            dispatch_deadline=monotonic_s() + 1,
            boot_id="b",
            work=RunningWork(endpoint=request.endpoint),
        )


def place(promised, true, *, length=LengthClass.SHORT, deadline_s=10.0):
    async def scenario():
        owners = Owners(promised, true)
        placer = Placer(
            endpoint_manager=owners,
            reservations=owners,
            policy=OwnerReservationPolicy(),
            strikes=StrikeRegistry(retention_s=10),
            seed=1,
        )
        request = RoutedRequest(
            id="r",
            team="t",
            team_weight=1,
            service="s",
            deadline_at=monotonic_s() + deadline_s,
            prompt_tokens=1_000,
            answer_tokens=10,
            length_class=length,
            fingerprint="f",
            path="/",
        )
        await asyncio.sleep(HINT_AGE_S)
        started_at = monotonic_s()
        outcome = await placer.place(request, set())
        return outcome, owners.asked, monotonic_s() - started_at

    return run_virtual(scenario)


class OwnerPolicyTest(unittest.TestCase):
    def test_true_promise_takes_one_call(self):
        waits = {"a": 1.0, "b": 0.1, "c": 2.0}
        outcome, asked, _ = place(waits, waits)
        self.assertEqual(outcome.endpoint, "b")
        self.assertEqual(asked, ["b"])

    def test_stale_promise_costs_one_call_and_no_time(self):
        promised = {"a": 0.0, "b": 0.7, "c": 2.0}
        outcome, asked, took_s = place(
            promised, promised | {"a": 5.0, "b": 0.2}
        )
        self.assertEqual(outcome.endpoint, "b")
        self.assertEqual(asked, ["a", "b"])
        self.assertEqual(took_s, 0)

    def test_best_of_those_heard_of_when_all_promises_are_stale(self):
        names = "abcdefgh"
        true = {name: 3.0 - number / 10 for number, name in enumerate(names)}
        outcome, asked, _ = place(dict.fromkeys(names, 0.0), true)
        best = min(asked[:-1], key=true.__getitem__)
        self.assertEqual(outcome.endpoint, best)

    def test_refused_at_once_if_nothing_starts_in_time(self):
        waits = {"a": 40.0, "b": 30.0}
        outcome, asked, took_s = place(waits, waits, length=LengthClass.LONG)
        self.assertIsInstance(outcome, Refusal)
        self.assertEqual(outcome.code, ResultCode.QUEUE_FULL)
        self.assertEqual(outcome.ran, Ran.NO)
        self.assertGreaterEqual(outcome.retry_after_s, 20)
        self.assertLessEqual(len(asked), MAX_LONG_PROBES)
        self.assertEqual(took_s, 0)

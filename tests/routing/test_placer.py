"""Tests of endpoint placement by hints and the replies of owners."""

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


def make_hint(name, wait_s):
    return EndpointHint(
        endpoint=name,
        phase=EndpointPhase.WARM,
        free_tokens=500_000,
        short_wait_s=wait_s,
        long_wait_s=wait_s,
        max_running=64,
        boot_id="b",
    )


class StubOwners:
    """Owners whose actual waits may differ from the published hints."""

    def __init__(self, hinted_waits_s, actual_waits_s):
        self.actual_waits_s = actual_waits_s
        self.requested = []
        self.hints = HintCache()
        for name, wait_s in hinted_waits_s.items():
            self.hints.update(make_hint(name, wait_s))
        self.state = SimpleNamespace(
            endpoints_of=lambda _: sorted(hinted_waits_s)
        )
        self.view = SimpleNamespace(roster=SimpleNamespace(epoch=1))
        self.is_unschedulable = lambda _: False
        self.owns = lambda _: False
        self.latest_hint = self.hints.newest

    async def reserve(self, request):
        self.requested.append(request.endpoint)
        wait_s = self.actual_waits_s[request.endpoint]
        late = wait_s > request.time_left_s
        if late or 0 < request.max_start_wait_s < wait_s:
            fresh_hint = make_hint(request.endpoint, wait_s)
            self.hints.update(fresh_hint)
            return ReserveReply(
                code=ResultCode.QUEUE_FULL,
                hints=[fresh_hint],
                retry_after_s=wait_s - request.time_left_s if late else 1.0,
            )
        return HeldReservation(
            endpoint=request.endpoint,
            owner_id="m",
            dispatch_deadline=monotonic_s() + 1,
            boot_id="b",
            work=RunningWork(endpoint=request.endpoint),
        )


def place(
    hinted_waits_s, actual_waits_s, *, length=LengthClass.SHORT, deadline_s=10.0
):
    async def scenario():
        owners = StubOwners(hinted_waits_s, actual_waits_s)
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
        return outcome, owners.requested, monotonic_s() - started_at

    return run_virtual(scenario)


class OwnerPolicyTest(unittest.TestCase):
    def test_accurate_hint_takes_one_call(self):
        waits_s = {"a": 1.0, "b": 0.1, "c": 2.0}
        outcome, requested, _ = place(waits_s, waits_s)
        self.assertEqual(outcome.endpoint, "b")
        self.assertEqual(requested, ["b"])

    def test_stale_hint_costs_one_call_and_no_time(self):
        hinted_waits_s = {"a": 0.0, "b": 0.7, "c": 2.0}
        outcome, requested, took_s = place(
            hinted_waits_s, hinted_waits_s | {"a": 5.0, "b": 0.2}
        )
        self.assertEqual(outcome.endpoint, "b")
        self.assertEqual(requested, ["a", "b"])
        self.assertEqual(took_s, 0)

    def test_best_fresh_hint_is_used_when_all_hints_were_stale(self):
        names = "abcdefgh"
        actual_waits_s = {
            name: 3.0 - number / 10 for number, name in enumerate(names)
        }
        outcome, requested, _ = place(dict.fromkeys(names, 0.0), actual_waits_s)
        best = min(requested[:-1], key=actual_waits_s.__getitem__)
        self.assertEqual(outcome.endpoint, best)

    def test_refused_immediately_if_no_endpoint_starts_in_time(self):
        waits_s = {"a": 40.0, "b": 30.0}
        outcome, requested, took_s = place(
            waits_s, waits_s, length=LengthClass.LONG
        )
        self.assertIsInstance(outcome, Refusal)
        self.assertEqual(outcome.code, ResultCode.QUEUE_FULL)
        self.assertEqual(outcome.ran, Ran.NO)
        self.assertGreaterEqual(outcome.retry_after_s, 20)
        self.assertLessEqual(len(requested), MAX_LONG_PROBES)
        self.assertEqual(took_s, 0)

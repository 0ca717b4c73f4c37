"""Tests of the invariants checked at the end of a request."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.invariants import Invariant
from auburnswitch.results import refusal
from auburnswitch.routing.answer_progress import AnswerProgress
from auburnswitch.routing.answer_stream import AnswerEnd
from auburnswitch.routing.completion_checks import CompletionChecks
from auburnswitch.routing.request import RoutedRequest
from auburnswitch.schema.peers import LengthClass
from auburnswitch.schema.results import ResultCode
from tests.endpoints.manager_support import make_endpoint_manager
from tests.virtual_time import run_virtual


def make_request(**values):
    return RoutedRequest(
        id="r1",
        team="t",
        team_weight=1.0,
        service="s",
        deadline_at=10.0,
        prompt_tokens=1,
        answer_tokens=1,
        length_class=LengthClass.SHORT,
        fingerprint="f",
        path="/",
        **values,
    )


class CompletionChecksTest(unittest.TestCase):
    def violations_of(self, check):
        """Returns the invariants that a check reports as violated."""

        async def scenario():
            endpoint_manager = make_endpoint_manager()
            endpoint_manager.invariants.strict = False
            await check(CompletionChecks(endpoint_manager=endpoint_manager))
            return set(endpoint_manager.invariants.violations)

        return run_virtual(scenario)

    def test_not_run(self):
        for dispatched, expected in (
            (True, {Invariant.NOT_RUN}),
            (False, set()),
        ):

            async def check(checks, dispatched=dispatched):
                refused = refusal(ResultCode.QUEUE_FULL)
                request = make_request(dispatched=dispatched)
                checks.check_refusal(request, refused)

            self.assertEqual(self.violations_of(check), expected)

    def test_whole_answer(self):
        for counted, expected in ((3, {Invariant.WHOLE_ANSWER}), (2, set())):

            async def check(checks, counted=counted):
                progress = AnswerProgress()
                progress.attempt_frames = 2
                end = AnswerEnd(
                    finish_reason="stop", usage={"completion_tokens": counted}
                )
                checks.check_token_count(make_request(), progress, end)

            self.assertEqual(self.violations_of(check), expected)

    def test_at_most_once(self):
        async def check(checks):
            checks.check_attempt_count(
                make_request(idempotent=False, attempts=2)
            )

        self.assertEqual(self.violations_of(check), {Invariant.AT_MOST_ONCE})

    def test_deadline(self):
        for slow_until_s, paused, expected in (
            (0, False, {Invariant.DEADLINE}),
            (19, False, set()),  # the caller read slowly
            (0, True, set()),
        ):

            async def check(checks, slow=slow_until_s, paused=paused):
                await asyncio.sleep(19.5)
                view = checks.endpoint_manager.view
                if not paused:
                    view.last_tick_at = monotonic_s()
                checks.check_deadline(make_request(), slow)

            self.assertEqual(self.violations_of(check), expected)

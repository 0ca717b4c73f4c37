"""Tests of the invariants at the end of a request."""

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


def routed(**values):
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


class EndChecksTest(unittest.TestCase):
    def violated(self, check):
        """Returns the invariants that a check finds broken."""

        async def scenario():
            table = make_endpoint_manager()
            table.invariants.strict = False
            await check(CompletionChecks(endpoint_manager=table))
            return set(table.invariants.violations)

        return run_virtual(scenario)

    def test_not_run(self):
        for dispatched, expected in (
            (True, {Invariant.NOT_RUN}),
            (False, set()),
        ):

            async def check(ends, dispatched=dispatched):
                refused = refusal(ResultCode.QUEUE_FULL)
                request = routed(dispatched=dispatched)
                ends.check_refusal(request, refused)

            self.assertEqual(self.violated(check), expected)

    def test_whole_answer(self):
        for counted, expected in ((3, {Invariant.WHOLE_ANSWER}), (2, set())):

            async def check(ends, counted=counted):
                progress = AnswerProgress()
                progress.attempt_frames = 2
                end = AnswerEnd(
                    finish_reason="stop", usage={"completion_tokens": counted}
                )
                ends.check_token_count(routed(), progress, end)

            self.assertEqual(self.violated(check), expected)

    def test_at_most_once(self):
        async def check(ends):
            ends.check_attempt_count(routed(idempotent=False, attempts=2))

        self.assertEqual(self.violated(check), {Invariant.AT_MOST_ONCE})

    def test_deadline(self):
        for slow_until_s, paused, expected in (
            (0, False, {Invariant.DEADLINE}),
            (19, False, set()),  # the caller took its time
            (0, True, set()),
        ):

            async def check(ends, slow=slow_until_s, paused=paused):
                await asyncio.sleep(19.5)
                view = ends.endpoint_manager.view
                if not paused:
                    view.last_tick_at = monotonic_s()
                ends.check_deadline(routed(), slow)

            self.assertEqual(self.violated(check), expected)

"""Tests of streams that stall but still send something now and then."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.standins.raw_endpoint import (
    EVENT_COUNT,
    Cut,
    Framing,
    RawAnswer,
    make_event,
)
from tests.entry.raw_caller import End
from tests.entry.raw_installation import RawEndpointTest

PING_INTERVAL_S = 0.1
ALL_EVENTS = b"".join(make_event(n) for n in range(1, EVENT_COUNT + 1))


def stalled(cut: Cut, repeated: bytes) -> RawAnswer:
    return RawAnswer(
        framing=Framing.CONNECTION,
        cut=cut,
        repeated_bytes=repeated,
        repeat_interval_s=PING_INTERVAL_S,
    )


class StalledStreamTest(RawEndpointTest):
    # Operators of similar systems: stalled streams that sent a byte now and
    # then never ended. Here they held up their callers until the deadline.
    async def test_stream_that_only_sends_comments_goes_on_elsewhere(self):
        for cut in (Cut.BETWEEN_EVENTS, Cut.BEFORE_BODY):
            for repeated in (b": ping\n\n", b":\r\n\r\n", b"\n\n", b"x"):
                answer = stalled(cut, repeated)
                with self.subTest(cut=cut, repeated=repeated):
                    async with self.open("engines", answer, answer) as fleet:
                        response = await self.call_twice(
                            fleet, answer, RawAnswer()
                        )
                    events = response.body.replace(b": ping\n\n", b"")
                    events = events.replace(b":\r\n\r\n", b"")
                    if repeated != b"\n\n":
                        self.assertEqual(events, ALL_EVENTS)
                    self.assertIn(make_event(EVENT_COUNT), response.body)
                    self.assertIsNot(response.end, End.BROKEN)

    async def test_comments_between_events_reach_the_caller(self):
        answer = RawAnswer(padding="\n: note")
        async with self.open("engines", answer) as fleet:
            response = await self.call(fleet, "/chat/")
        self.assertEqual(response.body.count(b": note"), EVENT_COUNT)
        self.assertIs(response.end, End.COMPLETE)

    async def test_stream_that_stalls_ends_at_the_deadline(self):
        answer = stalled(Cut.BETWEEN_EVENTS, b": ping\n\n")
        async with self.open("engines", answer) as fleet:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            response = await self.call(fleet, "/chat/")
            took_s = loop.time() - started_at
        self.assertLess(took_s, self.deadline_ms / 1000 + 1)
        self.assertIsNot(response.end, End.COMPLETE)


if __name__ == "__main__":
    unittest.main()

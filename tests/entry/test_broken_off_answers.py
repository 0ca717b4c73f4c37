"""Tests of what callers are told of answers that endpoints break off."""

from __future__ import annotations

import itertools
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

WHOLE_STREAM = b"".join(make_event(n) for n in range(1, EVENT_COUNT + 1))
TWO_EVENTS = make_event(1) + make_event(2)
BREAKS = [
    (cut, resets)
    for cut in Cut
    for resets in (False, True)
    if cut is not Cut.NOWHERE
]
BREAKS_WITH_EVENTS = {
    Cut.INSIDE_EVENT: TWO_EVENTS,
    Cut.BETWEEN_EVENTS: TWO_EVENTS,
    Cut.BEFORE_LAST_NEWLINE: WHOLE_STREAM[: -len(make_event(1))],
}
MARKED = (Framing.LENGTH, Framing.CHUNKS)


class UnmarkedEndTest(RawEndpointTest):
    """Answers with neither a length nor chunks."""

    # An answer that was broken off inside an event reached its caller as if it
    # were complete (rule ORDER of the users).
    async def test_stream_closed_inside_an_event_is_broken_for_its_caller(self):
        for cut in (Cut.INSIDE_EVENT, Cut.BEFORE_LAST_NEWLINE):
            answer = RawAnswer(framing=Framing.CONNECTION, cut=cut)
            for path in ("/once/", "/chat/"):
                with self.subTest(cut=cut, path=path):
                    async with self.open("engines", answer) as fleet:
                        response = await self.call(fleet, path)
                    self.assertIs(response.end, End.BROKEN)
                    self.assertEqual(response.body, BREAKS_WITH_EVENTS[cut])

    # The same, where the stream could go on at another engine.
    async def test_stream_closed_inside_an_event_goes_on_elsewhere(self):
        for cut in (Cut.INSIDE_EVENT, Cut.BEFORE_LAST_NEWLINE):
            with self.subTest(cut=cut):
                broken = RawAnswer(framing=Framing.CONNECTION, cut=cut)
                async with self.open("engines", broken, broken) as fleet:
                    response = await self.call_twice(fleet, broken, RawAnswer())
                self.assertIsNot(response.end, End.BROKEN)
                self.assertEqual(response.body, WHOLE_STREAM)

    # An answer without any event was passed on as a complete one.
    async def test_stream_closed_before_its_first_event_has_failed(self):
        for cut in (Cut.BEFORE_BODY, Cut.AFTER_FOUR_BYTES):
            answer = RawAnswer(framing=Framing.CONNECTION, cut=cut)
            for path in ("/once/", "/chat/"):
                with self.subTest(cut=cut, path=path):
                    async with self.open("engines", answer) as fleet:
                        response = await self.call(fleet, path)
                    self.assertEqual(response.status, 502)

    # The daemon vouched for an answer of which it knew only that its connection
    # had been closed.
    async def test_caller_is_told_no_more_than_that_the_answer_was_closed(self):
        for cut, body in (
            (Cut.NOWHERE, WHOLE_STREAM),
            (Cut.BETWEEN_EVENTS, TWO_EVENTS),
        ):
            answer = RawAnswer(framing=Framing.CONNECTION, cut=cut)
            for path in ("/once/", "/chat/"):
                with self.subTest(cut=cut, path=path):
                    async with self.open("engines", answer) as fleet:
                        response = await self.call(fleet, path)
                    self.assertEqual(response.status, 200)
                    self.assertEqual(response.body, body)
                    self.assertIs(response.end, End.CLOSED)

    # The same for a plain answer.
    async def test_plain_answer_that_was_closed_is_passed_on_as_such(self):
        answer = RawAnswer(framing=Framing.CONNECTION)
        for path in ("/read/", "/book/"):
            async with self.open("desk", answer) as fleet:
                response = await self.call(fleet, path)
            self.assertEqual(response.status, 200)
            self.assertEqual(response.body, b"answer of desk-0")
            self.assertIs(response.end, End.CLOSED)

    # A request that crashes endpoints was cleared by what may be a crash.
    async def test_unmarked_end_is_no_success_of_a_request(self):
        for framing in Framing:
            answer = RawAnswer(framing=framing)
            async with self.open("engines", answer) as fleet:
                daemon = fleet.daemons[0]
                fingerprints = []

                def crash(daemon=daemon, fingerprints=fingerprints):
                    (request,) = daemon.app.open_requests
                    fingerprints.append(request.job.fingerprint)
                    for name in ("engine-8", "engine-9"):
                        daemon.crash_registry.record_crash(
                            request.job.fingerprint, name
                        )

                (endpoint,) = fleet.endpoints.values()
                endpoint.on_request = crash
                await self.call(fleet, "/chat/")
                self.assertEqual(
                    daemon.crash_registry.is_retry_forbidden(fingerprints[0]),
                    framing is Framing.CONNECTION,
                )

    # Found with comments between events: ids that arrived in one piece with one
    # at its end were forgotten, and a resumed stream began again.
    async def test_events_that_arrive_before_a_comment_do_not_come_twice(self):
        broken = RawAnswer(cut=Cut.BETWEEN_EVENTS, trailer=b": ping\n\n")
        async with self.open("engines", broken, broken) as fleet:
            response = await self.call_twice(fleet, broken, RawAnswer())
        events = response.body.replace(broken.trailer, b"")
        self.assertEqual(events, WHOLE_STREAM)

    # The end of a resumed stream was vouched for, though its second engine only
    # closed its connection.
    async def test_closed_end_of_a_resumed_stream_is_not_vouched_for(self):
        broken = RawAnswer(cut=Cut.INSIDE_EVENT)
        closed = RawAnswer(framing=Framing.CONNECTION)
        async with self.open("engines", broken, broken) as fleet:
            response = await self.call_twice(fleet, broken, closed)
        self.assertEqual(response.body, WHOLE_STREAM)
        self.assertIsNot(response.end, End.COMPLETE)

    # A reset end is no regular one, in either version of the protocol.
    async def test_stream_that_is_reset_is_broken_for_its_caller(self):
        for cut, version in itertools.product(
            (Cut.NOWHERE, *BREAKS_WITH_EVENTS), ("1.0", "1.1")
        ):
            with self.subTest(cut=cut, version=version):
                answer = RawAnswer(
                    framing=Framing.CONNECTION, cut=cut, resets=True
                )
                async with self.open("engines", answer) as fleet:
                    response = await self.call(fleet, "/once/", version=version)
                self.assertIs(response.end, End.BROKEN)


class MarkedEndTest(RawEndpointTest):
    """Answers with a length or chunks."""

    async def test_whole_answers_are_complete(self):
        for framing in MARKED:
            answer = RawAnswer(framing=framing)
            async with self.open("engines", answer) as fleet:
                for path in ("/once/", "/chat/"):
                    response = await self.call(fleet, path)
                    self.assertIs(response.end, End.COMPLETE)
                    self.assertEqual(response.body, WHOLE_STREAM)
            async with self.open("desk", answer) as fleet:
                for path in ("/read/", "/book/"):
                    response = await self.call(fleet, path)
                    self.assertIs(response.end, End.COMPLETE)

    async def test_no_broken_off_stream_is_complete(self):
        for framing in MARKED:
            for cut, resets in BREAKS:
                with self.subTest(framing=framing, cut=cut, resets=resets):
                    answer = RawAnswer(framing=framing, cut=cut, resets=resets)
                    async with self.open("engines", answer) as fleet:
                        response = await self.call(fleet, "/once/")
                    if cut in BREAKS_WITH_EVENTS:
                        self.assertIs(response.end, End.BROKEN)
                        expected = BREAKS_WITH_EVENTS[cut]
                        self.assertEqual(response.body, expected)
                    else:
                        self.assertEqual(response.status, 502)

    async def test_broken_off_stream_goes_on_elsewhere(self):
        for framing in MARKED:
            for cut, resets in BREAKS:
                with self.subTest(framing=framing, cut=cut, resets=resets):
                    broken = RawAnswer(framing=framing, cut=cut, resets=resets)
                    async with self.open("engines", broken, broken) as fleet:
                        response = await self.call_twice(
                            fleet, broken, RawAnswer()
                        )
                    self.assertIs(response.end, End.COMPLETE)
                    self.assertEqual(response.body, WHOLE_STREAM)

    # A whole answer that is no stream of events was taken for a broken-off one.
    async def test_answer_of_another_type_is_passed_on_as_it_is(self):
        for cut, body in (
            (Cut.INSIDE_EVENT, TWO_EVENTS + b"id: 3\nd"),
            (Cut.NOWHERE, WHOLE_STREAM),
        ):
            answer = RawAnswer(
                cut=cut, ends_cut=True, content_type="application/json"
            )
            async with self.open("engines", answer) as fleet:
                response = await self.call(fleet, "/once/")
            self.assertIs(response.end, End.COMPLETE)
            self.assertEqual(response.body, body)

    # The length of the first engine's answer was stated for the whole stream.
    async def test_length_of_a_broken_off_stream_is_not_stated(self):
        broken = RawAnswer(framing=Framing.LENGTH, cut=Cut.INSIDE_EVENT)
        longer = RawAnswer(padding=" and more")
        async with self.open("engines", broken, broken) as fleet:
            response = await self.call_twice(fleet, broken, longer)
        self.assertIs(response.end, End.COMPLETE)
        self.assertEqual(response.body.count(b"id: "), EVENT_COUNT)
        self.assertTrue(response.body.endswith(make_event(5, " and more")))

    async def test_broken_off_plain_answer_has_failed(self):
        for framing in MARKED:
            answer = RawAnswer(framing=framing, cut=Cut.AFTER_FOUR_BYTES)
            async with self.open("desk", answer) as fleet:
                for path in ("/read/", "/book/"):
                    response = await self.call(fleet, path)
                    self.assertEqual(response.status, 502)

    # A stream that ends inside an event has been broken off, also if its
    # endpoint says otherwise.
    async def test_marked_end_inside_an_event_is_no_complete_answer(self):
        answer = RawAnswer(cut=Cut.INSIDE_EVENT, ends_cut=True)
        async with self.open("engines", answer) as fleet:
            response = await self.call(fleet, "/once/")
        self.assertIs(response.end, End.BROKEN)
        self.assertEqual(response.body, TWO_EVENTS)


class OldCallerTest(RawEndpointTest):
    """Callers of HTTP/1.0, whose streams end with their connection."""

    # A broken-off stream ended like a whole one for a caller of HTTP/1.0.
    async def test_broken_off_stream_is_reset(self):
        for framing, cut in itertools.product(Framing, BREAKS_WITH_EVENTS):
            if (framing, cut) == (Framing.CONNECTION, Cut.BETWEEN_EVENTS):
                continue  # nobody knows that it was broken off
            with self.subTest(framing=framing, cut=cut):
                answer = RawAnswer(framing=framing, cut=cut)
                async with self.open("engines", answer) as fleet:
                    response = await self.call(fleet, "/once/", version="1.0")
                self.assertIs(response.end, End.BROKEN)

    async def test_whole_stream_is_closed(self):
        async with self.open("engines", RawAnswer()) as fleet:
            response = await self.call(fleet, "/once/", version="1.0")
        self.assertIs(response.end, End.CLOSED)
        self.assertEqual(response.body, WHOLE_STREAM)

    # A plain answer that its endpoint sent in chunks had no length.
    async def test_plain_answer_has_a_length(self):
        async with self.open("desk", RawAnswer()) as fleet:
            response = await self.call(fleet, "/read/", version="1.0")
        self.assertIs(response.end, End.COMPLETE)


if __name__ == "__main__":
    unittest.main()

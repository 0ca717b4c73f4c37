"""Tests of answers with late, misrouted or missing frames."""

from __future__ import annotations

import json
import unittest

from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from auburnswitch.endpoints.client import (
    Attempt,
    EndpointClient,
    EndpointFailureError,
)
from auburnswitch.http_server import open_http_server
from auburnswitch.observe.metrics import Metrics
from auburnswitch.routing.answer_progress import AnswerProgress
from auburnswitch.routing.answer_stream import AnswerEnd, AnswerStream
from auburnswitch.routing.request import RoutedRequest
from auburnswitch.schema.objects import Endpoint
from auburnswitch.schema.peers import LengthClass
from auburnswitch.schema.settings import EndpointsSettings
from tests.virtual_time import open_session, run_virtual

PATH = "/v1/completions"


def encode_frame(sequence, text, *, request_id="r1", attempt=2, end=False):
    choice = {"index": 0, "text": text, "finish_reason": "stop" * end or None}
    values = {"id": request_id, "attempt": attempt, "sequence": sequence}
    usage = {"prompt_tokens": 1, "completion_tokens": sequence + 1}
    values |= {"choices": [choice]} | ({"usage": usage} if end else {})
    return f"data: {json.dumps(values)}\n\n"


async def read_answer(frames):
    """Returns the text and the last part of the answer read from frames."""
    body = "".join(frames) + "data: [DONE]\n\n"

    async def answer(_):
        return Response(body, media_type="text/event-stream")

    app = Starlette(routes=[Route(PATH, answer, methods=["POST"])])
    async with (
        open_http_server(app, host="127.0.0.1", port=0) as server,
        open_session() as session,
    ):
        metrics = Metrics()
        stream = AnswerStream(
            client=EndpointClient(
                session=session, settings=EndpointsSettings()
            ),
            metrics=metrics,
            request=RoutedRequest(
                id="r1",
                team="t",
                team_weight=1.0,
                service="s",
                deadline_at=60.0,
                prompt_tokens=1,
                answer_tokens=8,
                length_class=LengthClass.SHORT,
                fingerprint="f",
                path=PATH,
            ),
            spec=Endpoint(host="127.0.0.1", port=server.port),
            attempt=Attempt(request_id="r1", number=2, member_id="m"),
            progress=AnswerProgress(),
            guard=lambda: None,
        )
        parts = [part async for part in stream.parts()]
        metrics.close()
        texts = [p.text for p in parts if not isinstance(p, AnswerEnd)]
        return "".join(texts), parts[-1]


class MisroutedFramesTest(unittest.TestCase):
    def test_late_and_misrouted_frames_are_dropped(self):
        frames = [
            encode_frame(0, "a"),
            encode_frame(1, "X", request_id="r9"),
            encode_frame(1, "X", attempt=1),
            encode_frame(0, "a"),
            encode_frame(1, "b"),
            encode_frame(1, "b"),
            encode_frame(2, "c", end=True),
        ]
        text, end = run_virtual(lambda: read_answer(frames))
        self.assertEqual(text, "abc")
        self.assertEqual(end.usage["completion_tokens"], 3)

    def test_missing_frame_fails_the_attempt(self):
        frames = [encode_frame(0, "a"), encode_frame(2, "c", end=True)]
        with self.assertRaises(EndpointFailureError):
            run_virtual(lambda: read_answer(frames))

    def test_misrouted_end_frame_does_not_end_the_answer(self):
        frames = [
            encode_frame(0, "a"),
            encode_frame(1, "X", attempt=1, end=True),
        ]
        with self.assertRaises(EndpointFailureError):
            run_virtual(lambda: read_answer(frames))

"""Builds an engine's responses: SSE events and complete JSON objects."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, Final

from starlette.responses import Response

from auburnswitch.standins.answers import answer_text, answer_token
from auburnswitch.standins.engine_job import Completion, Job, JobState
from auburnswitch.standins.history import HistoryKind
from auburnswitch.standins.listener import wait_for_disconnect

if TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

    from auburnswitch.standins.history import History

DONE_EVENT: Final = "data: [DONE]\n\n"
FINISHED_REASON: Final = "length"
CANCELLED_REASON: Final = "cancelled"


def finish_reason(job: Job) -> str | None:
    """Returns why a job ended, or None if it has not ended."""
    match job.state:
        case JobState.FINISHED:
            return FINISHED_REASON
        case JobState.CANCELLED:
            return CANCELLED_REASON
    return None


def usage(job: Job) -> dict[str, int]:
    """Returns the token counts of a job."""
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": job.produced_tokens,
        "cached_tokens": job.cached_tokens,
    }


def completion_response(job: Job, work: Completion) -> dict[str, Any]:
    """Returns the response body of a request that is not streamed."""
    text = answer_text(job.digest, job.produced_tokens, work.first_token)
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason(job)}
    if work.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": job.request_id,
        "attempt": job.attempt,
        "choices": [choice],
        "usage": usage(job),
    }


class SseEventBuilder:
    """Builds the SSE events of one stream.

    Attributes:
        job: The job that produces the tokens.
    """

    __slots__ = ("_first_token", "_head", "_tail", "_text", "job")

    def __init__(self, *, job: Job, work: Completion) -> None:
        self.job = job
        request_id = json.dumps(job.request_id)
        self._first_token = work.first_token
        self._head = (
            f'data: {{"id":{request_id},"attempt":{job.attempt},"sequence":'
        )
        self._text = ',"choices":[{"index":0,"text":"'
        self._tail = '"'
        if work.chat:
            self._text = ',"choices":[{"index":0,"delta":{"content":"'
            self._tail = '"}'

    def token_events(self, first: int, end: int) -> str:
        """Returns the events of the tokens in `range(first, end)`."""
        job = self.job
        last = -1
        if job.state is JobState.FINISHED:
            last = job.produced_tokens - 1
        return "".join(
            self._token_event(number, finished=number == last)
            for number in range(first, end)
        )

    def cancelled_event(self, number: int) -> str:
        """Returns the last event of a cancelled stream, without a token."""
        return self._event(number, "", finished=True)

    def _token_event(self, number: int, *, finished: bool) -> str:
        token = answer_token(self.job.digest, self._first_token + number)
        return self._event(number, token, finished=finished)

    def _event(self, number: int, token: str, *, finished: bool) -> str:
        start = f"{self._head}{number}{self._text}{token}{self._tail}"
        if not finished:
            return start + ',"finish_reason":null}]}\n\n'
        reason = finish_reason(self.job)
        usage_json = json.dumps(usage(self.job))
        return (
            f'{start},"finish_reason":"{reason}"}}],"usage":{usage_json}}}\n\n'
        )


class SseResponse(Response):
    """Streams a job's events until the job ends or the client disconnects.

    A disconnect does not cancel the job.
    """

    media_type = "text/event-stream"

    def __init__(
        self,
        *,
        job: Job,
        work: Completion,
        first: int,
        history: History,
        actor: str,
    ) -> None:
        self.status_code = 200
        self.background = None
        self.init_headers({"cache-control": "no-store"})
        del self.headers["content-length"]
        self.job = job
        self.event_builder = SseEventBuilder(job=job, work=work)
        self.next_token = first
        self.history = history
        self.actor = actor
        self.client_disconnected = False

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Sends the response as an ASGI application."""
        watcher = asyncio.create_task(self._watch_disconnect(receive))
        try:
            await send(
                {
                    "type": "http.response.start",
                    "status": self.status_code,
                    "headers": self.raw_headers,
                }
            )
            await self._send_events(send)
        finally:
            watcher.cancel()

    async def _watch_disconnect(self, receive: Receive) -> None:
        await wait_for_disconnect(receive)
        self.client_disconnected = True
        self.job.notify_waiters()

    async def _send_events(self, send: Send) -> None:
        job = self.job
        while not self.client_disconnected:
            if self.next_token < job.produced_tokens:
                await self._send_produced(send)
            elif job.active:
                await job.wait_for_change()
            else:
                await self._send_end(send)
                return

    async def _send_produced(self, send: Send) -> None:
        first, end = self.next_token, self.job.produced_tokens
        self.next_token = end
        self.history.add(
            self.actor,
            HistoryKind.FRAMES_SENT,
            request_id=self.job.request_id,
            attempt=self.job.attempt,
            first=first,
            count=end - first,
        )
        await _send_text(
            send, self.event_builder.token_events(first, end), more_body=True
        )

    async def _send_end(self, send: Send) -> None:
        text = DONE_EVENT
        if self.job.state is JobState.CANCELLED:
            text = self.event_builder.cancelled_event(self.next_token) + text
        await _send_text(send, text, more_body=False)


async def _send_text(send: Send, text: str, *, more_body: bool) -> None:
    await send(
        {
            "type": "http.response.body",
            "body": text.encode("ascii"),
            "more_body": more_body,
        }
    )


__all__ = ["SseResponse", "SseEventBuilder", "usage", "completion_response"]

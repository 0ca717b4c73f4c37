"""Reads one attempt's answer and resumes it on the same endpoint."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import (
    Attempt,
    EndpointClient,
    EndpointFailureError,
    MisroutedFrame,
    StreamFrame,
)
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.endpoints.client import SendGuard
    from auburnswitch.observe.metrics import Metrics
    from auburnswitch.routing.answer_progress import AnswerProgress
    from auburnswitch.routing.request import RoutedRequest
    from auburnswitch.schema.objects import Endpoint

MAX_RESUMES: Final = 2
RESUME_DELAY_S: Final = 0.1
DRAIN_TIMEOUT_S: Final = 0.2
PREFILL_TIMEOUT_FACTOR: Final = 4.0  # times the prefill of the prompt alone


@dataclass(slots=True, kw_only=True)
class AnswerText:
    """Text that goes on with the answer."""

    text: str


@dataclass(slots=True, kw_only=True)
class AnswerEnd:
    """The explicit end of a whole answer."""

    finish_reason: str
    usage: dict[str, int] = field(default_factory=dict)


class AnswerStream:
    """The answer of one attempt, frame by frame.

    Attributes:
        request: The request that runs.
        spec: The endpoint it runs on.
        attempt: Names the attempt.
        progress: What has been delivered.
        guard: Called right before the first byte of the attempt; may raise.
    """

    __slots__ = (
        "attempt",
        "client",
        "guard",
        "metrics",
        "progress",
        "request",
        "spec",
    )

    def __init__(
        self,
        *,
        client: EndpointClient,
        metrics: Metrics,
        request: RoutedRequest,
        spec: Endpoint,
        attempt: Attempt,
        progress: AnswerProgress,
        guard: SendGuard,
    ) -> None:
        self.guard = guard
        self.client = client
        self.metrics = metrics
        self.request = request
        self.spec = spec
        self.attempt = attempt
        self.progress = progress

    async def parts(self) -> AsyncIterator[AnswerText | AnswerEnd]:
        """Yields the parts of the answer, the last one its end.

        Raises:
            EndpointFailureError: The answer broke and cannot be resumed.
            TimeoutError: The deadline passed.
        """
        batches = self._start()
        resumes = 0
        while True:
            try:
                async with contextlib.aclosing(batches):
                    async for part in self._read(batches):
                        yield part
                        if isinstance(part, AnswerEnd):
                            return
                raise EndpointFailureError(
                    "the stream ended without an end frame",
                    sent=True,
                    lost=True,
                )
            except EndpointFailureError as error:
                if not self._may_resume(error, resumes):
                    error.sent = error.sent or resumes > 0  # at the first try
                    raise
            resumes += 1
            await asyncio.sleep(RESUME_DELAY_S)
            batches = self.client.resume(
                self.spec, self.attempt, self.progress.attempt_frames
            )

    def _start(self) -> AsyncIterator[list[StreamFrame | MisroutedFrame]]:
        request = self.request
        body = _engine_body(request, self.progress)
        return self.client.stream(
            self.spec, request.path, body, self.attempt, self.guard
        )

    def _may_resume(self, error: EndpointFailureError, resumes: int) -> bool:
        return error.lost and error.sent and resumes < MAX_RESUMES

    async def _read(
        self, batches: AsyncIterator[list[StreamFrame | MisroutedFrame]]
    ) -> AsyncIterator[AnswerText | AnswerEnd]:
        while True:
            batch = await self._next_batch(batches)
            if batch is None:
                return
            accepted = [frame for frame in batch if self._accept(frame)]
            if joined := "".join(frame.text for frame in accepted):
                self.progress.text_parts.append(joined)
                yield AnswerText(text=joined)
            for frame in accepted:
                if frame.finish_reason:
                    yield self._end(frame)
                    return

    async def _next_batch(
        self, batches: AsyncIterator[list[StreamFrame | MisroutedFrame]]
    ) -> list[StreamFrame | MisroutedFrame] | None:
        """Returns the next frames, None at the end of the stream.

        Raises:
            EndpointFailureError: The endpoint sent nothing for too long.
            TimeoutError: The deadline passed.
        """
        silent_at = monotonic_s() + self._silence_limit_s()
        try:
            async with asyncio.timeout_at(
                min(silent_at, self.request.deadline_at)
            ):
                return await anext(batches, None)
        except TimeoutError as error:
            if silent_at >= self.request.deadline_at:
                raise
            raise EndpointFailureError(
                "the endpoint sent nothing for too long", sent=True, lost=False
            ) from error

    def _silence_limit_s(self) -> float:
        """Returns the longest silence before the next frame, in seconds."""
        idle_s = self.client.settings.stream_idle_timeout_s
        if self.progress.attempt_frames:
            return idle_s
        rate = max(1, self.spec.prefill_tokens_per_second)
        prefill_s = self.request.prompt_tokens / rate
        return idle_s + PREFILL_TIMEOUT_FACTOR * prefill_s

    def _accept(self, frame: StreamFrame | MisroutedFrame) -> bool:
        """Counts the next frame; tells whether it goes on with the answer.

        Raises:
            EndpointFailureError: A frame is missing before this one.
        """
        expected = self.progress.attempt_frames
        match frame:
            case StreamFrame(sequence=sequence) if sequence == expected:
                self.progress.attempt_frames += 1
                return True
            case StreamFrame(sequence=sequence) if sequence > expected:
                raise EndpointFailureError(
                    "a frame is missing", sent=True, lost=False
                )
        self.metrics.late_frames.add(1)
        log_event(
            EventId.LATE_FRAME_DROPPED,
            request_id=self.request.id,
            frame=repr(frame)[:200],
        )
        return False

    def _end(self, frame: StreamFrame) -> AnswerEnd:
        usage = dict(frame.usage or {})
        if self.progress.prior_tokens:  # the endpoint counted what came before
            usage["prompt_tokens"] -= self.progress.prior_tokens
            usage["completion_tokens"] += self.progress.prior_tokens
        return AnswerEnd(finish_reason=frame.finish_reason, usage=usage)


async def _read_rest(
    batches: AsyncIterator[list[StreamFrame | MisroutedFrame]],
) -> None:
    """Reads the end of the response, so that its connection is kept."""
    with contextlib.suppress(EndpointFailureError, TimeoutError):
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            async for _ in batches:
                pass


def _broken(reason: str) -> EndpointFailureError:
    return EndpointFailureError(reason, sent=True, lost=True)


def _engine_body(
    request: RoutedRequest, progress: AnswerProgress
) -> dict[str, Any]:
    body = dict(request.body)
    body["stream"] = True
    body["max_tokens"] = request.answer_tokens - progress.prior_tokens
    body["priority"] = int(request.length_class)
    if progress.text_parts:
        body["continue_text"] = "".join(progress.text_parts)
    return body


__all__ = ["AnswerEnd", "AnswerStream", "AnswerText"]

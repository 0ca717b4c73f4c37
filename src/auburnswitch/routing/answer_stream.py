"""Reads one attempt's answer and resumes it at the same endpoint."""

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
PREFILL_TIMEOUT_FACTOR: Final = 4.0  # multiple of the unloaded prefill time


@dataclass(slots=True, kw_only=True)
class AnswerText:
    """The next piece of an answer's text."""

    text: str


@dataclass(slots=True, kw_only=True)
class AnswerEnd:
    """The end frame of a complete answer."""

    finish_reason: str
    usage: dict[str, int] = field(default_factory=dict)


class AnswerStream:
    """Reads the answer of one attempt frame by frame.

    Attributes:
        request: The request of the attempt.
        spec: The endpoint that runs the request.
        attempt: Identifies the attempt.
        progress: The part of the answer that has been delivered.
        guard: Called right before the first byte is sent; may raise.
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
        """Yields the parts of the answer; the last one is an ``AnswerEnd``.

        Raises:
            EndpointFailureError: The answer broke off and cannot be resumed.
            TimeoutError: The deadline passed.
        """
        batches = self._open_stream()
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
                    error.sent = (
                        error.sent or resumes > 0
                    )  # sent by the first call
                    raise
            resumes += 1
            await asyncio.sleep(RESUME_DELAY_S)
            batches = self.client.resume(
                self.spec, self.attempt, self.progress.attempt_frames
            )

    def _open_stream(self) -> AsyncIterator[list[StreamFrame | MisroutedFrame]]:
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
            if text := "".join(frame.text for frame in accepted):
                self.progress.text_parts.append(text)
                yield AnswerText(text=text)
            for frame in accepted:
                if frame.finish_reason:
                    yield self._make_end(frame)
                    return

    async def _next_batch(
        self, batches: AsyncIterator[list[StreamFrame | MisroutedFrame]]
    ) -> list[StreamFrame | MisroutedFrame] | None:
        """Returns the next frames, or None at the end of the stream.

        Raises:
            EndpointFailureError: The endpoint sent nothing for too long.
            TimeoutError: The deadline passed.
        """
        frame_due_at = monotonic_s() + self._frame_timeout_s()
        try:
            async with asyncio.timeout_at(
                min(frame_due_at, self.request.deadline_at)
            ):
                return await anext(batches, None)
        except TimeoutError as error:
            if frame_due_at >= self.request.deadline_at:
                raise
            raise EndpointFailureError(
                "the endpoint sent nothing for too long", sent=True, lost=False
            ) from error

    def _frame_timeout_s(self) -> float:
        """Returns the maximum wait for the next frame, in seconds."""
        idle_s = self.client.settings.stream_idle_timeout_s
        if self.progress.attempt_frames:
            return idle_s
        rate = max(1, self.spec.prefill_tokens_per_second)
        prefill_s = self.request.prompt_tokens / rate
        return idle_s + PREFILL_TIMEOUT_FACTOR * prefill_s

    def _accept(self, frame: StreamFrame | MisroutedFrame) -> bool:
        """Returns whether a frame continues the answer, and counts it if so.

        Raises:
            EndpointFailureError: A frame before this one is missing.
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

    def _make_end(self, frame: StreamFrame) -> AnswerEnd:
        usage = dict(frame.usage or {})
        if self.progress.prior_tokens:  # the engine counts them as prompt
            usage["prompt_tokens"] -= self.progress.prior_tokens
            usage["completion_tokens"] += self.progress.prior_tokens
        return AnswerEnd(finish_reason=frame.finish_reason, usage=usage)


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

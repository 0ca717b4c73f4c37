"""Runs a request: places it, sends it, and retries where that is allowed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import (
    Attempt,
    EndpointClient,
    EndpointFailureError,
    ForeignFrame,
    Frame,
)
from auburnswitch.observe.logs import log_event
from auburnswitch.results import Refusal, refusal
from auburnswitch.schema.events import EventId
from auburnswitch.schema.results import Ran, ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from auburnswitch.endpoints.reservations import HeldReservation
    from auburnswitch.observe.metrics import Metrics
    from auburnswitch.routing.placement import Placer
    from auburnswitch.routing.request import RoutedRequest
    from auburnswitch.schema.objects import Endpoint


@dataclass(slots=True, kw_only=True)
class AnswerText:
    """Text that goes on with the answer."""

    text: str


@dataclass(slots=True, kw_only=True)
class AnswerEnd:
    """The explicit end of a whole answer."""

    finish_reason: str
    usage: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class AnswerFailed:
    """The final refusal or failure."""

    refusal: Refusal


AnswerPart = AnswerText | AnswerEnd | AnswerFailed


class Progress:
    """What has been delivered of one answer.

    Attributes:
        text: Text delivered, over all attempts.
        frames: Frames of the present attempt that were taken.
    """

    __slots__ = ("first_token_at", "frames", "text")

    def __init__(self) -> None:
        self.text: list[str] = []
        self.frames = 0
        self.first_token_at = 0.0


class Dispatcher:
    """Runs requests on endpoints.

    Attributes:
        placer: Finds endpoints.
        client: Calls endpoints.
        metrics: The daemon's instruments.
    """

    __slots__ = ("client", "member_id", "metrics", "placer")

    def __init__(
        self,
        *,
        placer: Placer,
        client: EndpointClient,
        metrics: Metrics,
        member_id: str,
    ) -> None:
        self.placer = placer
        self.client = client
        self.metrics = metrics
        self.member_id = member_id

    async def run(self, request: RoutedRequest) -> AsyncIterator[AnswerPart]:
        """Yields the parts of the answer; the last one is its end."""
        progress = Progress()
        excluded: set[str] = set()
        last_error = ""
        while request.attempts < request.max_attempts:
            try:
                async with asyncio.timeout_at(request.deadline_at):
                    placed = await self.placer.place(request, excluded)
            except TimeoutError:
                yield AnswerFailed(refusal=_deadline(request, progress))
                return
            if isinstance(placed, Refusal):
                yield AnswerFailed(refusal=_after_attempts(placed, progress))
                return
            request.attempts += 1
            try:
                async for part in self._attempt(request, placed, progress):
                    yield part
                return
            except TimeoutError:
                yield AnswerFailed(refusal=_deadline(request, progress))
                return
            except EndpointFailureError as error:
                last_error = str(error)
                excluded.add(placed.endpoint)
                if progress.text and not request.allow_continuation:
                    break
                self._note_retry(request, placed, last_error)
        yield AnswerFailed(refusal=_failed(request, progress, last_error))

    async def _attempt(
        self,
        request: RoutedRequest,
        held: HeldReservation,
        progress: Progress,
    ) -> AsyncIterator[AnswerPart]:
        """Runs one attempt and gives its reservation back.

        Raises:
            EndpointFailureError: The endpoint failed.
            TimeoutError: The deadline passed.
        """
        spec = self.placer.owner_table.state.endpoints[held.endpoint]
        attempt = Attempt(
            request_id=request.id,
            number=request.attempts,
            member_id=self.member_id,
        )
        started_at = monotonic_s()
        succeeded = lost = finished = may_still_run = False
        progress.frames = 0
        try:
            request.dispatched = True
            guard = self.placer.reservations.guard(held, attempt)
            async for part in self._stream(
                request, spec, attempt, progress, guard
            ):
                finished = isinstance(part, AnswerEnd)
                if progress.frames == 1 or finished:
                    await self._note_prefilled(request, held, started_at)
                yield part
            succeeded = True
        except EndpointFailureError as error:
            lost = error.lost
            finished = may_still_run = error.lost
            raise
        finally:
            if not finished and held.dispatched_at is not None:
                freed = await asyncio.shield(self.client.cancel(spec, attempt))
                may_still_run = not freed
            await asyncio.shield(
                self.placer.reservations.release(
                    held,
                    succeeded=succeeded,
                    endpoint_lost=lost,
                    may_still_run=may_still_run,
                )
            )

    async def _stream(
        self,
        request: RoutedRequest,
        spec: Endpoint,
        attempt: Attempt,
        progress: Progress,
        guard: Callable[[], None],
    ) -> AsyncIterator[AnswerPart]:
        body = _engine_body(request, progress)
        batches = self.client.stream(spec, request.path, body, attempt, guard)
        while True:
            async with asyncio.timeout_at(request.deadline_at):
                batch = await anext(batches, None)
            if batch is None:
                break
            text = []
            end: Frame | None = None
            for frame in batch:
                match frame:
                    case ForeignFrame():
                        self._drop(frame, request)
                    case Frame(sequence=sequence) if sequence < progress.frames:
                        self._drop(frame, request)
                    case Frame():
                        if frame.sequence != progress.frames:
                            raise EndpointFailureError(
                                "a frame is missing", sent=True, lost=False
                            )
                        progress.frames += 1
                        text.append(frame.text)
                        end = frame if frame.finish_reason else end
            if joined := "".join(text):
                progress.text.append(joined)
                yield AnswerText(text=joined)
            if end is not None:
                yield AnswerEnd(
                    finish_reason=end.finish_reason, usage=end.usage or {}
                )
                return
        raise EndpointFailureError(
            "the stream ended without an end frame", sent=True, lost=True
        )

    def _drop(
        self, frame: Frame | ForeignFrame, request: RoutedRequest
    ) -> None:
        self.metrics.late_frames.add(1)
        log_event(
            EventId.LATE_FRAME_DROPPED,
            request_id=request.id,
            frame=str(frame)[:200],
        )

    async def _note_prefilled(
        self, request: RoutedRequest, held: HeldReservation, started_at: float
    ) -> None:
        if held.work.prefill_tokens == 0:
            return
        length = request.length_class.name.lower()
        first_token_s = monotonic_s() - started_at
        self.metrics.first_token.record(first_token_s, {"length": length})
        await self.placer.reservations.note_prefilled(held)

    def _note_retry(
        self, request: RoutedRequest, held: HeldReservation, reason: str
    ) -> None:
        if request.attempts >= request.max_attempts:
            return
        self.metrics.retries.add(1)
        log_event(
            EventId.REQUEST_RETRIED,
            request_id=request.id,
            endpoint=held.endpoint,
            reason=reason,
        )


def _engine_body(request: RoutedRequest, progress: Progress) -> dict[str, Any]:
    body = dict(request.body)
    body["stream"] = True
    body["max_tokens"] = request.answer_tokens
    body["priority"] = int(request.length_class)
    if progress.text:
        body["continue_text"] = "".join(progress.text)
    return body


def _deadline(request: RoutedRequest, progress: Progress) -> Refusal:
    ran = Ran.NO
    if request.dispatched:
        ran = Ran.YES if progress.text else Ran.UNKNOWN
    return refusal(ResultCode.DEADLINE_EXCEEDED, ran=ran)


def _failed(request: RoutedRequest, progress: Progress, reason: str) -> Refusal:
    if progress.text:
        return refusal(ResultCode.STREAM_BROKEN, reason)
    return refusal(ResultCode.ENDPOINT_FAILED, reason, retry_after_s=1)


def _after_attempts(refused: Refusal, progress: Progress) -> Refusal:
    if progress.text:
        refused.ran = Ran.YES
    return refused


__all__ = [
    "AnswerEnd",
    "AnswerFailed",
    "AnswerPart",
    "AnswerText",
    "Dispatcher",
]

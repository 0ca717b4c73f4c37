"""Runs a request: places it, sends it, and retries where that is allowed."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import (
    Attempt,
    EndpointClient,
    EndpointFailureError,
)
from auburnswitch.observe.logs import log_event
from auburnswitch.results import Refusal, refusal
from auburnswitch.routing.answer_stream import (
    AnswerEnd,
    AnswerStream,
    AnswerText,
)
from auburnswitch.routing.progress import Progress
from auburnswitch.schema.events import EventId
from auburnswitch.schema.results import Ran, ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.endpoints.reservations import HeldReservation
    from auburnswitch.observe.metrics import Metrics
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.routing.placement import Placer
    from auburnswitch.routing.request import RoutedRequest


@dataclass(slots=True, kw_only=True)
class AnswerFailed:
    """The final refusal or failure."""

    refusal: Refusal


AnswerPart = AnswerText | AnswerEnd | AnswerFailed


class Dispatcher:
    """Runs requests on endpoints.

    Attributes:
        placer: Finds endpoints.
        client: Calls endpoints.
        metrics: The daemon's instruments.
        cleanups: Cancellations and releases that go on after an attempt.
    """

    __slots__ = ("cleanups", "client", "member_id", "metrics", "placer")

    def __init__(
        self,
        *,
        placer: Placer,
        client: EndpointClient,
        metrics: Metrics,
        member_id: str,
        cleanups: TaskSet,
    ) -> None:
        self.placer = placer
        self.client = client
        self.metrics = metrics
        self.member_id = member_id
        self.cleanups = cleanups

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
                attempt = self._attempt(request, placed, progress)
                async with contextlib.aclosing(attempt) as parts:
                    async for part in parts:
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
        lost = finished = False
        progress.start_attempt()
        try:
            request.dispatched = True
            stream = AnswerStream(
                client=self.client,
                metrics=self.metrics,
                request=request,
                spec=spec,
                attempt=attempt,
                progress=progress,
                guard=self.placer.reservations.guard(held, attempt),
            )
            async with contextlib.aclosing(stream.parts()) as parts:
                async for part in parts:
                    finished = isinstance(part, AnswerEnd)
                    yield part
                    self._note_prefilled(request, held, started_at)
        except EndpointFailureError as error:
            lost = error.lost
            finished = error.lost
            raise
        finally:
            runs = not finished and held.dispatched_at is not None
            end = self._end(
                held,
                attempt if runs else None,
                succeeded=finished and not lost,
                endpoint_lost=lost,
            )
            self.cleanups.start(end, "end attempt")

    async def _end(
        self,
        held: HeldReservation,
        attempt: Attempt | None,
        *,
        succeeded: bool,
        endpoint_lost: bool,
    ) -> None:
        """Cancels an attempt if there is one, then gives its room back."""
        may_still_run = endpoint_lost
        if attempt is not None:
            spec = self.placer.owner_table.state.endpoints.get(held.endpoint)
            freed = spec is not None and await self.client.cancel(spec, attempt)
            may_still_run = not freed
        await self.placer.reservations.release(
            held,
            succeeded=succeeded,
            endpoint_lost=endpoint_lost,
            may_still_run=may_still_run,
        )

    def _note_prefilled(
        self, request: RoutedRequest, held: HeldReservation, started_at: float
    ) -> None:
        if held.work.prefill_tokens == 0:
            return
        held.work.prefill_tokens = 0
        length = request.length_class.name.lower()
        first_token_s = monotonic_s() - started_at
        self.metrics.first_token.record(first_token_s, {"length": length})
        progress = self.placer.reservations.note_prefilled(held)
        self.cleanups.start(progress, "note progress")

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

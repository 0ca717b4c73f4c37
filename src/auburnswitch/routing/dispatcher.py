"""Runs requests: places them, sends them and retries where allowed."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import (
    Attempt,
    EndpointClient,
    EndpointFailureError,
)
from auburnswitch.observe.logs import log_event
from auburnswitch.results import Refusal, refusal
from auburnswitch.routing.answer_progress import AnswerProgress
from auburnswitch.routing.answer_stream import (
    AnswerEnd,
    AnswerStream,
    AnswerText,
)
from auburnswitch.routing.completion_checks import CompletionChecks
from auburnswitch.routing.group_placer import GroupReservation
from auburnswitch.schema.events import EventId
from auburnswitch.schema.results import Ran, ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.endpoints.reservations import HeldReservation
    from auburnswitch.observe.metrics import Metrics
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.routing.crash_detector import CrashDetector
    from auburnswitch.routing.group_runner import GroupRunner
    from auburnswitch.routing.placer import Placer
    from auburnswitch.routing.request import RoutedRequest
    from auburnswitch.routing.retry_budget import RetryBudget
    from auburnswitch.routing.team_limits import TeamLimits


UNKNOWN_STREAM_STATUS: Final = 404  # the endpoint no longer has the stream
BUDGET_SPENT_RETRY_AFTER_S: Final = 5.0


@dataclass(slots=True, kw_only=True)
class AnswerFailed:
    """The last part of a refused or failed answer."""

    refusal: Refusal


AnswerPart = AnswerText | AnswerEnd | AnswerFailed


class Dispatcher:
    """Runs requests on endpoints.

    Attributes:
        placer: Reserves endpoints for requests.
        client: Sends calls to endpoints.
        metrics: The daemon's metrics.
        member_id: Id of this daemon.
        cleanups: Background cancellations and releases of ended attempts.
        crash_detector: Detects whether a lost endpoint has crashed.
        budget: Limits retries.
        limits: Admits requests within their teams' limits.
        groups: Runs prompts that exceed the capacity of one endpoint.
        completion_checks: Checks the invariants at the end of each request.
    """

    __slots__ = (
        "budget",
        "cleanups",
        "client",
        "completion_checks",
        "crash_detector",
        "groups",
        "limits",
        "member_id",
        "metrics",
        "placer",
    )

    def __init__(
        self,
        *,
        placer: Placer,
        client: EndpointClient,
        metrics: Metrics,
        member_id: str,
        cleanups: TaskSet,
        crash_detector: CrashDetector,
        budget: RetryBudget,
        limits: TeamLimits,
        groups: GroupRunner,
    ) -> None:
        self.placer = placer
        self.client = client
        self.metrics = metrics
        self.member_id = member_id
        self.cleanups = cleanups
        self.crash_detector = crash_detector
        self.budget = budget
        self.limits = limits
        self.groups = groups
        self.completion_checks = CompletionChecks(
            endpoint_manager=placer.endpoint_manager
        )

    async def run(self, request: RoutedRequest) -> AsyncIterator[AnswerPart]:
        """Yields the parts of the answer; the last is its end or a failure."""
        if refused := self.limits.admit(request):
            yield AnswerFailed(refusal=refused)
            return
        resumed_at = monotonic_s()
        try:
            async with contextlib.aclosing(self._run(request)) as parts:
                async for part in parts:
                    self._check_completion(request, part, resumed_at)
                    yield part
                    resumed_at = monotonic_s()
        finally:
            self.limits.finish(request)

    async def _run(self, request: RoutedRequest) -> AsyncIterator[AnswerPart]:
        progress = AnswerProgress()
        excluded: set[str] = set()
        last_error = ""
        self.budget.record_admission()
        while request.attempts < request.max_attempts:
            try:
                async with asyncio.timeout_at(request.deadline_at):
                    placement = await self._place(request, excluded)
            except TimeoutError:
                yield AnswerFailed(refusal=_deadline_refusal(request, progress))
                return
            if isinstance(placement, Refusal):
                yield AnswerFailed(
                    refusal=_set_ran_after_attempts(placement, progress)
                )
                return
            request.attempts += 1
            dispatched_before = request.dispatched
            try:
                attempt = self._start_attempt(request, placement, progress)
                async with contextlib.aclosing(attempt) as parts:
                    async for part in parts:
                        if isinstance(part, AnswerEnd):
                            self.completion_checks.check_token_count(
                                request, progress, part
                            )
                        yield part
                self.placer.strikes.clear(request.fingerprint)
                return
            except TimeoutError:
                yield AnswerFailed(refusal=_deadline_refusal(request, progress))
                return
            except EndpointFailureError as error:
                last_error = str(error)
                excluded.add(placement.endpoint)
                sent = error.sent or progress.attempt_frames > 0
                request.dispatched = dispatched_before or sent
                if sent and (
                    error.lost or error.status == UNKNOWN_STREAM_STATUS
                ):
                    await self._check_for_crash(request, placement)
                if progress.text_parts and not request.allow_continuation:
                    break
                if sent and not self.budget.try_acquire():
                    yield AnswerFailed(refusal=_budget_refusal(progress))
                    return
                self._record_retry(request, placement, last_error)
        yield AnswerFailed(
            refusal=_failure_refusal(request, progress, last_error)
        )

    def _check_completion(
        self, request: RoutedRequest, part: AnswerPart, resumed_at: float
    ) -> None:
        match part:
            case AnswerFailed(refusal=refused):
                self.completion_checks.check_refusal(request, refused)
                self.completion_checks.check_deadline(request, resumed_at)
            case AnswerEnd():
                self.completion_checks.check_deadline(request, resumed_at)

    async def _place(
        self, request: RoutedRequest, excluded: set[str]
    ) -> HeldReservation | GroupReservation | Refusal:
        if self.groups.group_placer.needs_group(request):
            return await self.groups.group_placer.place(request, excluded)
        return await self.placer.place(request, excluded)

    def _start_attempt(
        self,
        request: RoutedRequest,
        placement: HeldReservation | GroupReservation,
        progress: AnswerProgress,
    ) -> AsyncIterator[AnswerPart]:
        match placement:
            case GroupReservation():
                return self.groups.attempt(request, placement, progress)
            case _:
                return self._attempt(request, placement, progress)

    async def _check_for_crash(
        self,
        request: RoutedRequest,
        placement: HeldReservation | GroupReservation,
    ) -> None:
        spec = self.placer.endpoint_manager.state.endpoints.get(
            placement.endpoint
        )
        if spec is not None and placement.boot_id:
            await self.crash_detector.check_for_crash(request, placement, spec)

    async def _attempt(
        self,
        request: RoutedRequest,
        held: HeldReservation,
        progress: AnswerProgress,
    ) -> AsyncIterator[AnswerPart]:
        """Runs one attempt and releases its reservation afterwards.

        Raises:
            EndpointFailureError: The endpoint failed.
            TimeoutError: The deadline passed.
        """
        spec = self.placer.endpoint_manager.state.endpoints[held.endpoint]
        attempt = Attempt(
            request_id=request.id,
            number=request.attempts,
            member_id=self.member_id,
        )
        started_at = monotonic_s()
        lost = ended = False
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
                    ended = isinstance(part, AnswerEnd)
                    yield part
                    self._record_first_token(request, held, started_at)
        except EndpointFailureError as error:
            lost = error.lost
            ended = error.lost
            raise
        finally:
            may_still_run = not ended and held.dispatched_at is not None
            cleanup = self._end_attempt(
                held,
                attempt if may_still_run else None,
                succeeded=ended and not lost,
                endpoint_lost=lost,
            )
            self.cleanups.start(cleanup, "end attempt")

    async def _end_attempt(
        self,
        held: HeldReservation,
        attempt: Attempt | None,
        *,
        succeeded: bool,
        endpoint_lost: bool,
    ) -> None:
        """Cancels the attempt, if given, and releases its reservation."""
        may_still_run = endpoint_lost
        if attempt is not None:
            spec = self.placer.endpoint_manager.state.endpoints.get(
                held.endpoint
            )
            freed = spec is not None and await self.client.cancel(spec, attempt)
            may_still_run = not freed
        await self.placer.reservations.release(
            held,
            succeeded=succeeded,
            endpoint_lost=endpoint_lost,
            may_still_run=may_still_run,
        )

    def _record_first_token(
        self, request: RoutedRequest, held: HeldReservation, started_at: float
    ) -> None:
        if held.work.prefill_tokens == 0:
            return
        held.work.prefill_tokens = 0
        length = request.length_class.name.lower()
        first_token_s = monotonic_s() - started_at
        self.metrics.time_to_first_token.record(
            first_token_s, {"length": length}
        )
        report = self.placer.reservations.report_prefilled(held)
        self.cleanups.start(report, "note progress")

    def _record_retry(
        self,
        request: RoutedRequest,
        placement: HeldReservation | GroupReservation,
        reason: str,
    ) -> None:
        if request.attempts >= request.max_attempts:
            return
        self.metrics.retries.add(1)
        log_event(
            EventId.REQUEST_RETRIED,
            request_id=request.id,
            endpoint=placement.endpoint,
            reason=reason,
        )


def _deadline_refusal(
    request: RoutedRequest, progress: AnswerProgress
) -> Refusal:
    ran = Ran.NO
    if request.dispatched:
        ran = Ran.YES if progress.text_parts else Ran.UNKNOWN
    return refusal(ResultCode.DEADLINE_EXCEEDED, ran=ran)


def _failure_refusal(
    request: RoutedRequest, progress: AnswerProgress, reason: str
) -> Refusal:
    if progress.text_parts:
        return refusal(ResultCode.STREAM_BROKEN, reason)
    ran = Ran.UNKNOWN if request.dispatched else Ran.NO
    return refusal(ResultCode.ENDPOINT_FAILED, reason, ran=ran, retry_after_s=1)


def _budget_refusal(progress: AnswerProgress) -> Refusal:
    ran = Ran.YES if progress.text_parts else Ran.UNKNOWN
    return refusal(
        ResultCode.RETRY_BUDGET_SPENT,
        ran=ran,
        retry_after_s=BUDGET_SPENT_RETRY_AFTER_S,
    )


def _set_ran_after_attempts(
    refused: Refusal, progress: AnswerProgress
) -> Refusal:
    if progress.text_parts:
        refused.ran = Ran.YES
    return refused


__all__ = [
    "AnswerEnd",
    "AnswerFailed",
    "AnswerPart",
    "AnswerText",
    "Dispatcher",
]

"""Sends a request to endpoints until it is answered or may not be retried."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.routing.delivery.attempt import AttemptRunner
from auburnswitch.routing.delivery.attempt_opener import (
    CRASHES_REASON,
    AttemptOpener,
)
from auburnswitch.routing.delivery.duration_estimator import DurationEstimator
from auburnswitch.routing.delivery.endpoint_outcomes import record_outcome
from auburnswitch.routing.delivery.outcomes import (
    AttemptFailed,
    Delivered,
    DeliveryFailed,
    DeliveryProgress,
    RetryAdvice,
)
from auburnswitch.routing.delivery.request_timers import RequestTimers
from auburnswitch.routing.delivery.retry_permission import RetryPermission
from auburnswitch.routing.delivery.successor_opener import SuccessorOpener
from auburnswitch.routing.delivery.whole_answer import deliver_whole
from auburnswitch.routing.selection.placement_wait import wait_for_placement
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.observe.statistics import EntryStatistics
    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.routing.crashes.crash_guard import CrashGuard
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.delivery.outcomes import AnswerWriter
    from auburnswitch.routing.delivery.stop_deadline import StopDeadline
    from auburnswitch.routing.delivery.windowed_retry_budget import (
        WindowedRetryBudget,
    )
    from auburnswitch.routing.selection.endpoint_selector import (
        EndpointSelector,
    )
    from auburnswitch.routing.selection.memory_reservations import (
        MemoryReservations,
    )
    from auburnswitch.routing.selection.placement import Placement
    from auburnswitch.schema.installation import EndpointEntry

MIN_SEND_TIME_LEFT_S: Final = 0.02
MAX_LOGGED_PARTS: Final = 8


class DeliveryRunner:
    """Sends requests to endpoints and relays their answers.

    Attributes:
        selector: Chooses endpoints.
        opener: Sends requests to endpoints.
        budget: Limits retries.
        crash_guard: Keeps requests that crash endpoints away from them.
        statistics: Counts retries and records latencies.
        stop: Bounds the requests of a stopping daemon.
        durations: Estimates how long attempts take.
        timers: Deadlines of the requests in progress.
    """

    __slots__ = (
        "budget",
        "crash_guard",
        "durations",
        "opener",
        "retries",
        "selector",
        "statistics",
        "stop",
        "timers",
    )

    def __init__(
        self,
        *,
        selector: EndpointSelector,
        endpoint_client: PlatformEndpointClient,
        budget: WindowedRetryBudget,
        memory: MemoryReservations,
        crash_guard: CrashGuard,
        statistics: EntryStatistics,
        stop: StopDeadline,
        identify: Callable[[EndpointEntry], EndpointEntry] = lambda entry: (
            entry
        ),
    ) -> None:
        self.stop = stop
        self.durations = DurationEstimator()
        self.timers = RequestTimers()
        self.statistics = statistics
        self.crash_guard = crash_guard
        self.selector = selector
        self.opener = AttemptOpener(
            selector=selector,
            memory=memory,
            endpoint_client=endpoint_client,
            may_begin=crash_guard.begin,
            identify=identify,
        )
        self.budget = budget
        self.retries = RetryPermission(
            selector=selector,
            budget=budget,
            crash_guard=crash_guard,
            stop=stop,
            may_retry=partial(self._ends_before_stop, is_retry=True),
        )

    async def deliver(
        self, job: DeliveryJob, writer: AnswerWriter
    ) -> Delivered | DeliveryFailed:
        """Delivers a request within its deadline."""
        self.budget.record_request(job.service.name)
        advice = self.crash_guard.advice(job)
        if advice is not None:
            return DeliveryFailed(
                reason=CRASHES_REASON, may_have_run=False, retry=advice
            )
        if not self.stop.may_begin(job.deadline_at):
            return _stop_failure()
        progress = DeliveryProgress(last_event_id=job.request.last_event_id)
        try:
            async with self.timers.limit(job.deadline_at):
                return await self._run_attempts(job, writer, progress)
        except TimeoutError:
            return self._timeout_failure(progress)
        finally:
            self.crash_guard.end(job)
            if progress.successor is not None:  # it has not been needed
                await progress.successor.close()

    def _timeout_failure(self, progress: DeliveryProgress) -> DeliveryFailed:
        if not self.stop.ended:
            return DeliveryFailed(
                reason="deadline", may_have_run=progress.may_have_run
            )
        return DeliveryFailed(
            reason="stopping",
            may_have_run=progress.may_have_run,
            retry=RetryAdvice.AT_ONCE,
        )

    async def _run_attempts(
        self, job: DeliveryJob, writer: AnswerWriter, progress: DeliveryProgress
    ) -> Delivered | DeliveryFailed:
        last_failure: AttemptFailed | None = None
        while True:
            if last_failure is not None and not self.retries.try_acquire(
                job, last_failure
            ):
                return await self._final_outcome(
                    job, last_failure, writer, progress
                )
            placement = await self._find_placement(job, progress)
            if placement is not None and not self._ends_before_stop(
                job, placement, is_retry=progress.may_have_run
            ):
                if not progress.may_have_run:
                    return _stop_failure()
                placement = None
            if placement is None:
                if last_failure is not None:
                    self.retries.release(job, last_failure)
                    return await self._final_outcome(
                        job, last_failure, writer, progress
                    )
                return self._placement_failure(job)
            if last_failure is not None and last_failure.successor is None:
                log_event(
                    EventId.REQUEST_RETRIED,
                    request=job.request.id,
                    endpoint=placement.endpoint.entry.id,
                    attempts=job.attempts,
                )
            outcome = await self._attempt(job, placement, writer, progress)
            match outcome:
                case Delivered():
                    return outcome
                case AttemptFailed():
                    last_failure = outcome

    def _record_failure(
        self,
        job: DeliveryJob,
        progress: DeliveryProgress,
        placement: Placement,
        failure: AttemptFailed,
    ) -> None:
        """Records an attempt that has failed, whatever follows it."""
        endpoint = placement.endpoint.entry.id
        record_outcome(self.selector, job, endpoint, failure)
        self.statistics.retries[failure.cause] += 1
        progress.may_have_run |= failure.may_have_run
        if failure.head is not None:
            progress.error_answer = failure
        job.attempts += failure.sent
        if failure.sent or failure.failed_to_connect:
            job.excluded.add(endpoint)
        log_event(
            EventId.ATTEMPT_FAILED,
            request=job.request.id,
            endpoint=endpoint,
            reason=failure.reason,
            may_have_run=failure.may_have_run,
            attempts=job.attempts,
            stage=failure.stage.value,
            fingerprint=job.fingerprint,
            parts=job.parts[:MAX_LOGGED_PARTS],
        )

    def _record_unused(
        self,
        job: DeliveryJob,
        progress: DeliveryProgress,
        placement: Placement,
        failure: AttemptFailed,
    ) -> None:
        """Records the failure of an attempt that was to replace another."""
        if failure.connection_broken:
            entry = placement.sent_to or placement.endpoint.entry
            self.crash_guard.start_record(job, entry, failure)
        self._record_failure(job, progress, placement, failure)

    async def _find_placement(
        self, job: DeliveryJob, progress: DeliveryProgress
    ) -> Placement | None:
        """Returns the placement of the next attempt."""
        if progress.successor is not None:
            placement = progress.successor.placement
        else:
            placement = await wait_for_placement(self.selector, job, self.stop)
        # It may be too late after a pause of this process.
        return placement if job.time_left_s() >= MIN_SEND_TIME_LEFT_S else None

    def _ends_before_stop(
        self, job: DeliveryJob, placement: Placement, *, is_retry: bool
    ) -> bool:
        """Returns whether an attempt is expected to end before the stop."""
        if placement.started or not self.stop.stopping:
            return True
        duration_s = self.durations.estimate_s(
            job.service.name, placement.duration_s
        )
        return self.stop.may_send(
            job.deadline_at, duration_s, is_retry=is_retry
        )

    def _placement_failure(self, job: DeliveryJob) -> DeliveryFailed:
        if self.selector.is_feasible(job):
            return DeliveryFailed(reason="no room", may_have_run=False)
        return DeliveryFailed(
            reason="too few endpoints in service",
            may_have_run=False,
            retry=RetryAdvice.LATER,
        )

    async def _final_outcome(
        self,
        job: DeliveryJob,
        last_failure: AttemptFailed,
        writer: AnswerWriter,
        progress: DeliveryProgress,
    ) -> Delivered | DeliveryFailed:
        answer = progress.error_answer
        if answer is None or answer.head is None or writer.started:
            return DeliveryFailed(
                reason=last_failure.reason,
                may_have_run=progress.may_have_run,
                retry=self.crash_guard.advice(job) or RetryAdvice.SOON,
            )
        return await deliver_whole(writer, answer.head, answer.body)

    async def _attempt(
        self,
        job: DeliveryJob,
        placement: Placement,
        writer: AnswerWriter,
        progress: DeliveryProgress,
    ) -> Delivered | AttemptFailed:
        successor, progress.successor = progress.successor, None
        started_at = successor.started_at if successor else monotonic_s()
        attempt = AttemptRunner(
            opener=self.opener,
            selector=self.selector,
            retries=self.retries,
            successors=SuccessorOpener(
                opener=self.opener,
                retries=self.retries,
                job=job,
                progress=progress,
                on_failure=partial(self._record_unused, job, progress),
            ),
            statistics=self.statistics,
            job=job,
            placement=placement,
            writer=writer,
            progress=progress,
            on_under_way=partial(self.crash_guard.record_under_way, job),
        )
        outcome = await attempt.run(successor)
        match outcome:
            case AttemptFailed():
                progress.successor = outcome.successor
                self._record_failure(job, progress, placement, outcome)
                if outcome.connection_broken:
                    await self.crash_guard.record_broken(
                        job,
                        placement.sent_to or placement.endpoint.entry,
                        outcome,
                    )
            case Delivered():
                self._record_delivery(job, placement, outcome, started_at)
        return outcome

    def _record_delivery(
        self,
        job: DeliveryJob,
        placement: Placement,
        outcome: Delivered,
        started_at: float,
    ) -> None:
        if outcome.is_success and outcome.end_confirmed:
            self.crash_guard.record_success(job)
        took_s = monotonic_s() - started_at
        self.durations.record(job.service.name, placement.duration_s, took_s)
        endpoint = placement.endpoint.entry.id
        record_outcome(self.selector, job, endpoint, outcome)


def _stop_failure() -> DeliveryFailed:
    return DeliveryFailed(
        reason="stopping", may_have_run=False, retry=RetryAdvice.AT_ONCE
    )


__all__ = ["DeliveryRunner"]

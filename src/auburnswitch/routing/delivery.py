"""Sends a request to endpoints until it is answered or may not be retried."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.observe.logs import log_event
from auburnswitch.platform.endpoint_responses import ResponseHead
from auburnswitch.routing.attempt import AttemptRunner
from auburnswitch.routing.endpoint_health import (
    HARD_FAILURE_WEIGHT,
    SOFT_FAILURE_WEIGHT,
)
from auburnswitch.routing.memory_reservations import MemoryRefusal
from auburnswitch.routing.outcomes import (
    AttemptFailed,
    Delivered,
    DeliveryFailed,
    DeliveryProgress,
    RetryAdvice,
)
from auburnswitch.routing.placement_wait import wait_for_placement
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from auburnswitch.observe.statistics import EntryStatistics
    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.routing.crash_registry import CrashRegistry
    from auburnswitch.routing.delivery_job import DeliveryJob
    from auburnswitch.routing.endpoint_selector import (
        EndpointSelector,
        Placement,
    )
    from auburnswitch.routing.memory_reservations import MemoryReservations
    from auburnswitch.routing.outcomes import AnswerWriter
    from auburnswitch.routing.windowed_retry_budget import WindowedRetryBudget

MIN_RETRY_TIME_LEFT_S: Final = 0.03
MIN_SEND_TIME_LEFT_S: Final = 0.02


class DeliveryRunner:
    """Sends requests to endpoints and relays their answers."""

    __slots__ = (
        "budget",
        "crash_registry",
        "endpoint_client",
        "memory",
        "selector",
        "statistics",
    )

    def __init__(
        self,
        *,
        selector: EndpointSelector,
        endpoint_client: PlatformEndpointClient,
        budget: WindowedRetryBudget,
        memory: MemoryReservations,
        crash_registry: CrashRegistry,
        statistics: EntryStatistics,
    ) -> None:
        self.statistics = statistics
        self.crash_registry = crash_registry
        self.memory = memory
        self.selector = selector
        self.endpoint_client = endpoint_client
        self.budget = budget

    async def deliver(
        self, job: DeliveryJob, writer: AnswerWriter
    ) -> Delivered | DeliveryFailed:
        """Delivers a request within its deadline."""
        self.budget.record_request(job.service.name)
        if self.crash_registry.is_refused(job.fingerprint):
            return DeliveryFailed(
                reason="crashes endpoints",
                may_have_run=False,
                retry=RetryAdvice.NEVER,
            )
        progress = DeliveryProgress(last_event_id=job.request.last_event_id)
        try:
            async with asyncio.timeout_at(job.deadline_at):
                return await self._run_attempts(job, writer, progress)
        except TimeoutError:
            return DeliveryFailed(
                reason="deadline", may_have_run=progress.may_have_run
            )

    async def _run_attempts(
        self, job: DeliveryJob, writer: AnswerWriter, progress: DeliveryProgress
    ) -> Delivered | DeliveryFailed:
        last_failure: AttemptFailed | None = None
        while True:
            if last_failure is not None and not self._may_retry(
                job, last_failure
            ):
                return await self._final_outcome(last_failure, writer, progress)
            placement = await wait_for_placement(self.selector, job)
            if job.time_left_s() < MIN_SEND_TIME_LEFT_S:
                placement = None  # for example after a pause of this process
            if placement is None:
                if last_failure is not None:
                    return await self._final_outcome(
                        last_failure, writer, progress
                    )
                return self._placement_failure(job)
            if last_failure is not None:
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
            self.statistics.retries[last_failure.cause] += 1
            progress.may_have_run |= last_failure.may_have_run
            job.attempts += last_failure.sent
            if last_failure.sent or last_failure.failed_to_connect:
                job.excluded.add(placement.endpoint.entry.id)
            log_event(
                EventId.ATTEMPT_FAILED,
                request=job.request.id,
                endpoint=placement.endpoint.entry.id,
                reason=last_failure.reason,
                may_have_run=last_failure.may_have_run,
                attempts=job.attempts,
            )

    def _placement_failure(self, job: DeliveryJob) -> DeliveryFailed:
        if self.selector.is_feasible(job):
            return DeliveryFailed(reason="no room", may_have_run=False)
        return DeliveryFailed(
            reason="too few endpoints in service",
            may_have_run=False,
            retry=RetryAdvice.LATER,
        )

    def _may_retry(self, job: DeliveryJob, last_failure: AttemptFailed) -> bool:
        if last_failure.may_have_run and not job.retryable:
            return False
        if self.crash_registry.is_retry_forbidden(job.fingerprint):
            return False
        if job.attempts >= job.route.max_attempts:
            return False
        if job.time_left_s() < MIN_RETRY_TIME_LEFT_S:
            return False
        return not last_failure.sent or self.budget.try_acquire(
            job.service.name
        )

    async def _final_outcome(
        self,
        last_failure: AttemptFailed,
        writer: AnswerWriter,
        progress: DeliveryProgress,
    ) -> Delivered | DeliveryFailed:
        if last_failure.head is None or writer.started:
            return DeliveryFailed(
                reason=last_failure.reason, may_have_run=progress.may_have_run
            )
        await writer.start(last_failure.head.status, last_failure.head.headers)
        await writer.write(last_failure.body)
        await writer.finish()
        return Delivered(status=last_failure.head.status)

    async def _attempt(
        self,
        job: DeliveryJob,
        placement: Placement,
        writer: AnswerWriter,
        progress: DeliveryProgress,
    ) -> Delivered | AttemptFailed:
        self.selector.start(job, placement)
        endpoint = placement.endpoint.entry
        try:
            async with self.memory.reserve(
                job.request.id, placement
            ) as helpers:
                if isinstance(helpers, MemoryRefusal):
                    job.excluded.update(helpers.endpoints)
                    return AttemptFailed(
                        reason="memory not granted",
                        may_have_run=False,
                        sent=False,
                    )
                attempt = AttemptRunner(
                    selector=self.selector,
                    statistics=self.statistics,
                    job=job,
                    placement=placement,
                    writer=writer,
                    progress=progress,
                )
                outcome = await attempt.run(helpers, self.endpoint_client)
        finally:
            self.selector.end(placement)
        if isinstance(outcome, AttemptFailed) and outcome.connection_broken:
            self.crash_registry.record_crash(job.fingerprint, endpoint.id)
        self._record_health(endpoint.id, outcome, job)
        return outcome

    def _record_health(
        self,
        endpoint: str,
        outcome: Delivered | AttemptFailed,
        job: DeliveryJob,
    ) -> None:
        health = self.selector.health
        match outcome:
            case AttemptFailed(failed_endpoint=str(other), reason=reason) if (
                other != endpoint
            ):
                job.excluded.add(other)
                health.record_failure(other, reason, HARD_FAILURE_WEIGHT)
            case Delivered():
                health.record_success(endpoint)
            case AttemptFailed(sent=True, may_have_run=False, reason=reason):
                self.selector.load.by_endpoint[endpoint].record_full()
                health.record_failure(endpoint, reason, SOFT_FAILURE_WEIGHT)
            case AttemptFailed(head=ResponseHead()):
                health.record_failure(
                    endpoint, outcome.reason, SOFT_FAILURE_WEIGHT
                )
            case (
                AttemptFailed(sent=True, reason=reason)
                | AttemptFailed(failed_to_connect=True, reason=reason)
            ):
                health.record_failure(endpoint, reason, HARD_FAILURE_WEIGHT)


__all__ = ["DeliveryRunner"]

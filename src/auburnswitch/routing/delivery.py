"""Delivers a request to endpoints until it is answered or must fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.observe.logs import log_event
from auburnswitch.platform.endpoint_client import ResponseHead
from auburnswitch.routing.attempt import Attempt
from auburnswitch.routing.endpoint_health import HARD_FAILURE, SOFT_FAILURE
from auburnswitch.routing.joint_memory import MemoryRefused
from auburnswitch.routing.outcomes import (
    AttemptFailed,
    Delivered,
    DeliveryProgress,
    Failed,
    RetryAdvice,
)
from auburnswitch.routing.placement_wait import wait_for_placement
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from auburnswitch.observe.statistics import EntryStatistics
    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.routing.crash_record import CrashRecord
    from auburnswitch.routing.delivery_job import DeliveryJob
    from auburnswitch.routing.endpoint_choice import EndpointChooser, Placement
    from auburnswitch.routing.joint_memory import JointMemory
    from auburnswitch.routing.outcomes import AnswerWriter
    from auburnswitch.routing.window_budget import WindowBudget

RETRY_MIN_S: Final = 0.03
SEND_MIN_S: Final = 0.02


class Courier:
    """Sends requests to endpoints and relays their answers."""

    __slots__ = (
        "budget",
        "calls",
        "chooser",
        "crashes",
        "memory",
        "statistics",
    )

    def __init__(
        self,
        *,
        chooser: EndpointChooser,
        calls: PlatformEndpointClient,
        budget: WindowBudget,
        memory: JointMemory,
        crashes: CrashRecord,
        statistics: EntryStatistics,
    ) -> None:
        self.statistics = statistics
        self.crashes = crashes
        self.memory = memory
        self.chooser = chooser
        self.calls = calls
        self.budget = budget

    async def deliver(
        self, job: DeliveryJob, writer: AnswerWriter
    ) -> Delivered | Failed:
        """Delivers a request, within its deadline."""
        self.budget.note_request(job.service.name)
        if self.crashes.is_refused(job.fingerprint):
            return Failed(
                reason="crashes endpoints",
                may_have_run=False,
                retry=RetryAdvice.NEVER,
            )
        progress = DeliveryProgress(last_event_id=job.request.last_event_id)
        try:
            async with asyncio.timeout_at(job.deadline_at):
                return await self._attempts(job, writer, progress)
        except TimeoutError:
            return Failed(reason="deadline", may_have_run=progress.may_have_run)

    async def _attempts(
        self, job: DeliveryJob, writer: AnswerWriter, progress: DeliveryProgress
    ) -> Delivered | Failed:
        last: AttemptFailed | None = None
        while True:
            if last is not None and not self._may_retry(job, last):
                return await self._give_up(last, writer, progress)
            placement = await wait_for_placement(self.chooser, job)
            if job.time_left_s() < SEND_MIN_S:
                placement = None  # also after this process stood still
            if placement is None:
                if last is not None:
                    return await self._give_up(last, writer, progress)
                return self._no_room(job)
            outcome = await self._attempt(job, placement, writer, progress)
            match outcome:
                case Delivered():
                    return outcome
                case AttemptFailed():
                    last = outcome
            self.statistics.retries[last.cause] += 1
            progress.may_have_run |= last.may_have_run
            job.attempts += last.sent
            if last.sent or last.failed_to_connect:
                job.excluded.add(placement.endpoint.entry.id)
            log_event(
                EventId.REQUEST_RETRIED,
                request=job.request.id,
                endpoint=placement.endpoint.entry.id,
                reason=last.reason,
                attempts=job.attempts,
            )

    def _no_room(self, job: DeliveryJob) -> Failed:
        if self.chooser.could_serve(job):
            return Failed(reason="no room", may_have_run=False)
        return Failed(
            reason="too few endpoints in service",
            may_have_run=False,
            retry=RetryAdvice.LATER,
        )

    def _may_retry(self, job: DeliveryJob, last: AttemptFailed) -> bool:
        if last.may_have_run and not job.repeatable:
            return False
        if self.crashes.is_careful(job.fingerprint):
            return False
        if job.attempts >= job.route.max_attempts:
            return False
        if job.time_left_s() < RETRY_MIN_S:
            return False
        return not last.sent or self.budget.take(job.service.name)

    async def _give_up(
        self,
        last: AttemptFailed,
        writer: AnswerWriter,
        progress: DeliveryProgress,
    ) -> Delivered | Failed:
        if last.head is None or writer.started:
            return Failed(
                reason=last.reason, may_have_run=progress.may_have_run
            )
        await writer.start(last.head.status, last.head.headers)
        await writer.write(last.body)
        await writer.finish()
        return Delivered(status=last.head.status)

    async def _attempt(
        self,
        job: DeliveryJob,
        placement: Placement,
        writer: AnswerWriter,
        progress: DeliveryProgress,
    ) -> Delivered | AttemptFailed:
        self.chooser.start(job, placement)
        endpoint = placement.endpoint.entry
        try:
            async with self.memory.reserve(
                job.request.id, placement
            ) as helpers:
                if isinstance(helpers, MemoryRefused):
                    job.excluded.update(helpers.endpoints)
                    return AttemptFailed(
                        reason="memory not granted",
                        may_have_run=False,
                        sent=False,
                    )
                attempt = Attempt(
                    chooser=self.chooser,
                    statistics=self.statistics,
                    job=job,
                    placement=placement,
                    writer=writer,
                    progress=progress,
                )
                outcome = await attempt.run(helpers, self.calls)
        finally:
            self.chooser.end(placement)
        if isinstance(outcome, AttemptFailed) and outcome.cut:
            self.crashes.note(job.fingerprint, endpoint.id)
        self._note_health(endpoint.id, outcome, job)
        return outcome

    def _note_health(
        self,
        endpoint: str,
        outcome: Delivered | AttemptFailed,
        job: DeliveryJob,
    ) -> None:
        health = self.chooser.health
        match outcome:
            case AttemptFailed(failed_endpoint=str(other), reason=reason) if (
                other != endpoint
            ):
                job.excluded.add(other)
                health.note_failure(other, reason, HARD_FAILURE)
            case Delivered():
                health.note_success(endpoint)
            case AttemptFailed(sent=True, may_have_run=False, reason=reason):
                self.chooser.load.by_endpoint[endpoint].note_full()
                health.note_failure(endpoint, reason, SOFT_FAILURE)
            case AttemptFailed(head=ResponseHead()):
                health.note_failure(endpoint, outcome.reason, SOFT_FAILURE)
            case (
                AttemptFailed(sent=True, reason=reason)
                | AttemptFailed(failed_to_connect=True, reason=reason)
            ):
                health.note_failure(endpoint, reason, HARD_FAILURE)


__all__ = ["Courier"]

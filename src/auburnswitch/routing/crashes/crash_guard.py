"""Keeps requests that crash endpoints away from them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.platform.endpoint_client import ProcessState
from auburnswitch.routing.crashes.part_refusals import PartVerdict
from auburnswitch.routing.delivery.outcomes import AnswerStage, RetryAdvice

if TYPE_CHECKING:
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.routing.crashes.crash_check import CrashChecker
    from auburnswitch.routing.crashes.crash_registry import CrashRegistry
    from auburnswitch.routing.crashes.part_watch import PartWatch
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.delivery.outcomes import AttemptFailed
    from auburnswitch.schema.installation import EndpointEntry

MAX_CHECK_WAIT_S: Final = 0.1


class CrashGuard:
    """Decides whether a request may be sent, from the crashes under it.

    Attributes:
        requests: Crashes under whole requests.
        parts: Crashes under parts of prompts.
        checker: Finds out whether an endpoint has crashed.
        tasks: Running checks of broken connections.
    """

    __slots__ = ("checker", "parts", "requests", "tasks")

    def __init__(
        self,
        *,
        requests: CrashRegistry,
        parts: PartWatch,
        checker: CrashChecker,
        tasks: TaskSet,
    ) -> None:
        self.requests = requests
        self.parts = parts
        self.checker = checker
        self.tasks = tasks

    def advice(self, job: DeliveryJob) -> RetryAdvice | None:
        """Returns when a refused request may come again, None if allowed."""
        if self.requests.is_refused(job.fingerprint):
            return RetryAdvice.NEVER
        match self.parts.refusals.verdict(job):
            case PartVerdict.REFUSED:
                return RetryAdvice.NEVER
            case PartVerdict.BUSY:
                return RetryAdvice.SOON
        return None

    def may_retry(self, job: DeliveryJob) -> bool:
        """Returns whether another attempt may follow a sent one."""
        return not (
            self.requests.is_retry_forbidden(job.fingerprint)
            or self.parts.refusals.concerns(job)
        )

    def begin(self, job: DeliveryJob) -> bool:
        """Returns whether a request may be sent right now."""
        return not self.requests.is_refused(
            job.fingerprint
        ) and self.parts.refusals.begin(job)

    def end(self, job: DeliveryJob) -> None:
        """Records the end of a request."""
        self.parts.refusals.end(job)

    def record_under_way(self, job: DeliveryJob) -> None:
        """Records that an answer has got past its beginning."""
        self.parts.record_start(job)

    def record_success(self, job: DeliveryJob) -> None:
        """Records a request that an endpoint has run to its end."""
        self.requests.record_success(job.fingerprint)
        self.parts.record_start(job)

    async def record_broken(
        self, job: DeliveryJob, endpoint: EndpointEntry, failure: AttemptFailed
    ) -> None:
        """Records a connection that broke, once it is known whether it crashed.

        Returns before that if the endpoint doesn't answer soon.
        """
        record = self.start_record(job, endpoint, failure)
        await asyncio.wait({record}, timeout=MAX_CHECK_WAIT_S)

    def start_record(
        self, job: DeliveryJob, endpoint: EndpointEntry, failure: AttemptFailed
    ) -> asyncio.Task[None]:
        """Starts to record a connection that broke."""
        return self.tasks.start(
            self._record(job, endpoint, failure.stage), "record a crash"
        )

    async def _record(
        self, job: DeliveryJob, endpoint: EndpointEntry, stage: AnswerStage
    ) -> None:
        crash_id = f"{endpoint.id}@{endpoint.boot_ms}"
        if job.service.engine is None:  # a plain service can't be asked
            self.requests.record_crash(job.fingerprint, crash_id)
            return
        if await self.checker.check(endpoint) is not ProcessState.ENDED:
            return  # as far as is known, only the connection was lost
        self.requests.record_crash(job.fingerprint, crash_id)
        if stage is not AnswerStage.UNDER_WAY:
            self.parts.record_crash(job, endpoint)


__all__ = ["CrashGuard"]

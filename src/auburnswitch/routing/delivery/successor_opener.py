"""Opens the attempt that may replace one at a silent endpoint."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.platform.endpoint_responses import BrokenResponse
from auburnswitch.routing.delivery.outcomes import AttemptFailed
from auburnswitch.routing.delivery.successor import Successor
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.platform.endpoint_responses import ResponseHead
    from auburnswitch.routing.delivery.attempt_opener import AttemptOpener
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.delivery.outcomes import DeliveryProgress
    from auburnswitch.routing.delivery.retry_permission import RetryPermission
    from auburnswitch.routing.selection.placement import Placement

_HTTP_SERVER_ERROR: Final = 500


class SuccessorOpener:
    """Opens attempts while the one they may replace goes on.

    Attributes:
        opener: Opens attempts.
        retries: Takes retries that were not used back.
        job: The request.
        progress: State of the request over all attempts.
        on_failure: Called with the placement and the failure of an attempt that
            can't replace the other one.
    """

    __slots__ = ("job", "on_failure", "opener", "progress", "retries")

    def __init__(
        self,
        *,
        opener: AttemptOpener,
        retries: RetryPermission,
        job: DeliveryJob,
        progress: DeliveryProgress,
        on_failure: Callable[[Placement, AttemptFailed], None],
    ) -> None:
        self.opener = opener
        self.retries = retries
        self.job = job
        self.progress = progress
        self.on_failure = on_failure

    async def open(self, placement: Placement) -> Successor | None:
        """Returns an attempt whose answer has begun, None if it has failed.

        Args:
            placement: Started placement, whose retry has been acquired. The
                retry is given back unless the request is sent.
        """
        started_at = monotonic_s()
        sent = False

        def on_send() -> None:
            nonlocal sent
            sent = True
            log_event(
                EventId.REQUEST_RETRIED,
                request=self.job.request.id,
                endpoint=placement.endpoint.entry.id,
                attempts=self.job.attempts + 1,
            )

        try:
            async with contextlib.AsyncExitStack() as resources:
                answer = await resources.enter_async_context(
                    self.opener.open(
                        self.job, placement, self.progress, on_send
                    )
                )
                failure = await self._find_failure(answer)
                if failure is None:
                    return Successor(
                        placement=placement,
                        answer=answer,
                        started_at=started_at,
                        resources=resources.pop_all(),
                    )
        except asyncio.CancelledError:  # the other attempt has ended or goes on
            if sent:
                self.record_unused(placement)
            else:
                self.retries.release_retry(self.job)
            raise
        if not sent:
            self.retries.release_retry(self.job)
        self.on_failure(placement, failure)
        return None

    def record_unused(self, placement: Placement) -> None:
        """Counts an attempt that was sent and is not needed."""
        self.job.attempts += 1
        self.job.excluded.add(placement.endpoint.entry.id)

    async def _find_failure(
        self, answer: ResponseHead | AttemptFailed
    ) -> AttemptFailed | None:
        """Returns the failure of an answer that can't replace another one."""
        if isinstance(answer, AttemptFailed):
            return answer
        # A stream that has begun can't end with another status.
        is_usable = answer.is_success or not self.job.is_stream
        if is_usable and answer.status < _HTTP_SERVER_ERROR:
            return None
        body = await answer.read_all()
        if isinstance(body, BrokenResponse):
            return AttemptFailed(reason=body.reason, may_have_run=True)
        return AttemptFailed(
            reason=f"status {answer.status}",
            may_have_run=True,
            head=answer,
            body=body,
        )


__all__ = ["SuccessorOpener"]

"""Runs one attempt: sends a request to an endpoint and relays the answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.platform.endpoint_responses import BrokenResponse
from auburnswitch.routing.delivery.answer_end import record_answer_end
from auburnswitch.routing.delivery.attempt_timeouts import AttemptTimeouts
from auburnswitch.routing.delivery.outcomes import AnswerStage, AttemptFailed
from auburnswitch.routing.delivery.silence_watch import (
    SILENCE_REASON,
    SilenceWatch,
)
from auburnswitch.routing.delivery.stream_relay import StreamRelay
from auburnswitch.routing.delivery.whole_answer import deliver_whole

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.observe.statistics import EntryStatistics
    from auburnswitch.platform.endpoint_responses import ResponseHead
    from auburnswitch.routing.delivery.attempt_opener import AttemptOpener
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.delivery.outcomes import (
        AnswerWriter,
        Delivered,
        DeliveryProgress,
    )
    from auburnswitch.routing.delivery.retry_permission import RetryPermission
    from auburnswitch.routing.delivery.successor import Successor
    from auburnswitch.routing.delivery.successor_opener import SuccessorOpener
    from auburnswitch.routing.selection.endpoint_selector import (
        EndpointSelector,
    )
    from auburnswitch.routing.selection.placement import Placement

_HTTP_SERVER_ERROR: Final = 500


class AttemptRunner:
    """Sends a request to the endpoint of a placement and relays the answer.

    Attributes:
        opener: Sends the request.
        selector: Tracks the load of endpoints.
        retries: Grants the attempt that replaces this one.
        successors: Opens that attempt.
        statistics: Records latencies.
        job: The request.
        placement: The endpoint chosen for the request.
        writer: Writes the answer to the caller.
        progress: State of the request over all attempts.
        on_under_way: Called when the answer has got past its beginning.
    """

    __slots__ = (
        "job",
        "on_under_way",
        "opener",
        "placement",
        "progress",
        "retries",
        "selector",
        "statistics",
        "successors",
        "writer",
    )

    def __init__(
        self,
        *,
        opener: AttemptOpener,
        selector: EndpointSelector,
        retries: RetryPermission,
        successors: SuccessorOpener,
        statistics: EntryStatistics,
        job: DeliveryJob,
        placement: Placement,
        writer: AnswerWriter,
        progress: DeliveryProgress,
        on_under_way: Callable[[], None],
    ) -> None:
        self.on_under_way = on_under_way
        self.opener = opener
        self.selector = selector
        self.retries = retries
        self.successors = successors
        self.statistics = statistics
        self.job = job
        self.placement = placement
        self.writer = writer
        self.progress = progress

    async def run(
        self, successor: Successor | None
    ) -> Delivered | AttemptFailed:
        """Sends the request and relays the answer.

        Args:
            successor: This attempt if its answer has begun, else None.
        """
        job, placement = self.job, self.placement
        timeouts = AttemptTimeouts(job=job, placement=placement)
        watch = SilenceWatch(
            retries=self.retries,
            successors=self.successors,
            job=job,
            placement=placement,
        )
        start_timeout_s = timeouts.start_timeout_s()
        if successor is not None:
            opening = successor.resume()
        else:
            opening = self.opener.open(
                job,
                placement,
                self.progress,
                on_send=lambda: watch.expect_within(start_timeout_s),
            )
        async with (
            watch.open(start_timeout_s if successor is not None else None),
            opening as answer,
        ):
            if isinstance(answer, AttemptFailed):
                return answer
            if job.is_stream and answer.is_success and answer.is_event_stream:
                return await self._relay_stream(answer, watch, timeouts)
            return await self._relay_whole(answer, watch)
        return AttemptFailed(
            reason=SILENCE_REASON,
            may_have_run=True,
            successor=watch.successor,
        )

    async def _relay_stream(
        self,
        answer: ResponseHead,
        watch: SilenceWatch,
        timeouts: AttemptTimeouts,
    ) -> Delivered | AttemptFailed:
        relay = StreamRelay(
            selector=self.selector,
            statistics=self.statistics,
            job=self.job,
            placement=self.placement,
            writer=self.writer,
            progress=self.progress,
            watch=watch,
            timeouts=timeouts,
            on_under_way=self.on_under_way,
        )
        return await relay.run(answer)

    async def _relay_whole(
        self, answer: ResponseHead, watch: SilenceWatch
    ) -> Delivered | AttemptFailed:
        body = await answer.read_all()
        watch.expect_within(None)  # a slow caller may delay the rest
        if isinstance(body, BrokenResponse):
            record_answer_end(
                self.statistics, self.job, answer, error=body.reason
            )
            return AttemptFailed(
                reason=body.reason,
                may_have_run=True,
                # A plain service can't be asked whether it has crashed.
                connection_broken=self.job.service.engine is not None,
                stage=AnswerStage.BEGUN,
            )
        record_answer_end(self.statistics, self.job, answer)
        failed = answer.status >= _HTTP_SERVER_ERROR
        if self.writer.started or (failed and self.job.retryable):
            return AttemptFailed(
                reason=f"status {answer.status}",
                may_have_run=True,
                head=answer,
                body=body,
            )
        return await deliver_whole(self.writer, answer, body)


__all__ = ["AttemptRunner"]

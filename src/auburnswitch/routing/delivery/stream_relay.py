"""Relays a stream of server-sent events from an endpoint to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.platform.endpoint_responses import BrokenResponse
from auburnswitch.routing.delivery.answer_end import (
    AnswerEndKind,
    record_answer_end,
)
from auburnswitch.routing.delivery.outcomes import (
    AnswerStage,
    AttemptFailed,
    Delivered,
)
from auburnswitch.routing.delivery.sse_events import (
    MAX_EVENT_BYTES,
    EventTooLargeError,
    SseEventSplitter,
    find_last_id,
    has_fields,
    is_newer_event,
)
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.observe.statistics import EntryStatistics
    from auburnswitch.platform.endpoint_responses import ResponseHead
    from auburnswitch.platform.requests import Headers
    from auburnswitch.routing.delivery.attempt_timeouts import AttemptTimeouts
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.delivery.outcomes import (
        AnswerWriter,
        DeliveryProgress,
    )
    from auburnswitch.routing.delivery.silence_watch import SilenceWatch
    from auburnswitch.routing.selection.endpoint_selector import (
        EndpointSelector,
    )
    from auburnswitch.routing.selection.placement import Placement


class StreamRelay:
    """Relays the events of one attempt.

    Attributes:
        selector: Tracks the load of endpoints; told when the prefill ends.
        statistics: Records the time to the first event.
        job: The request.
        placement: The endpoint chosen for the request.
        writer: Writes the answer to the caller.
        progress: State of the request over all attempts.
        watch: Watches the endpoint for silence.
        timeouts: Maximum silence of the endpoint.
        on_under_way: Called when the answer has got past its beginning.
        splitter: Splits the response into events.
        event_count: Number of events that the endpoint has sent, without
            those that are only comments.
        held: Events that are only comments, to be passed on before the next
            event.
    """

    __slots__ = (
        "event_count",
        "held",
        "job",
        "on_under_way",
        "placement",
        "progress",
        "selector",
        "splitter",
        "statistics",
        "timeouts",
        "watch",
        "writer",
    )

    def __init__(
        self,
        *,
        selector: EndpointSelector,
        statistics: EntryStatistics,
        job: DeliveryJob,
        placement: Placement,
        writer: AnswerWriter,
        progress: DeliveryProgress,
        watch: SilenceWatch,
        timeouts: AttemptTimeouts,
        on_under_way: Callable[[], None],
    ) -> None:
        self.on_under_way = on_under_way
        self.selector = selector
        self.statistics = statistics
        self.job = job
        self.placement = placement
        self.writer = writer
        self.progress = progress
        self.watch = watch
        self.timeouts = timeouts
        self.splitter = SseEventSplitter()
        self.event_count = 0
        self.held: list[bytes] = []

    async def run(self, answer: ResponseHead) -> Delivered | AttemptFailed:
        """Relays whole events until the stream ends or breaks."""
        while True:
            data = await answer.read_chunk()
            if isinstance(data, BrokenResponse):
                self._record_end(answer, data.reason)
                return self._broken(data.reason)
            if not data:
                break
            try:
                events = self._take_events(data)
            except EventTooLargeError as error:
                self._record_end(answer, str(error))
                return AttemptFailed(reason=str(error), may_have_run=True)
            if events:
                self.watch.expect_within(None)  # a slow caller may delay them
                await self._forward_events(answer, events)
                self.watch.expect_within(self.timeouts.gap_timeout_s())
        self.watch.expect_within(None)
        return await self._end(answer, self._record_end(answer))

    async def _end(
        self, answer: ResponseHead, end: AnswerEndKind
    ) -> Delivered | AttemptFailed:
        """Ends the caller's answer if no more is claimed than is known."""
        match end:
            case AnswerEndKind.BROKEN_OFF:
                return self._broken("the stream ended inside an event")
            case AnswerEndKind.UNCONFIRMED if not self._has_events():
                return self._broken(
                    "the connection was closed before the first event"
                )
            case AnswerEndKind.UNCONFIRMED if not self._can_end_unconfirmed():
                return AttemptFailed(
                    reason="nothing shows that the stream is complete",
                    may_have_run=True,
                )
        await self._start(answer)
        if self.held:
            await self.writer.write(b"".join(self.held))
        await self.writer.finish()
        return Delivered(
            status=answer.status,
            end_confirmed=end is AnswerEndKind.COMPLETE,
        )

    def _take_events(self, data: bytes) -> list[bytes]:
        """Returns the events that data completes, and the comments before them.

        Comments alone are held back: they are no progress.

        Raises:
            EventTooLargeError: An event or the held comments are too large.
        """
        events = self.held + self.splitter.feed(data)
        count = sum(map(has_fields, events))
        self.held = [] if count else events
        if sum(map(len, self.held)) > MAX_EVENT_BYTES:
            raise EventTooLargeError("too many comments without an event")
        self._count_events(count)
        return events if count else []

    def _count_events(self, count: int) -> None:
        was_under_way = self.stage is AnswerStage.UNDER_WAY
        self.event_count += count
        if self.stage is AnswerStage.UNDER_WAY and not was_under_way:
            self.on_under_way()

    def _broken(self, reason: str) -> AttemptFailed:
        """Returns the failure of an attempt whose connection has broken."""
        return AttemptFailed(
            reason=reason,
            may_have_run=True,
            connection_broken=True,
            stage=self.stage,
        )

    @property
    def stage(self) -> AnswerStage:
        """How far the endpoint has got with its answer."""
        if self.event_count > 1:
            return AnswerStage.UNDER_WAY
        return AnswerStage.BEGUN

    def _has_events(self) -> bool:
        """Returns whether the caller has an event, from whatever answer."""
        return self.writer.started or self.progress.last_event_id is not None

    def _can_end_unconfirmed(self) -> bool:
        """Returns whether the caller's answer may end without a marked end."""
        return not self.writer.started or self.writer.connection_delimited

    async def _forward_events(
        self, answer: ResponseHead, events: list[bytes]
    ) -> None:
        if not self.placement.item.writing:
            self._record_first_event()
        last_event_id = self.progress.last_event_id
        newer_events = [
            event for event in events if is_newer_event(event, last_event_id)
        ]
        if not newer_events:
            return
        await self._start(answer)
        await self.writer.write(b"".join(newer_events))
        self.progress.last_event_id = find_last_id(newer_events, last_event_id)

    def _record_first_event(self) -> None:
        self.selector.record_prefilled(self.placement)
        after_s = monotonic_s() - self.job.arrived_at
        tokens = self.job.request.prompt_tokens
        self.statistics.record_first_event(tokens, after_s)
        log_event(
            EventId.FIRST_EVENT,
            request=self.job.request.id,
            endpoint=self.placement.endpoint.entry.id,
            after_ms=round(after_s * 1000, 1),
        )

    def _record_end(
        self, answer: ResponseHead, error: str = ""
    ) -> AnswerEndKind:
        return record_answer_end(
            self.statistics,
            self.job,
            answer,
            error=error,
            unfinished_bytes=len(self.splitter.buffer),
        )

    async def _start(self, answer: ResponseHead) -> None:
        if not self.writer.started:
            await self.writer.start(
                answer.status,
                self._start_headers(answer),
                connection_delimited=answer.connection_delimited,
            )

    def _start_headers(self, answer: ResponseHead) -> Headers:
        if not self.job.retryable:
            return answer.headers
        # Another endpoint's events may be longer.
        return [(n, v) for n, v in answer.headers if n != "content-length"]


__all__ = ["StreamRelay"]

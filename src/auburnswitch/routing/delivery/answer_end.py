"""Tells whole answers of endpoints from those that were broken off."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from auburnswitch.http_exchange import BodyFraming
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from auburnswitch.observe.statistics import EntryStatistics
    from auburnswitch.platform.endpoint_responses import ResponseHead
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob


class AnswerEndKind(enum.Enum):
    """What is known about an answer whose body has ended."""

    COMPLETE = "complete"  # the endpoint has marked its end
    UNCONFIRMED = "unconfirmed"  # its connection was closed, for any reason
    BROKEN_OFF = "broken off"


def classify_end(
    answer: ResponseHead, *, error: str = "", unfinished_bytes: int = 0
) -> AnswerEndKind:
    """Returns what is known about an answer whose body has ended.

    Args:
        answer: Head of the answer.
        error: Error that ended the body, empty for a regular end.
        unfinished_bytes: Number of bytes of an event that did not end.
    """
    if error or unfinished_bytes:
        return AnswerEndKind.BROKEN_OFF
    if answer.framing is BodyFraming.CONNECTION:
        return AnswerEndKind.UNCONFIRMED
    return AnswerEndKind.COMPLETE


def record_answer_end(
    statistics: EntryStatistics,
    job: DeliveryJob,
    answer: ResponseHead,
    *,
    error: str = "",
    unfinished_bytes: int = 0,
) -> AnswerEndKind:
    """Counts the end of an answer and logs it unless it is complete.

    Args:
        statistics: Counts the ends.
        job: The request.
        answer: Head of the answer.
        error: As for `classify_end`.
        unfinished_bytes: As for `classify_end`.
    """
    end = classify_end(answer, error=error, unfinished_bytes=unfinished_bytes)
    statistics.answer_ends[answer.framing.value, end.value] += 1
    if end is not AnswerEndKind.COMPLETE:
        log_event(
            EventId.ANSWER_END_UNCERTAIN,
            request=job.request.id,
            attempts=job.attempts,
            framing=answer.framing.value,
            end=end.value,
            error=error,
            unfinished_bytes=unfinished_bytes,
        )
    return end


__all__ = ["AnswerEndKind", "classify_end", "record_answer_end"]

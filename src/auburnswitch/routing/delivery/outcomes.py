"""Defines the outcomes of a request and of its attempts."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

if TYPE_CHECKING:
    from auburnswitch.platform.endpoint_responses import ResponseHead
    from auburnswitch.platform.requests import Headers
    from auburnswitch.routing.delivery.successor import Successor

_HTTP_OK: Final = 200
_HTTP_MULTIPLE_CHOICES: Final = 300


class AnswerWriter(Protocol):
    """Writes the answer to the caller.

    Attributes:
        started: Whether the status has been written.
        connection_delimited: Whether only the end of the connection marks the
            end of the answer.
    """

    started: bool
    connection_delimited: bool

    async def start(
        self,
        status: int,
        headers: Headers,
        *,
        connection_delimited: bool = False,
    ) -> None:
        """Writes the status and the headers."""

    async def write(self, data: bytes) -> None:
        """Writes a part of the body."""

    async def finish(self) -> None:
        """Ends the body."""


@dataclass(slots=True, kw_only=True)
class Delivered:
    """All of an endpoint's answer has been delivered to the caller.

    Attributes:
        status: HTTP status of the answer.
        end_confirmed: Whether the endpoint has marked the end of its answer;
            otherwise the caller has been told no more than that its connection
            was closed.
    """

    status: int
    end_confirmed: bool = True

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return _HTTP_OK <= self.status < _HTTP_MULTIPLE_CHOICES


class AnswerStage(enum.Enum):
    """How far an endpoint had got with its answer when the attempt ended."""

    NOT_BEGUN = "not begun"
    BEGUN = "begun"  # its head has arrived, and one event at most
    UNDER_WAY = "under way"


class RetryAdvice(enum.Enum):
    """Whether and when a caller should send a failed request again."""

    AT_ONCE = "at once"  # another daemon can serve it
    SOON = "soon"  # capacity may become available
    LATER = "later"  # too few endpoints that can run it are in service
    NEVER = "never"  # the request would fail again


@dataclass(slots=True, kw_only=True)
class DeliveryFailed:
    """No endpoint's answer could be delivered.

    Attributes:
        reason: Reason of the failure, for the log and the caller.
        may_have_run: Whether some endpoint may have run the request.
        retry: Whether and when the caller should send the request again.
    """

    reason: str
    may_have_run: bool
    retry: RetryAdvice = RetryAdvice.SOON


@dataclass(slots=True, kw_only=True)
class AttemptFailed:
    """The result of a failed attempt, which another attempt may follow.

    Attributes:
        reason: Reason of the failure, for the log.
        may_have_run: Whether the endpoint may have run the request.
        sent: Whether the attempt counts as sent to an endpoint.
        connection_broken: Whether the connection broke while the endpoint was
            handling the request.
        failed_to_connect: Whether no connection to the endpoint could be
            opened.
        failed_endpoint: Endpoint at fault, if the endpoint that received the
            request reports one.
        stage: How far the answer had got.
        head: Head of the complete answer to deliver if no other attempt
            follows.
        body: Body of that answer.
        successor: The next attempt, whose answer has begun; None if the next
            attempt is not certain.
    """

    reason: str
    may_have_run: bool
    sent: bool = True
    connection_broken: bool = False
    failed_to_connect: bool = False
    failed_endpoint: str | None = None
    stage: AnswerStage = AnswerStage.NOT_BEGUN
    head: ResponseHead | None = None
    body: bytes = b""
    successor: Successor | None = None

    @property
    def cause(self) -> str:
        """The cause of the failure, as counted in the statistics."""
        if self.head is not None:
            return "error"
        if self.connection_broken:
            return "cut"
        if self.may_have_run:
            return "silent or wrong"
        return "not run" if self.sent else "not sent"


class DeliveryProgress:
    """State of one request over all its attempts.

    Attributes:
        last_event_id: Id of the last event the caller has received, None if
            there is none.
        may_have_run: Whether some endpoint may have run the request.
        error_answer: The last failure with a complete answer, None if there is
            none; delivered if no attempt succeeds.
        successor: The attempt that replaces one at a silent endpoint, None if
            there is none.
    """

    __slots__ = (
        "error_answer",
        "last_event_id",
        "may_have_run",
        "successor",
    )

    def __init__(self, *, last_event_id: str | None) -> None:
        self.last_event_id = last_event_id
        self.may_have_run = False
        self.error_answer: AttemptFailed | None = None
        self.successor: Successor | None = None


__all__ = [
    "AnswerStage",
    "AnswerWriter",
    "AttemptFailed",
    "Delivered",
    "DeliveryProgress",
    "DeliveryFailed",
    "RetryAdvice",
]

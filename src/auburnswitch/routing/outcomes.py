"""What becomes of a request, and of one attempt at it."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from auburnswitch.platform.endpoint_client import ResponseHead
    from auburnswitch.platform.requests import Headers


class AnswerWriter(Protocol):
    """Writes the answer to the caller.

    Attributes:
        started: The status has been written.
    """

    started: bool

    async def start(self, status: int, headers: Headers) -> None:
        """Writes the status and the headers."""

    async def write(self, data: bytes) -> None:
        """Writes a part of the body."""

    async def finish(self) -> None:
        """Ends the body."""


@dataclass(slots=True, kw_only=True)
class Delivered:
    """The caller has the whole answer of an endpoint.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


class RetryAdvice(enum.Enum):
    """When a caller may come back with a request."""

    SOON = "room comes and goes"
    LATER = "too few endpoints that it could run on are in service"
    NEVER = "it would fail again"


@dataclass(slots=True, kw_only=True)
class DeliveryFailed:
    """No endpoint's answer could be delivered.

    Attributes:
        reason: Why, for the log.
        may_have_run: Some endpoint may have run the request.
        retry: When the caller may come back.
    """

    reason: str
    may_have_run: bool
    retry: RetryAdvice = RetryAdvice.SOON


@dataclass(slots=True, kw_only=True)
class AttemptFailed:
    """An attempt failed in a way that allows another one.

    Attributes:
        reason: Why, for the log.
        may_have_run: The endpoint may have run the request.
        sent: It counts as an endpoint that the request was sent to.
        connection_broken: The connection broke while the endpoint had the
            request.
        failed_to_connect: No connection to the endpoint could be opened.
        failed_endpoint: Endpoint at fault, if the one that was asked says so.
        head: Whole answer that is delivered if there is no other attempt.
        body: Its body.
    """

    reason: str
    may_have_run: bool
    sent: bool = True
    connection_broken: bool = False
    failed_to_connect: bool = False
    failed_endpoint: str | None = None
    head: ResponseHead | None = None
    body: bytes = b""

    @property
    def cause(self) -> str:
        """One of a few causes, for statistics."""
        if self.head is not None:
            return "error"
        if self.connection_broken:
            return "cut"
        if self.may_have_run:
            return "silent or wrong"
        return "not run" if self.sent else "not sent"


class DeliveryProgress:
    """What has happened to one request so far.

    Attributes:
        last_event_id: Last event that the caller has, None if none.
        may_have_run: Some endpoint may have run it.
    """

    __slots__ = ("last_event_id", "may_have_run")

    def __init__(self, *, last_event_id: str | None) -> None:
        self.last_event_id = last_event_id
        self.may_have_run = False


__all__ = [
    "AnswerWriter",
    "AttemptFailed",
    "Delivered",
    "DeliveryProgress",
    "DeliveryFailed",
    "RetryAdvice",
]

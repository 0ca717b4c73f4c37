"""Classifies the responses of endpoints to callers' requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.http_exchange import BodyFraming, ExchangeError
from auburnswitch.platform import protocol
from auburnswitch.platform.requests import HOP_BY_HOP_HEADERS

if TYPE_CHECKING:
    import h11

    from auburnswitch.http_exchange import HttpExchange
    from auburnswitch.platform.requests import CallerRequest, Headers

_HTTP_OK: Final = 200
_HTTP_MULTIPLE_CHOICES: Final = 300
HTTP_MISDIRECTED: Final = 421
_EVENT_STREAM_TYPE: Final = "text/event-stream"


@dataclass(slots=True, kw_only=True)
class RequestNotSent:
    """No byte of the request reached the endpoint.

    Attributes:
        reason: Description of the failure.
        connect_failed: Whether no connection could be opened.
    """

    reason: str
    connect_failed: bool = True


@dataclass(slots=True, kw_only=True)
class RequestNotExecuted:
    """The endpoint reports that it did not run the request.

    Attributes:
        status: HTTP status of the response.
        failed_address: Address of the endpoint that failed, empty if unknown.
    """

    status: int
    failed_address: str = ""


@dataclass(slots=True, kw_only=True)
class BrokenResponse:
    """The connection broke before the end of the response.

    Attributes:
        reason: Description of the failure.
    """

    reason: str


@dataclass(slots=True, kw_only=True)
class WrongResponse:
    """The endpoint answered with what can't be this request's response.

    Attributes:
        reason: Description of the failure.
    """

    reason: str


@dataclass(slots=True, kw_only=True)
class ResponseHead:
    """Head of an endpoint's response to this request.

    Attributes:
        status: HTTP status.
        headers: Headers that are forwarded to the caller.
        exchange: HTTP exchange from which the body is read.
    """

    status: int
    headers: Headers
    exchange: HttpExchange

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return _HTTP_OK <= self.status < _HTTP_MULTIPLE_CHOICES

    @property
    def framing(self) -> BodyFraming:
        """How the end of the body is marked."""
        return self.exchange.framing

    @property
    def connection_delimited(self) -> bool:
        """Whether only the end of the connection marks the body's end."""
        return self.framing is BodyFraming.CONNECTION

    @property
    def is_event_stream(self) -> bool:
        """Whether the body consists of events, also if no type is stated."""
        for name, value in self.headers:
            if name == "content-type":
                return value.strip().lower().startswith(_EVENT_STREAM_TYPE)
        return True

    async def read_chunk(self) -> bytes | BrokenResponse:
        """Returns the next bytes of the body, empty at its complete end."""
        try:
            return await self.exchange.read_part()
        except ExchangeError as error:
            return BrokenResponse(reason=str(error))

    async def read_all(self) -> bytes | BrokenResponse:
        """Returns the whole body."""
        try:
            return await self.exchange.read_all()
        except ExchangeError as error:
            return BrokenResponse(reason=str(error))


def decode_headers(head: h11.Response) -> Headers:
    """Returns the headers, with names in lower case."""
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    ]


def index_headers(received: Headers) -> dict[str, str]:
    """Returns the headers by name; the first value of a name wins."""
    return dict(reversed(received))


def classify_response(
    request: CallerRequest,
    status: int,
    received: Headers,
    exchange: HttpExchange,
) -> ResponseHead | RequestNotExecuted | WrongResponse:
    """Returns the outcome that the head of a response shows."""
    headers = index_headers(received)
    if protocol.NOT_EXECUTED_HEADER in headers or status == HTTP_MISDIRECTED:
        return RequestNotExecuted(
            status=status,
            failed_address=headers.get(protocol.FAILED_ENDPOINT_HEADER, ""),
        )
    if headers.get(protocol.ATTEMPT_ID_HEADER) != request.id:
        return WrongResponse(reason="the response is for another request")
    if protocol.SIGNATURE_HEADER not in headers:
        return WrongResponse(reason="the response is not signed")
    if "content-encoding" in headers:
        return WrongResponse(reason="the response has a content encoding")
    dropped = HOP_BY_HOP_HEADERS
    if exchange.framing is BodyFraming.CHUNKS:
        dropped |= {"content-length"}  # chunks override it
    return ResponseHead(
        status=status,
        headers=[(n, v) for n, v in received if n not in dropped],
        exchange=exchange,
    )


__all__ = [
    "HTTP_MISDIRECTED",
    "BrokenResponse",
    "RequestNotExecuted",
    "RequestNotSent",
    "ResponseHead",
    "WrongResponse",
    "classify_response",
    "decode_headers",
    "index_headers",
]

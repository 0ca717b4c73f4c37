"""Sends callers' requests, reservations and load queries to endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.http_exchange import (
    ConnectError,
    ExchangeError,
    HttpExchange,
    open_exchange,
)
from auburnswitch.platform import fields, protocol
from auburnswitch.platform.fields import FieldError
from auburnswitch.platform.requests import HOP_BY_HOP_HEADERS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import h11

    from auburnswitch.platform.requests import CallerRequest, Headers
    from auburnswitch.schema.installation import EndpointEntry

CONNECT_TIMEOUT_S: Final = 0.6
_HTTP_OK: Final = 200
_HTTP_ACCEPTED: Final = 202
_HTTP_MISDIRECTED: Final = 421
_HTTP_MULTIPLE_CHOICES: Final = 300
_CALL_ERRORS: Final = (ConnectError, ExchangeError, TimeoutError)
_JSON_HEADER: Final = ("content-type", "application/json")


@dataclass(slots=True, kw_only=True)
class RequestNotSent:
    """No byte of the request reached the endpoint.

    Attributes:
        reason: Description of the failure.
    """

    reason: str


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
    """The connection broke, or the response is not for this request.

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


@dataclass(slots=True, kw_only=True)
class _Reply:
    """Whole response to one of this daemon's own calls."""

    status: int
    body: bytes


@dataclass(slots=True, kw_only=True)
class EngineLoadReport:
    """Load that an engine reports, a few hundred milliseconds late.

    Attributes:
        requests: Number of running and waiting requests.
        memory_tokens: KV cache in use that cannot be evicted, in tokens.
        slowdown: Duration of the engine's work relative to its usual duration.
    """

    requests: int
    memory_tokens: int
    slowdown: float


class PlatformEndpointClient:
    """Sends requests to endpoints, each on its own connection.

    A connection serves one request only, so that late or surplus bytes of a
    response can never be taken for the response to another request.
    """

    __slots__ = ()

    @contextlib.asynccontextmanager
    async def send(
        self,
        request: CallerRequest,
        *,
        endpoint: EndpointEntry,
        headers: Headers,
        body: bytes,
    ) -> AsyncIterator[
        ResponseHead | RequestNotSent | RequestNotExecuted | BrokenResponse
    ]:
        """Sends a request and yields the head of its response, or the failure.

        The connection is closed on exit from the context, which makes the
        endpoint cancel unfinished work.
        """
        async with contextlib.AsyncExitStack() as stack:
            try:
                exchange = await stack.enter_async_context(
                    _open_exchange(endpoint)
                )
                exchange.send(
                    method=request.method,
                    target=request.target,
                    headers=headers,
                    body=body,
                )
                head = await exchange.read_head()
            except ConnectError as error:
                outcome = RequestNotSent(reason=str(error))
            except ExchangeError as error:
                outcome = BrokenResponse(reason=str(error))
            else:
                outcome = _classify_response(request, head, exchange)
            yield outcome

    async def reserve(
        self, endpoint: EndpointEntry, *, key: str, tokens: int, lease_ms: int
    ) -> bool:
        """Reserves memory, or renews the reservation with the same key.

        Args:
            endpoint: Endpoint at which the memory is reserved.
            key: Key of the reservation.
            tokens: Size of the reserved memory, in tokens.
            lease_ms: Duration of the reservation without renewal, in ms.

        Returns:
            Whether the endpoint granted it; False if the call failed.
        """
        order = {"Op": "reserve", "Id": key, "Tokens": tokens}
        return await self._send_order(endpoint, {**order, "HoldMs": lease_ms})

    async def release(self, endpoint: EndpointEntry, *, key: str) -> bool:
        """Releases a reservation."""
        return await self._send_order(endpoint, {"Op": "release", "Id": key})

    async def fetch_load(
        self, endpoint: EndpointEntry
    ) -> EngineLoadReport | None:
        """Fetches an engine's load; returns None without a usable response."""
        try:
            reply = await _call(endpoint, "GET", protocol.REPORT_PATH)
            data = json.loads(reply.body)
            return EngineLoadReport(
                requests=fields.integer(data, "Running", 0)
                + fields.integer(data, "Waiting", 0),
                memory_tokens=fields.integer(data, "KvUsed", 0),
                slowdown=fields.number(data, "pace", 1.0),
            )
        except (FieldError, ValueError, *_CALL_ERRORS):
            return None  # the next request detects a failed engine

    async def _send_order(
        self, endpoint: EndpointEntry, order: dict[str, str | int]
    ) -> bool:
        body = json.dumps(order).encode()
        try:
            reply = await _call(endpoint, "POST", protocol.ORDER_PATH, body)
        except _CALL_ERRORS:
            return False  # the caller handles a failed call as a refusal
        return reply.status == _HTTP_OK


def _open_exchange(
    endpoint: EndpointEntry,
) -> contextlib.AbstractAsyncContextManager[HttpExchange]:
    return open_exchange(
        endpoint.host, endpoint.port, connect_timeout_s=CONNECT_TIMEOUT_S
    )


async def _call(
    endpoint: EndpointEntry, method: str, path: str, body: bytes = b""
) -> _Reply:
    """Makes one of this daemon's own calls and reads the whole response."""
    headers = [(protocol.EXPECTED_ENDPOINT_HEADER, endpoint.id)]
    if body:
        headers.append(_JSON_HEADER)
    async with (
        asyncio.timeout(CONNECT_TIMEOUT_S),
        _open_exchange(endpoint) as exchange,
    ):
        exchange.send(method=method, target=path, headers=headers, body=body)
        head = await exchange.read_head()
        return _Reply(status=head.status_code, body=await exchange.read_all())


def _classify_response(
    request: CallerRequest, head: h11.Response, exchange: HttpExchange
) -> ResponseHead | RequestNotExecuted | BrokenResponse:
    received = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    ]
    headers = dict(reversed(received))  # the first value of a name wins
    status = head.status_code
    if protocol.NOT_EXECUTED_HEADER in headers or status == _HTTP_MISDIRECTED:
        return RequestNotExecuted(
            status=status,
            failed_address=headers.get(protocol.FAILED_ENDPOINT_HEADER, ""),
        )
    if headers.get(protocol.ATTEMPT_ID_HEADER) != request.id:
        return BrokenResponse(reason="the response is for another request")
    if protocol.SIGNATURE_HEADER not in headers:
        return BrokenResponse(reason="the response is not signed")
    if "content-encoding" in headers:
        return BrokenResponse(reason="the response has a content encoding")
    return ResponseHead(
        status=status,
        headers=[(n, v) for n, v in received if n not in HOP_BY_HOP_HEADERS],
        exchange=exchange,
    )


__all__ = [
    "ResponseHead",
    "BrokenResponse",
    "PlatformEndpointClient",
    "EngineLoadReport",
    "RequestNotExecuted",
    "RequestNotSent",
]

"""Sends callers' requests, reservations and load queries to endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.body_budget import BodyBudget
from auburnswitch.http_exchange import (
    ConnectError,
    ExchangeError,
    HttpExchange,
    open_exchange,
)
from auburnswitch.platform import protocol
from auburnswitch.platform.endpoint_notices import NoticeSource, decode_notice
from auburnswitch.platform.endpoint_responses import (
    HTTP_MISDIRECTED,
    BrokenResponse,
    RequestNotExecuted,
    RequestNotSent,
    ResponseHead,
    WrongResponse,
    classify_response,
    decode_headers,
    index_headers,
)
from auburnswitch.platform.fields import FieldError
from auburnswitch.platform.load_reports import (
    EngineLoadReport,
    decode_load_report,
)
from auburnswitch.platform.process_statements import (
    decode_boot_ms,
    decode_statement,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    import h11

    from auburnswitch.platform.endpoint_notices import EndpointNotice
    from auburnswitch.platform.process_statements import ProcessStatement
    from auburnswitch.platform.requests import CallerRequest, Headers
    from auburnswitch.schema.installation import EndpointEntry, Service

CONNECT_TIMEOUT_S: Final = 0.6
MAX_ANSWER_BYTES: Final = 16 * 2**20  # of an answer that is not streamed
MAX_BUFFERED_BYTES: Final = 64 * 2**20  # of all such answers together
MAX_CALL_RESPONSE_BYTES: Final = 2**20  # to a call of the daemon's own
_HTTP_OK: Final = 200
_CALL_ERRORS: Final = (ConnectError, ExchangeError, TimeoutError)
_JSON_HEADER: Final = ("content-type", "application/json")


@dataclass(slots=True, kw_only=True)
class _Reply:
    """Whole response to one of this daemon's own calls."""

    status: int
    headers: dict[str, str]
    body: bytes


class ProcessState(enum.Enum):
    """What is known about the process that an endpoint's entry describes."""

    RUNNING = "running"
    ENDED = "ended"  # nothing listens there, or another process does
    UNKNOWN = "unknown"


class PlatformEndpointClient:
    """Sends requests to endpoints, each on its own connection.

    A connection serves one request only, so that late or surplus bytes of a
    response can never be taken for the response to another request.

    Attributes:
        on_notice: Called with an endpoint's entry and the notice in any of its
            responses; by default notices are ignored.
        on_process: Called with an endpoint's entry and the start that its
            process states, in milliseconds since the epoch.
    """

    __slots__ = ("_answer_budget", "_call_budget", "on_notice", "on_process")

    def __init__(
        self,
        *,
        on_notice: Callable[
            [EndpointEntry, EndpointNotice], None
        ] = lambda entry, notice: None,
        on_process: Callable[
            [EndpointEntry, int], None
        ] = lambda entry, boot_ms: None,
    ) -> None:
        self.on_notice = on_notice
        self.on_process = on_process
        self._answer_budget = BodyBudget(
            max_body_bytes=MAX_ANSWER_BYTES, max_total_bytes=MAX_BUFFERED_BYTES
        )
        self._call_budget = BodyBudget(
            max_body_bytes=MAX_CALL_RESPONSE_BYTES,
            max_total_bytes=MAX_ANSWER_BYTES,
        )

    @contextlib.asynccontextmanager
    async def send(
        self,
        request: CallerRequest,
        *,
        endpoint: EndpointEntry,
        headers: Headers,
        body: bytes,
        may_send: Callable[[], bool] = lambda: True,
    ) -> AsyncIterator[
        ResponseHead
        | RequestNotSent
        | RequestNotExecuted
        | BrokenResponse
        | WrongResponse
    ]:
        """Sends a request and yields the head of its response, or the failure.

        The connection is closed on exit from the context, which makes the
        endpoint cancel unfinished work.

        Args:
            request: The caller's request.
            endpoint: Endpoint to send it to.
            headers: Headers to send.
            body: Body to send.
            may_send: Returns whether the request may still be sent, once the
                connection is open.
        """
        async with contextlib.AsyncExitStack() as stack:
            try:
                exchange = await stack.enter_async_context(
                    _open_exchange(endpoint, self._answer_budget)
                )
                if may_send():
                    exchange.send(
                        method=request.method,
                        target=request.target,
                        headers=headers,
                        body=body,
                    )
                    head = await exchange.read_head()
                    received = self._read_notice(
                        endpoint, head, NoticeSource.REQUEST
                    )
                    outcome = classify_response(
                        request, head.status_code, received, exchange
                    )
                else:
                    outcome = RequestNotSent(
                        reason="endpoint withdrawn", connect_failed=False
                    )
            except ConnectError as error:
                outcome = RequestNotSent(reason=str(error))
            except ExchangeError as error:
                outcome = BrokenResponse(reason=str(error))
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
            reply = await self._call(
                endpoint, "GET", protocol.REPORT_PATH, NoticeSource.LOAD_REPORT
            )
            return decode_load_report(reply.body)
        except (FieldError, *_CALL_ERRORS):
            return None  # the next request detects a failed engine

    async def check_process(self, endpoint: EndpointEntry) -> ProcessState:
        """Asks whether an engine's process still runs."""
        try:
            reply = await self._call(
                endpoint, "GET", protocol.REPORT_PATH, NoticeSource.LOAD_REPORT
            )
        except ConnectError as error:
            return ProcessState.ENDED if error.refused else ProcessState.UNKNOWN
        except (ExchangeError, TimeoutError):
            return ProcessState.UNKNOWN
        if reply.status == HTTP_MISDIRECTED:
            return ProcessState.ENDED
        boot_ms = decode_boot_ms(reply.body)
        if boot_ms and endpoint.boot_ms and boot_ms != endpoint.boot_ms:
            return ProcessState.ENDED
        return ProcessState.RUNNING

    async def probe_process(
        self, endpoint: EndpointEntry, service: Service
    ) -> ProcessStatement | None:
        """Probes the process at an endpoint's address.

        An engine says in its load report when it started. A health check fails
        while the process is leaving, also if its other responses don't say so.

        Args:
            endpoint: Endpoint to probe.
            service: Its service.

        Returns:
            What it says; None without usable responses.
        """
        reported = None
        if service.engine is not None:
            reported = await self._probe(endpoint, protocol.REPORT_PATH)
            if reported is None or reported.leaving:
                return reported
        health_path = service.health_path or protocol.REPORT_PATH
        health = await self._probe(endpoint, health_path)
        if health is not None and reported is not None:
            health.boot_ms = reported.boot_ms
        return health

    async def _probe(
        self, endpoint: EndpointEntry, path: str
    ) -> ProcessStatement | None:
        try:
            reply = await self._call(endpoint, "GET", path, NoticeSource.PROBE)
        except _CALL_ERRORS:
            return None  # probed again later
        return decode_statement(
            endpoint.id, reply.status, reply.headers, reply.body
        )

    async def _send_order(
        self, endpoint: EndpointEntry, order: dict[str, str | int]
    ) -> bool:
        body = json.dumps(order).encode()
        try:
            reply = await self._call(
                endpoint, "POST", protocol.ORDER_PATH, NoticeSource.ORDER, body
            )
        except _CALL_ERRORS:
            return False  # the caller handles a failed call as a refusal
        return reply.status == _HTTP_OK

    async def _call(
        self,
        endpoint: EndpointEntry,
        method: str,
        path: str,
        source: NoticeSource,
        body: bytes = b"",
    ) -> _Reply:
        """Makes one of this daemon's own calls and reads the whole response."""
        headers = [(protocol.EXPECTED_ENDPOINT_HEADER, endpoint.id)]
        if body:
            headers.append(_JSON_HEADER)
        async with (
            asyncio.timeout(CONNECT_TIMEOUT_S),
            _open_exchange(endpoint, self._call_budget) as exchange,
        ):
            exchange.send(
                method=method, target=path, headers=headers, body=body
            )
            head = await exchange.read_head()
            self._read_notice(endpoint, head, source)
            reply = _Reply(
                status=head.status_code,
                headers=index_headers(decode_headers(head)),
                body=await exchange.read_all(),
            )
        if source is not NoticeSource.ORDER and reply.status == _HTTP_OK:
            self._report_process(endpoint, reply)
        return reply

    def _report_process(self, endpoint: EndpointEntry, reply: _Reply) -> None:
        """Reports when the process that has answered says it started."""
        boot_ms = decode_boot_ms(reply.body)
        if boot_ms:
            self.on_process(endpoint, boot_ms)

    def _read_notice(
        self, endpoint: EndpointEntry, head: h11.Response, source: NoticeSource
    ) -> Headers:
        """Reports the notice in a response; returns the response's headers."""
        received = decode_headers(head)
        notice = decode_notice(
            head.status_code, index_headers(received), source
        )
        if notice is not None:
            self.on_notice(endpoint, notice)
        return received


def _open_exchange(
    endpoint: EndpointEntry, body_budget: BodyBudget
) -> contextlib.AbstractAsyncContextManager[HttpExchange]:
    return open_exchange(
        endpoint.host,
        endpoint.port,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        body_budget=body_budget,
    )


__all__ = [
    "CONNECT_TIMEOUT_S",
    "MAX_ANSWER_BYTES",
    "MAX_BUFFERED_BYTES",
    "ProcessState",
    "PlatformEndpointClient",
]

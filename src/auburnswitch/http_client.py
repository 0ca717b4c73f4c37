"""Keeps the HTTP client from sending a request twice or too late."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import aiohttp

if TYPE_CHECKING:
    from types import SimpleNamespace

    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse


class ConnectionLostError(aiohttp.ClientConnectionError):
    """The connection broke after a request was perhaps received."""


class DispatchGuard(Protocol):
    """Decides whether a request may still be sent."""

    def before_send(self) -> None:
        """Is called right before the first byte is sent.

        Raises:
            Exception: The request must not be sent, and is not.
        """


async def send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Is a client middleware under which a request is sent at most once.

    The client library sends a GET, HEAD, OPTIONS, TRACE, PUT or DELETE again
    when its connection breaks before the answer, on a new connection as well
    as on a kept one. It does not do so for the error raised here.

    Raises:
        ConnectionLostError: The connection broke before the answer.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise  # nothing was sent
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error


async def _call_guard(
    _: aiohttp.ClientSession,
    context: SimpleNamespace,
    __: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    guard: DispatchGuard | None = context.trace_request_ctx
    if guard is not None:
        guard.before_send()


def open_client_session(
    connector: aiohttp.BaseConnector, **options: Any
) -> aiohttp.ClientSession:
    """Returns a client session whose requests take a dispatch guard.

    The guard is the request's ``trace_request_ctx``. The library calls it
    once it has a connection and just before it writes the headers.
    """
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_call_guard)
    return aiohttp.ClientSession(
        connector=connector, trace_configs=[trace], **options
    )


__all__ = [
    "ConnectionLostError",
    "DispatchGuard",
    "open_client_session",
    "send_once",
]

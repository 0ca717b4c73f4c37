"""Prevents automatic retries by the HTTP client library."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse


class ConnectionLostError(aiohttp.ClientConnectionError):
    """The connection broke when the server may have received the request."""


async def send_at_most_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Sends a request at most once, as a client middleware.

    The client library retries a GET, HEAD, OPTIONS, TRACE, PUT or DELETE when
    the connection breaks before the response, on new and on reused
    connections. It does not retry after the error raised here.

    Raises:
        ConnectionLostError: The connection broke before the response.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise  # nothing was sent
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error


__all__ = ["ConnectionLostError", "send_at_most_once"]

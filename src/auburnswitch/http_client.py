"""Keeps the HTTP client from sending a request twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse


class ConnectionLostError(aiohttp.ClientConnectionError):
    """The connection broke after a request was perhaps received."""


async def send_at_most_once(
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


__all__ = ["ConnectionLostError", "send_at_most_once"]

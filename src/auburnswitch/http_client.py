"""Opens the HTTP client of the product's daemon and prevents its retries."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, Final

import aiohttp

from auburnswitch.json_values import JsonError, decode_json

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse


MAX_JSON_BYTES: Final = 16 * 2**20


class ConnectionLostError(aiohttp.ClientConnectionError):
    """The connection broke when the server may have received the request."""


@contextlib.asynccontextmanager
async def open_client_session(
    connector: Callable[..., aiohttp.BaseConnector] = aiohttp.TCPConnector,
    *,
    reuse_connections: bool,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Opens a session of the client library.

    The library takes whatever arrives on a kept connection for the answer to
    the next request, also a late second copy of the last answer. So connections
    may be reused only where answers name their request.

    Args:
        connector: Creates the connector from its options.
        reuse_connections: Whether a connection may serve several requests.
    """
    async with aiohttp.ClientSession(
        connector=connector(limit=0, force_close=not reuse_connections)
    ) as session:
        yield session


async def read_json(
    response: ClientResponse, *, max_bytes: int = MAX_JSON_BYTES
) -> Any:
    """Reads the body of a response and decodes it; None if it is empty.

    Args:
        response: The response.
        max_bytes: Largest size of the body, in bytes.

    Raises:
        JsonError: The body is no JSON, or too large.
        aiohttp.ClientError: The body was broken off.
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > max_bytes:
            response.close()
            raise JsonError(f"the response is larger than {max_bytes} bytes")
    return decode_json(bytes(body)) if body else None


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


__all__ = [
    "ConnectionLostError",
    "open_client_session",
    "read_json",
    "send_at_most_once",
]

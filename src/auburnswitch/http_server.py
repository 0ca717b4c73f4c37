"""Runs an ASGI application on the running event loop."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Final

import uvicorn

from auburnswitch.http_protocol import HttpProtocol

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Iterator

    from starlette.types import ASGIApp

TICK_INTERVAL_S: Final = 1.0
DEFAULT_MAX_HEADER_BYTES: Final = 65536
logging.getLogger("uvicorn").addHandler(logging.NullHandler())


class ListenError(OSError):
    """A listener's address is in use or cannot be bound."""


class HttpServer:
    """A listening HTTP server.

    Attributes:
        server: The uvicorn server.
        host: IP address that it listens on.
        port: TCP port that it listens on; the assigned port if port 0 was
            requested.
    """

    __slots__ = ("host", "port", "server")

    def __init__(self, *, server: uvicorn.Server, host: str, port: int) -> None:
        self.server = server
        self.host = host
        self.port = port

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self.host}:{self.port}"

    def close_at_once(self) -> None:
        """Closes the listener and aborts every connection."""
        for listener in self.server.servers:
            listener.close()
        self.abort()

    def abort(self) -> None:
        """Aborts every connection, so that shutdown does not wait for them."""
        self.server.force_exit = True
        for connection in list(self.server.server_state.connections):
            connection.transport.abort()


@contextlib.asynccontextmanager
async def open_http_server(
    app: ASGIApp,
    *,
    host: str,
    port: int,
    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES,
    close_timeout_s: float | None = None,
) -> AsyncIterator[HttpServer]:
    """Serves an application until the context ends.

    Requests that are in progress at the end are completed within
    ``close_timeout_s``.

    Args:
        app: The application.
        host: IP address to listen on.
        port: TCP port to listen on; 0 selects a free port.
        max_header_bytes: Maximum size of a request's headers, in bytes.
        close_timeout_s: Time after the end of the context at which connections
            that are still open are aborted, in seconds; None for no limit, 0
            closes at once.

    Yields:
        The listening server.

    Raises:
        ListenError: The address cannot be bound.
    """
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http=HttpProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        h11_max_incomplete_event_size=max_header_bytes,
        timeout_keep_alive=60,
    )
    config.load()
    server = uvicorn.Server(config)
    server.lifespan = config.lifespan_class(config)
    try:
        await server.startup()
    except SystemExit as error:  # uvicorn exits when it cannot bind
        raise ListenError(f"cannot listen on {host}:{port}") from error
    ticker = asyncio.create_task(_tick(server))
    http_server = HttpServer(
        server=server, host=host, port=_bound_port(server, port)
    )
    try:
        yield http_server
    finally:
        ticker.cancel()
        if close_timeout_s == 0:
            http_server.close_at_once()
        else:
            with _abort_after(http_server, close_timeout_s):
                await server.shutdown()


@contextlib.contextmanager
def _abort_after(
    http_server: HttpServer, timeout_s: float | None
) -> Iterator[None]:
    """Aborts all connections if the context lasts longer than a timeout."""
    if timeout_s is None:
        yield
        return
    loop = asyncio.get_running_loop()
    timer = loop.call_later(timeout_s, http_server.abort)
    try:
        yield
    finally:
        timer.cancel()


def _bound_port(server: uvicorn.Server, port: int) -> int:
    if port:
        return port
    listening_socket: socket.socket = server.servers[0].sockets[0]
    return listening_socket.getsockname()[1]


async def _tick(server: uvicorn.Server) -> None:
    while True:
        await asyncio.sleep(TICK_INTERVAL_S)
        await server.on_tick(0)


__all__ = ["HttpServer", "ListenError", "open_http_server"]

"""A listener that can break its connections, pause and be down for a time."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
from typing import TYPE_CHECKING, Final

from auburnswitch.http_server import HttpServer, ListenError, open_http_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.types import ASGIApp, Receive, Scope, Send
    from uvicorn.protocols.http.h11_impl import H11Protocol

ARRIVAL_TIME_S: Final[contextvars.ContextVar[float]] = contextvars.ContextVar(
    "arrived_s"
)
MAX_HEADER_BYTES: Final = 65536
CLOCK_TOLERANCE_S: Final = 1e-5


def seconds_until(time_s: float) -> float:
    """Returns the time left, 0 once it is too short for a clock to show.

    A timer may fire a clock tick early. Waiting again for the rest would not
    end on a loop whose clock only moves while nothing is ready.
    """
    left_s = time_s - asyncio.get_running_loop().time()
    return left_s if left_s > CLOCK_TOLERANCE_S else 0.0


class Pause:
    """A time until which a stand-in does nothing, as a stopped process.

    Attributes:
        until_s: End of the pause on the event loop's clock.
    """

    __slots__ = ("_ended", "until_s")

    def __init__(self) -> None:
        self.until_s = 0.0
        self._ended = asyncio.Event()

    def extend(self, seconds: float) -> None:
        """Pauses for some seconds from now."""
        now_s = asyncio.get_running_loop().time()
        self.until_s = max(self.until_s, now_s + seconds)
        self._ended.clear()

    def end(self) -> None:
        """Ends the pause at once, as a new process does."""
        self.until_s = 0.0
        self._ended.set()

    async def wait(self) -> None:
        """Returns once the pause is over."""
        while left_s := seconds_until(self.until_s):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), left_s)


class Listener:
    """Serves an application and can fail the ways that processes fail.

    Attributes:
        app: The application.
        host: IP address it listens on.
        port: TCP port; set when the listener has opened.
        pause: While it lasts, requests are accepted but not answered.
    """

    __slots__ = (
        "_aborted",
        "_down",
        "_open",
        "_requests",
        "_server",
        "_silent_until_s",
        "_up_at_s",
        "app",
        "host",
        "pause",
        "port",
    )

    def __init__(
        self, *, app: ASGIApp, host: str, port: int, pause: Pause
    ) -> None:
        self.app = app
        self.host = host
        self.port = port
        self.pause = pause
        self._server: HttpServer | None = None
        self._open = False
        self._requests: dict[asyncio.Task[None], None] = {}  # keeps order
        self._aborted: set[asyncio.Task[None]] = set()
        self._down = asyncio.Event()
        self._up_at_s = 0.0
        self._silent_until_s = 0.0

    @property
    def url(self) -> str:
        """Base URL of the listener."""
        return f"http://{self.host}:{self.port}"

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Runs one request as an ASGI application."""
        task = asyncio.current_task()
        assert task is not None
        self._requests[task] = None
        try:
            await self._run(scope, receive, send)
        except asyncio.CancelledError:
            if task not in self._aborted:
                raise
            await wait_for_disconnect(receive)  # the server must see it first
        finally:
            del self._requests[task]
            self._aborted.discard(task)

    async def _run(self, scope: Scope, receive: Receive, send: Send) -> None:
        if not self._open:
            await self.abort_request(scope, receive)  # it came too late
            return
        silent_s = seconds_until(self._silent_until_s)
        if silent_s:
            await asyncio.sleep(silent_s)
            await self.abort_request(scope, receive)  # its process is gone
            return
        ARRIVAL_TIME_S.set(asyncio.get_running_loop().time())
        await self.pause.wait()
        await self.app(scope, receive, send)

    def stop_for(self, seconds: float, *, silent: bool = False) -> None:
        """Breaks every connection and is down for a time.

        Args:
            seconds: Time until requests are accepted again.
            silent: Whether connections are accepted but not answered in that
                time, instead of being refused.
        """
        now_s = asyncio.get_running_loop().time()
        self.abort_connections()
        if silent:
            self._silent_until_s = now_s + seconds
            return
        self._up_at_s = now_s + seconds
        self._open = False
        self._down.set()
        if self._server is not None:
            for server in self._server.server.servers:
                server.close()

    def abort_connections(self) -> None:
        """Breaks every connection and cancels its request."""
        if self._server is not None:
            connections = self._server.server.server_state.connections
            for connection in sorted(connections, key=_client_address):
                connection.transport.abort()
        for task in list(self._requests):
            self._aborted.add(task)
            task.cancel()

    async def abort_request(self, scope: Scope, receive: Receive) -> None:
        """Breaks the connection of one request."""
        assert self._server is not None
        for connection in list(self._server.server.server_state.connections):
            if connection.scope is scope:
                connection.transport.abort()
        await wait_for_disconnect(receive)

    async def run(self, started: asyncio.Future[None]) -> None:
        """Listens until cancelled, opening again after each time down.

        Args:
            started: Is done once the listener has opened for the first time.
        """
        while True:
            try:
                await self._listen_once(started)
            except ListenError as error:
                if started.done():
                    raise
                started.set_exception(error)
                return
            while left_s := seconds_until(self._up_at_s):
                await asyncio.sleep(left_s)

    async def _listen_once(self, started: asyncio.Future[None]) -> None:
        self._down.clear()
        async with open_http_server(
            self,
            host=self.host,
            port=self.port,
            max_header_bytes=MAX_HEADER_BYTES,
        ) as server:
            self._server = server
            self._open = True
            self.port = server.port
            if not started.done():
                started.set_result(None)
            await self._down.wait()


def _client_address(connection: H11Protocol) -> tuple[str, int]:
    return connection.client or ("", 0)


@contextlib.asynccontextmanager
async def open_listener(
    app: ASGIApp, *, host: str, port: int, pause: Pause | None = None
) -> AsyncIterator[Listener]:
    """Serves an application; connections are broken at the end.

    Args:
        app: The application.
        host: IP address to listen on.
        port: TCP port to listen on; 0 takes a free one.
        pause: While it lasts, requests are accepted but not answered.

    Yields:
        The listener.

    Raises:
        ListenError: The address cannot be bound.
    """
    listener = Listener(app=app, host=host, port=port, pause=pause or Pause())
    started = asyncio.get_running_loop().create_future()
    task = asyncio.create_task(listener.run(started))
    try:
        await started
        yield listener
    finally:
        listener.abort_connections()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def wait_for_disconnect(receive: Receive) -> None:
    """Returns once the caller of a request has gone."""
    while (await receive())["type"] != "http.disconnect":
        pass


__all__ = [
    "ARRIVAL_TIME_S",
    "Listener",
    "Pause",
    "open_listener",
    "wait_for_disconnect",
]

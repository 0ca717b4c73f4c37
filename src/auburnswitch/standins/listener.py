"""Serves HTTP and can abort connections, pause and be down."""

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
    """Returns the remaining time, 0 if it is below the clock's tolerance.

    A timer may fire one clock tick early. Waiting again for the remainder would
    never finish on an event loop whose clock only advances while no callback is
    ready.
    """
    remaining_s = time_s - asyncio.get_running_loop().time()
    return remaining_s if remaining_s > CLOCK_TOLERANCE_S else 0.0


class Pause:
    """Suspends a stand-in until a given time, like a stopped process.

    Attributes:
        until_s: Event loop time at which the pause ends.
    """

    __slots__ = ("_ended", "until_s")

    def __init__(self) -> None:
        self.until_s = 0.0
        self._ended = asyncio.Event()

    def extend(self, seconds: float) -> None:
        """Pauses for at least some seconds from now."""
        now_s = asyncio.get_running_loop().time()
        self.until_s = max(self.until_s, now_s + seconds)
        self._ended.clear()

    def end(self) -> None:
        """Ends the pause immediately, as a process restart does."""
        self.until_s = 0.0
        self._ended.set()

    async def wait(self) -> None:
        """Returns once the pause is over."""
        while remaining_s := seconds_until(self.until_s):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), remaining_s)


class Listener:
    """Serves an application and simulates faults of its process.

    Attributes:
        app: The ASGI application.
        host: IP address to listen on.
        port: TCP port; the actual one once the listener has opened.
        pause: While active, requests are accepted but not answered.
    """

    __slots__ = (
        "_aborted_tasks",
        "_accepting",
        "_reopen_at_s",
        "_request_tasks",
        "_server",
        "_silent_until_s",
        "_stop_requested",
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
        self._accepting = False
        self._request_tasks: dict[asyncio.Task[None], None] = {}  # ordered set
        self._aborted_tasks: set[asyncio.Task[None]] = set()
        self._stop_requested = asyncio.Event()
        self._reopen_at_s = 0.0
        self._silent_until_s = 0.0

    @property
    def url(self) -> str:
        """Base URL of the listener."""
        return f"http://{self.host}:{self.port}"

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request as an ASGI application."""
        task = asyncio.current_task()
        assert task is not None
        self._request_tasks[task] = None
        try:
            await self._run(scope, receive, send)
        except asyncio.CancelledError:
            if task not in self._aborted_tasks:
                raise
            # the server must handle the disconnect first
            await wait_for_disconnect(receive)
        finally:
            del self._request_tasks[task]
            self._aborted_tasks.discard(task)

    async def _run(self, scope: Scope, receive: Receive, send: Send) -> None:
        if not self._accepting:
            await self.abort_request(scope, receive)  # received after the stop
            return
        silent_s = seconds_until(self._silent_until_s)
        if silent_s:
            await asyncio.sleep(silent_s)
            # simulates a terminated process
            await self.abort_request(scope, receive)
            return
        ARRIVAL_TIME_S.set(asyncio.get_running_loop().time())
        await self.pause.wait()
        await self.app(scope, receive, send)

    def stop_for(self, seconds: float, *, silent: bool = False) -> None:
        """Aborts all connections and stops serving for a time.

        Args:
            seconds: Time until requests are served again.
            silent: Whether connections are accepted but not answered during
                that time, instead of being refused.
        """
        now_s = asyncio.get_running_loop().time()
        self.abort_connections()
        if silent:
            self._silent_until_s = now_s + seconds
            return
        self._reopen_at_s = now_s + seconds
        self._accepting = False
        self._stop_requested.set()
        if self._server is not None:
            for server in self._server.server.servers:
                server.close()

    def abort_connections(self) -> None:
        """Aborts all connections and cancels their requests."""
        if self._server is not None:
            connections = self._server.server.server_state.connections
            for connection in sorted(connections, key=_client_address):
                connection.transport.abort()
        for task in list(self._request_tasks):
            self._aborted_tasks.add(task)
            task.cancel()

    async def abort_request(self, scope: Scope, receive: Receive) -> None:
        """Aborts the connection of one request."""
        assert self._server is not None
        for connection in list(self._server.server.server_state.connections):
            if connection.scope is scope:
                connection.transport.abort()
        await wait_for_disconnect(receive)

    async def run(self, started: asyncio.Future[None]) -> None:
        """Listens until cancelled and reopens after each downtime.

        Args:
            started: Completed once the listener has opened for the first time
                or has failed to.

        Raises:
            ListenError: The address cannot be bound again after a downtime.
        """
        while True:
            try:
                await self._listen_once(started)
            except ListenError as error:
                if started.done():
                    raise
                started.set_exception(error)
                return
            while remaining_s := seconds_until(self._reopen_at_s):
                await asyncio.sleep(remaining_s)

    async def _listen_once(self, started: asyncio.Future[None]) -> None:
        self._stop_requested.clear()
        async with open_http_server(
            self,
            host=self.host,
            port=self.port,
            max_header_bytes=MAX_HEADER_BYTES,
        ) as server:
            self._server = server
            self._accepting = True
            self.port = server.port
            if not started.done():
                started.set_result(None)
            await self._stop_requested.wait()


def _client_address(connection: H11Protocol) -> tuple[str, int]:
    return connection.client or ("", 0)


@contextlib.asynccontextmanager
async def open_listener(
    app: ASGIApp, *, host: str, port: int, pause: Pause | None = None
) -> AsyncIterator[Listener]:
    """Serves an application until the context exits, then aborts connections.

    Args:
        app: The ASGI application.
        host: IP address to listen on.
        port: TCP port to listen on; 0 selects a free port.
        pause: While active, requests are accepted but not answered.

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
    """Returns once the client of a request has disconnected."""
    while (await receive())["type"] != "http.disconnect":
        pass


__all__ = [
    "ARRIVAL_TIME_S",
    "Listener",
    "Pause",
    "open_listener",
    "wait_for_disconnect",
]

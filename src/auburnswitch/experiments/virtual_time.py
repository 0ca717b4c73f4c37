"""Runs coroutines on an event loop with virtual time and in-memory sockets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import selectors
from typing import TYPE_CHECKING, Any, Final, TypeVar

import aiohttp
import async_solipsism
from async_solipsism.selector import Selector
from async_solipsism.socket import Queue, Socket

from auburnswitch.experiments.determinism import seeded_ids_and_clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from async_solipsism.clock import Clock

MAX_SLEEP_S = asyncio.base_events.MAXIMUM_SELECT_TIMEOUT
FIRST_FREE_PORT: Final = 40_000

ResultT = TypeVar("ResultT")


class IndexedSelector(Selector):
    """Finds ready sockets faster than the selector of async_solipsism.

    Checks the receive queues of connections directly, since nearly all sockets
    of a run wait for incoming data, and polls other sockets as the library
    does.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._receiving: dict[int, tuple[Queue, selectors.SelectorKey]] = {}
        self._polled: dict[int, selectors.SelectorKey] = {}
        self._suspended: dict[str, list[selectors.SelectorKey]] = {}

    def suspend(
        self, name: str, predicate: Callable[[selectors.SelectorKey], bool]
    ) -> None:
        """Stops reporting the selected sockets until `resume` is called.

        Args:
            name: Name under which the sockets are suspended.
            predicate: Returns whether to suspend a socket.
        """
        keys = [key for _, key in self._receiving.values()]
        keys = [k for k in [*keys, *self._polled.values()] if predicate(k)]
        for key in keys:
            self._remove(key)
        self._suspended[name] = keys

    def suspended_keys(self, name: str) -> list[selectors.SelectorKey]:
        """Returns the sockets that are suspended under a name."""
        return self._suspended.get(name, [])

    def resume(self, name: str) -> None:
        """Reports suspended sockets again, except those closed meanwhile."""
        for key in self._suspended.pop(name, []):
            if self.get_map().get(key.fileobj) is key:
                self._add(key)

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Starts watching a socket."""
        key = super().register(fileobj, events, data)
        self._add(key)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Stops watching a socket."""
        key = super().unregister(fileobj)
        self._remove(key)
        return key

    def modify(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Changes the events that a socket is watched for."""
        key = super().modify(fileobj, events, data)
        self._remove(key)
        self._add(key)
        return key

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready sockets; advances the clock if there are none.

        Raises:
            SleepForeverError: No socket is ready and no timer is pending.
        """
        ready = [
            (key, selectors.EVENT_READ)
            for queue, key in self._receiving.values()
            if queue._buffer or queue._eof
        ]
        ready += [
            (key, events)
            for key in self._polled.values()
            if (events := _ready_events(key))
        ]
        if ready:
            return ready
        if timeout is None or timeout >= MAX_SLEEP_S:
            raise async_solipsism.SleepForeverError(
                "no socket is ready and no timer is pending"
            )
        if timeout > 0:
            # at least one clock tick
            step_s = max(timeout, self.clock.resolution)
            self.clock.advance(step_s)
        return []

    def _add(self, key: selectors.SelectorKey) -> None:
        socket = key.fd.socket
        if type(socket) is Socket and key.events == selectors.EVENT_READ:
            self._receiving[id(socket)] = (socket._read_queue, key)
        else:
            self._polled[id(socket)] = key

    def _remove(self, key: selectors.SelectorKey) -> None:
        self._receiving.pop(id(key.fd.socket), None)
        self._polled.pop(id(key.fd.socket), None)


def _ready_events(key: selectors.SelectorKey) -> int:
    socket = key.fd.socket
    events = 0
    if key.events & selectors.EVENT_READ and socket.read_ready():
        events |= selectors.EVENT_READ
    if key.events & selectors.EVENT_WRITE and socket.write_ready():
        events |= selectors.EVENT_WRITE
    return events


class VirtualLoop(async_solipsism.EventLoop):
    """An event loop with virtual time and in-memory sockets."""

    def __init__(self) -> None:
        super().__init__()
        default_selector = self._selector
        self._selector = IndexedSelector(default_selector.clock)
        default_selector.close()
        self._free_ports = itertools.count(FIRST_FREE_PORT)

    async def create_server(
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: str | None = None,
        port: int | None = None,
        **kwargs: Any,
    ) -> asyncio.Server:
        """Opens a listener; port 0 selects a port that was never used before.

        The port of a closed listener is therefore not given to another one.
        """
        if port == 0:
            port = next(self._free_ports)
        return await super().create_server(
            protocol_factory, host, port, **kwargs
        )


class SimulatedConnector(aiohttp.TCPConnector):
    """Opens connections on the running loop's in-memory network."""

    async def _wrap_create_connection(
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        *args: Any,
        addr_infos: list[Any],
        req: Any,
        client_error: type[aiohttp.ClientConnectorError] = (
            aiohttp.ClientConnectorError
        ),
        **kwargs: Any,
    ) -> tuple[asyncio.BaseTransport, asyncio.Protocol]:
        host, port = addr_infos[0][4][:2]
        loop = asyncio.get_running_loop()
        try:
            return await loop.create_connection(protocol_factory, host, port)
        except OSError as error:
            raise client_error(req.connection_key, error) from error


@contextlib.asynccontextmanager
async def open_session(**options: Any) -> AsyncIterator[aiohttp.ClientSession]:
    """Opens a client session on the in-memory network.

    Disables aiohttp's default of retrying a request when a kept-alive
    connection breaks, because tests count the requests that stand-ins receive.
    """
    options.setdefault("connector", SimulatedConnector(limit=0))
    async with aiohttp.ClientSession(**options) as session:
        session._retry_connection = False
        yield session


def run_virtual(
    function: Callable[[], Awaitable[ResultT]],
    loop_class: type[VirtualLoop] = VirtualLoop,
    *,
    seed: int = 1,
) -> ResultT:
    """Runs a coroutine function in virtual time with repeatable results.

    Args:
        function: Coroutine function without arguments.
        loop_class: Class of the event loop.
        seed: Seed of the ids that the code under test draws.

    Returns:
        The result of the function.
    """
    loop = loop_class()
    try:
        with (
            seeded_ids_and_clock(seed),
            asyncio.Runner(loop_factory=lambda: loop) as runner,
        ):
            return runner.run(_await(function))
    finally:
        asyncio.set_event_loop(None)


async def _await(function: Callable[[], Awaitable[ResultT]]) -> ResultT:
    return await function()


__all__ = [
    "SimulatedConnector",
    "VirtualLoop",
    "open_session",
    "run_virtual",
]

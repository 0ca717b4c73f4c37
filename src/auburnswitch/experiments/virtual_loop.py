"""An event loop of virtual time whose cost does not grow with its sockets.

The selector of ``async_solipsism`` looks at every socket in every turn. This
one looks only at sockets that were written to since they were last empty.
"""

from __future__ import annotations

import selectors
from asyncio.base_events import MAXIMUM_SELECT_TIMEOUT
from typing import Any

import async_solipsism
from async_solipsism.exceptions import SleepForeverError
from async_solipsism.selector import Selector
from async_solipsism.socket import ListenSocket, Queue


class WatchedQueue(Queue):
    """The bytes on their way to one socket; tells when some arrive.

    Attributes:
        touched: Sources that may have something to read.
    """

    touched: dict[Source, None]

    def write(self, data: bytes) -> int | None:
        """Appends bytes and returns how many fitted, None if none did."""
        self.touched[self] = None
        return super().write(data)

    def write_eof(self) -> None:
        """Marks the end of the bytes."""
        self.touched[self] = None
        super().write_eof()

    __hash__ = object.__hash__


class WatchedListener(ListenSocket):
    """A listening socket that tells when a peer connects.

    Attributes:
        touched: Sources that may have something to read.
    """

    touched: dict[Source, None]

    async def make_connection(self, peername: Any) -> Any:
        """Connects a peer and returns its socket."""
        self.touched[self] = None
        return await super().make_connection(peername)


Source = WatchedQueue | WatchedListener


class WatchingSelector(Selector):
    """Finds ready sockets among the few that may be.

    Attributes:
        readers: Key of the socket that reads from a source.
        writers: Keys that wait to write, by descriptor.
        touched: Sources that may have something to read.
    """

    def __init__(self, clock: Any) -> None:
        super().__init__(clock)
        self.readers: dict[Source, selectors.SelectorKey] = {}
        self.writers: dict[Any, selectors.SelectorKey] = {}
        self.touched: dict[Source, None] = {}

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Registers a socket."""
        key = super().register(fileobj, events, data)
        self._watch(key)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Forgets a socket."""
        key = super().unregister(fileobj)
        self._forget(key)
        return key

    def modify(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Changes what is watched of a socket."""
        key = super().modify(fileobj, events, data)
        self._forget(key)
        self._watch(key)
        return key

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready sockets, or lets the time pass."""
        ready = self._ready()
        if ready:
            return ready
        if timeout is None or timeout >= MAXIMUM_SELECT_TIMEOUT:
            raise SleepForeverError("nothing will ever be ready")
        if timeout > 0:
            self.clock.advance(timeout)
        return []

    def _ready(self) -> list[tuple[selectors.SelectorKey, int]]:
        found = dict(self.writers)
        for source in list(self.touched):
            key = self.readers.get(source)
            if key is None or not source.read_ready():
                del self.touched[source]
                continue
            found[key.fd] = key
        return [(key, e) for key in found.values() if (e := _events(key))]

    def _watch(self, key: selectors.SelectorKey) -> None:
        if key.events & selectors.EVENT_WRITE:
            self.writers[key.fd] = key
        source = _source(key)
        if source is None or not key.events & selectors.EVENT_READ:
            return
        if not isinstance(source, Source):
            listens = isinstance(source, ListenSocket)
            source.__class__ = WatchedListener if listens else WatchedQueue
            source.touched = self.touched
        self.readers[source] = key
        self.touched[source] = None

    def _forget(self, key: selectors.SelectorKey) -> None:
        self.writers.pop(key.fd, None)
        self.readers.pop(_source(key), None)


def _source(key: selectors.SelectorKey) -> Any:
    """Returns what a socket reads from, None once it is closed."""
    sock = key.fd.socket
    return sock if isinstance(sock, ListenSocket) else sock._read_queue


def _events(key: selectors.SelectorKey) -> int:
    sock = key.fd.socket
    events = 0
    if key.events & selectors.EVENT_READ and sock.read_ready():
        events |= selectors.EVENT_READ
    if key.events & selectors.EVENT_WRITE and sock.write_ready():
        events |= selectors.EVENT_WRITE
    return events


class VirtualLoop(async_solipsism.EventLoop):
    """An event loop of virtual time for many sockets."""

    def __init__(self) -> None:
        super().__init__()
        scanning = self._selector
        self._selector = WatchingSelector(scanning.clock)
        for key in list(scanning.get_map().values()):
            self._selector.register(key.fileobj, key.events, key.data)


__all__ = ["VirtualLoop"]

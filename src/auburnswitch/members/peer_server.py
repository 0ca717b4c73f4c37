"""Accepts peer connections and handles their calls."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.http_server import ListenError
from auburnswitch.members.frames import FrameError, unwrap_message
from auburnswitch.members.peer_connection import accept_peer
from auburnswitch.observe.logs import log_event
from auburnswitch.observe.tasks import open_task_set
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from auburnswitch.members.peer_connection import PeerConnection
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.schema.base import Struct
    from auburnswitch.schema.peers import Envelope
    from auburnswitch.schema.settings import PeersSettings

    MessageHandler = Callable[[Struct, str], Awaitable[Struct | None]]

CLOSE_TIMEOUT_S: Final = 1.0


class PeerServer:
    """Dispatches each message of a peer to the handler of its class.

    Attributes:
        settings: Address and limits of the listener.
        member_id: Member id of this daemon's incarnation.
        shared_key: Key that all daemons share.
        handlers: Handler by message class; receives the message and the peer's
            member id and returns the reply, if there is one.
        port: TCP port of the listener.
        writers: Writers of the open connections.
        connection_tasks: Tasks that serve the open connections.
    """

    __slots__ = (
        "connection_tasks",
        "handlers",
        "member_id",
        "port",
        "settings",
        "shared_key",
        "writers",
    )

    def __init__(
        self, *, settings: PeersSettings, member_id: str, shared_key: bytes
    ) -> None:
        self.settings = settings
        self.member_id = member_id
        self.shared_key = shared_key
        self.handlers: dict[type[Struct], MessageHandler] = {}
        self.port = settings.port
        self.writers: set[asyncio.StreamWriter] = set()
        self.connection_tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Listens until the context ends.

        Raises:
            ListenError: The address cannot be bound.
        """
        host, port = self.settings.host, self.settings.port
        try:
            server = await asyncio.start_server(self._serve, host, port)
        except OSError as error:
            raise ListenError(f"cannot listen on {host}:{port}") from error
        if not self.port:
            self.port = server.sockets[0].getsockname()[1]
        try:
            yield
        finally:
            server.close()
            for writer in list(self.writers):
                writer.transport.abort()
            if self.connection_tasks:
                await asyncio.wait(
                    self.connection_tasks, timeout=CLOSE_TIMEOUT_S
                )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.connection_tasks.add(task)
        task.add_done_callback(self.connection_tasks.discard)
        self.writers.add(writer)
        try:
            connection = await accept_peer(
                reader,
                writer,
                member_id=self.member_id,
                shared_key=self.shared_key,
                settings=self.settings,
            )
            async with open_task_set() as tasks:
                await self._handle_calls(connection, tasks)
        except FrameError as error:
            _log_rejected(error)
        except (OSError, EOFError, TimeoutError):
            pass  # the peer closed the connection or is too slow
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle_calls(
        self, connection: PeerConnection, tasks: TaskSet
    ) -> None:
        """Handles received calls, at most ``max_calls`` concurrently."""
        call_slots = asyncio.Semaphore(self.settings.max_calls)
        while True:
            await call_slots.acquire()
            envelope = await connection.receive()
            call = self._handle_call(
                connection, envelope, unwrap_message(envelope), call_slots
            )
            tasks.start(call, "peer call")

    async def _handle_call(
        self,
        connection: PeerConnection,
        envelope: Envelope,
        body: Struct,
        call_slots: asyncio.Semaphore,
    ) -> None:
        try:
            await self._dispatch(connection, envelope, body)
        finally:
            call_slots.release()

    async def _dispatch(
        self, connection: PeerConnection, envelope: Envelope, body: Struct
    ) -> None:
        handler = self.handlers.get(type(body))
        if handler is None:
            return
        try:
            reply = await handler(body, connection.peer_id)
            if reply is not None and envelope.call_id:
                connection.reply(envelope, reply)
        except FrameError as error:
            _log_rejected(error)
            connection.close()
        except ConnectionError:
            return  # the calling peer closed the connection


def _log_rejected(error: FrameError) -> None:
    log_event(
        EventId.PEER_FRAME_REJECTED, code=int(error.code), reason=str(error)
    )


__all__ = ["PeerServer"]

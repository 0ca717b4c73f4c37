"""Manages one authenticated connection between two daemons."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.members.frames import (
    FrameError,
    FrameReader,
    FrameWriter,
    derive_session_key,
    unwrap_message,
    wrap_message,
)
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.peers import Hello
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from auburnswitch.schema.base import Struct
    from auburnswitch.schema.peers import Envelope
    from auburnswitch.schema.settings import PeersSettings

    Dialer = Callable[
        [str, int],
        Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
    ]

MAX_HELLO_BYTES: Final = 1024


class PeerConnection:
    """Sends and receives messages on an open connection.

    Attributes:
        peer_id: Member id of the peer.
        pending_calls: Calls that wait for a reply, by call id.
        max_unsent_bytes: Unsent bytes above which the connection is aborted.
    """

    __slots__ = (
        "frame_reader",
        "frame_writer",
        "max_unsent_bytes",
        "next_call_id",
        "peer_id",
        "pending_calls",
        "reader",
        "writer",
    )

    def __init__(
        self,
        *,
        peer_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        frame_reader: FrameReader,
        frame_writer: FrameWriter,
        max_unsent_bytes: int,
    ) -> None:
        self.peer_id = peer_id
        self.reader = reader
        self.writer = writer
        self.frame_reader = frame_reader
        self.frame_writer = frame_writer
        self.max_unsent_bytes = max_unsent_bytes
        self.pending_calls: dict[int, asyncio.Future[Struct]] = {}
        self.next_call_id = 1

    async def receive(self) -> Envelope:
        """Returns the next call or message; passes replies to their calls."""
        while True:
            envelope = await self.frame_reader.read(self.reader)
            if not envelope.is_reply:
                return envelope
            reply_future = self.pending_calls.pop(envelope.call_id, None)
            if reply_future is not None and not reply_future.done():
                reply_future.set_result(unwrap_message(envelope))

    def send(self, envelope: Envelope) -> None:
        """Sends a message without waiting for the peer.

        Raises:
            ConnectionError: The connection is closed, or is aborted now
                because the peer does not read.
        """
        transport = self.writer.transport
        if transport.is_closing():
            raise ConnectionResetError("connection is closed")
        if transport.get_write_buffer_size() > self.max_unsent_bytes:
            log_event(EventId.PEER_STALLED, peer=self.peer_id)
            self.abort()
            raise ConnectionResetError("peer does not read; connection aborted")
        self.writer.write(self.frame_writer.encode(envelope))

    async def call(self, body: Struct, timeout_s: float) -> Struct:
        """Sends a message and returns the reply.

        Raises:
            TimeoutError: No reply arrived within the timeout.
            ConnectionError: The connection was closed.
        """
        call_id = self.next_call_id
        self.next_call_id += 1
        reply_future: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_calls[call_id] = reply_future
        try:
            self.send(wrap_message(body, call_id=call_id))
            async with asyncio.timeout(timeout_s):
                return await reply_future
        finally:
            self.pending_calls.pop(call_id, None)

    def reply(self, envelope: Envelope, body: Struct) -> None:
        """Sends the reply to a received call."""
        self.send(wrap_message(body, call_id=envelope.call_id, is_reply=True))

    def close(self) -> None:
        """Closes the connection and fails the pending calls."""
        for reply_future in self.pending_calls.values():
            if not reply_future.done():
                reply_future.set_exception(
                    ConnectionResetError("connection is closed")
                )
        self.pending_calls.clear()
        self.writer.close()

    def abort(self) -> None:
        """Closes the connection and discards unsent bytes."""
        self.close()
        self.writer.transport.abort()


@contextlib.asynccontextmanager
async def connect_peer(
    host: str,
    port: int,
    *,
    member_id: str,
    shared_key: bytes,
    settings: PeersSettings,
    dial: Dialer = asyncio.open_connection,
) -> AsyncIterator[PeerConnection]:
    """Opens a connection to a peer and closes it when the context ends.

    Raises:
        OSError: The peer cannot be reached, or not within the timeout.
        FrameError: The peer's handshake is rejected, for instance because it
            has another shared key.
    """
    async with asyncio.timeout(settings.call_timeout_s):
        reader, writer = await dial(host, port)
    connection: PeerConnection | None = None
    try:
        async with asyncio.timeout(settings.call_timeout_s):
            connection = await _perform_handshake(
                reader,
                writer,
                member_id=member_id,
                shared_key=shared_key,
                settings=settings,
                is_client=True,
            )
        yield connection
    finally:
        writer.close()
        if connection is not None:
            connection.close()


async def accept_peer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    member_id: str,
    shared_key: bytes,
    settings: PeersSettings,
) -> PeerConnection:
    """Completes the handshake of an accepted connection.

    Raises:
        FrameError: The peer's handshake is rejected, for instance because it
            has another shared key.
        TimeoutError: The handshake took too long.
    """
    async with asyncio.timeout(settings.call_timeout_s):
        return await _perform_handshake(
            reader,
            writer,
            member_id=member_id,
            shared_key=shared_key,
            settings=settings,
            is_client=False,
        )


async def _perform_handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    member_id: str,
    shared_key: bytes,
    settings: PeersSettings,
    is_client: bool,
) -> PeerConnection:
    own_hello = Hello(member_id=member_id, nonce=secrets.token_hex(16))
    hello_writer = FrameWriter(key=derive_session_key(shared_key, "hello"))
    writer.write(hello_writer.encode(wrap_message(own_hello)))
    hello_reader = FrameReader(
        key=derive_session_key(shared_key, "hello"), max_bytes=MAX_HELLO_BYTES
    )
    peer_hello = unwrap_message(await hello_reader.read(reader))
    if not isinstance(peer_hello, Hello) or not peer_hello.member_id:
        raise FrameError(
            ResultCode.BAD_FRAME,
            "first message is not a hello with a member id",
        )
    if peer_hello.protocol_version != own_hello.protocol_version:
        raise FrameError(ResultCode.BAD_FRAME, "unsupported protocol version")
    client, server = (
        (own_hello, peer_hello) if is_client else (peer_hello, own_hello)
    )
    nonces = (client.nonce, server.nonce)
    to_server = derive_session_key(shared_key, "to server", *nonces)
    to_client = derive_session_key(shared_key, "to client", *nonces)
    send_key, receive_key = (
        (to_server, to_client) if is_client else (to_client, to_server)
    )
    return PeerConnection(
        peer_id=peer_hello.member_id,
        reader=reader,
        writer=writer,
        frame_reader=FrameReader(
            key=receive_key, max_bytes=settings.max_frame_bytes
        ),
        frame_writer=FrameWriter(key=send_key),
        max_unsent_bytes=settings.max_unsent_bytes,
    )


__all__ = ["PeerConnection", "accept_peer", "connect_peer"]

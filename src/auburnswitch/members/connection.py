"""One authenticated connection between two daemons."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from typing import TYPE_CHECKING, Any

from auburnswitch.members.frames import (
    FrameError,
    FrameReader,
    FrameWriter,
    body_of,
    envelope_of,
    session_key,
)
from auburnswitch.schema.peers import Hello
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.schema.base import Struct
    from auburnswitch.schema.peers import Envelope


class PeerConnection:
    """Sends and receives messages on an open connection.

    Attributes:
        peer_id: Member at the other end.
        pending: Calls that wait for a reply, by call id.
    """

    __slots__ = (
        "frame_reader",
        "frame_writer",
        "next_call_id",
        "peer_id",
        "pending",
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
    ) -> None:
        self.peer_id = peer_id
        self.reader = reader
        self.writer = writer
        self.frame_reader = frame_reader
        self.frame_writer = frame_writer
        self.pending: dict[int, asyncio.Future[Struct]] = {}
        self.next_call_id = 1

    async def receive(self) -> Envelope:
        """Returns the next message that is not a reply to a pending call."""
        while True:
            envelope = await self.frame_reader.read(self.reader)
            if not envelope.is_reply:
                return envelope
            waiter = self.pending.pop(envelope.call_id, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(body_of(envelope))

    def send(self, envelope: Envelope) -> None:
        """Sends a message without waiting for the peer."""
        self.writer.write(self.frame_writer.encode(envelope))

    async def call(self, body: Struct, timeout_s: float) -> Struct:
        """Sends a message and returns the reply.

        Raises:
            TimeoutError: No reply came in time.
            ConnectionError: The connection ended.
        """
        call_id = self.next_call_id
        self.next_call_id += 1
        waiter: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.pending[call_id] = waiter
        try:
            self.send(envelope_of(body, call_id=call_id))
            async with asyncio.timeout(timeout_s):
                return await waiter
        finally:
            self.pending.pop(call_id, None)

    def reply(self, envelope: Envelope, body: Struct) -> None:
        """Sends the reply to a received call."""
        self.send(envelope_of(body, call_id=envelope.call_id, is_reply=True))

    def close(self) -> None:
        """Ends the connection and fails the pending calls."""
        for waiter in self.pending.values():
            if not waiter.done():
                waiter.set_exception(ConnectionResetError("connection ended"))
        self.pending.clear()
        self.writer.close()


@contextlib.asynccontextmanager
async def connect_peer(
    host: str,
    port: int,
    *,
    member_id: str,
    shared_key: bytes,
    max_frame_bytes: int,
    timeout_s: float,
) -> AsyncIterator[PeerConnection]:
    """Opens a connection to a peer and closes it at the end.

    Raises:
        OSError: The peer cannot be reached.
        FrameError: The peer does not know the shared key.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
    connection: PeerConnection | None = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await _shake_hands(
                reader,
                writer,
                member_id=member_id,
                shared_key=shared_key,
                max_frame_bytes=max_frame_bytes,
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
    max_frame_bytes: int,
    timeout_s: float,
) -> PeerConnection:
    """Completes the handshake of an accepted connection.

    Raises:
        FrameError: The peer does not know the shared key.
        TimeoutError: The peer did not finish in time.
    """
    async with asyncio.timeout(timeout_s):
        return await _shake_hands(
            reader,
            writer,
            member_id=member_id,
            shared_key=shared_key,
            max_frame_bytes=max_frame_bytes,
            is_client=False,
        )


async def _shake_hands(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    member_id: str,
    shared_key: bytes,
    max_frame_bytes: int,
    is_client: bool,
) -> PeerConnection:
    hello = Hello(member_id=member_id, nonce=secrets.token_hex(16))
    first = FrameWriter(key=session_key(shared_key, "hello"))
    writer.write(first.encode(envelope_of(hello)))
    hello_reader = FrameReader(
        key=session_key(shared_key, "hello"), max_bytes=max_frame_bytes
    )
    other = body_of(await hello_reader.read(reader))
    if not isinstance(other, Hello):
        raise FrameError(ResultCode.BAD_FRAME, "a hello was expected")
    client, server = (hello, other) if is_client else (other, hello)
    nonces = (client.nonce, server.nonce)
    to_server = session_key(shared_key, "to server", *nonces)
    to_client = session_key(shared_key, "to client", *nonces)
    send_key, receive_key = (
        (to_server, to_client) if is_client else (to_client, to_server)
    )
    return PeerConnection(
        peer_id=other.member_id,
        reader=reader,
        writer=writer,
        frame_reader=FrameReader(key=receive_key, max_bytes=max_frame_bytes),
        frame_writer=FrameWriter(key=send_key),
    )


__all__ = ["PeerConnection", "accept_peer", "connect_peer"]

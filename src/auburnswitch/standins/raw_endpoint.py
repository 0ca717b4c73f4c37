"""Simulates an endpoint that breaks off its answers at a chosen byte."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.standins.received_request import (
    FIRST_BOOT_MS,
    ReceivedRequest,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

EVENT_COUNT: Final = 5
ARRIVAL_DELAY_S: Final = 0.05  # lets written bytes arrive before a reset
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
_HEAD_END: Final = b"\r\n\r\n"


class Framing(enum.Enum):
    """How the answer's end is marked."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Cut(enum.Enum):
    """Where an answer is broken off."""

    NOWHERE = "nowhere"
    BEFORE_BODY = "before the body"
    AFTER_FOUR_BYTES = "after four bytes"
    INSIDE_EVENT = "inside an event"
    BETWEEN_EVENTS = "between two events"
    BEFORE_LAST_NEWLINE = "before the last newline"


@dataclass(slots=True, kw_only=True)
class RawAnswer:
    """How an endpoint answers.

    Attributes:
        framing: How the answer's end is marked.
        cut: Where the answer is broken off.
        resets: Whether the connection is reset instead of closed.
        repeated_bytes: Sent without end after what is left of the body.
        repeat_interval_s: Time between two repetitions, in seconds.
        interim_bytes: Sent without end before the head.
        endless_head: Whether the head never ends.
        ends_cut: Whether the last chunk follows although the answer is cut.
        padding: Added to the data of each event.
        trailer: Sent after what is left of the body, in one piece with it.
        content_type: Type that a stream states.
    """

    framing: Framing = Framing.CHUNKS
    cut: Cut = Cut.NOWHERE
    resets: bool = False
    repeated_bytes: bytes = b""
    repeat_interval_s: float = 0.0
    interim_bytes: bytes = b""
    endless_head: bool = False
    ends_cut: bool = False
    padding: str = ""
    trailer: bytes = b""
    content_type: str = "text/event-stream"


class RawEndpoint:
    """Serves requests on one connection each, as its answer says.

    Attributes:
        id: The endpoint's id.
        boot_ms: Start of the endpoint's process, in milliseconds since the
            epoch.
        answer: How requests are answered.
        port: TCP port on loopback, 0 until it listens.
        received_requests: All callers' requests received.
        on_request: Called when a caller's request has been received.
    """

    def __init__(self, *, endpoint_id: str, answer: RawAnswer) -> None:
        self.id = endpoint_id
        self.boot_ms = FIRST_BOOT_MS
        self.answer = answer
        self.port = 0
        self.received_requests: list[ReceivedRequest] = []
        self.on_request: Callable[[], None] = lambda: None

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[RawEndpoint]:
        """Listens until the context ends."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        async with server:
            yield self

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await read_request(reader)
            if request.target.startswith("/v1/"):
                writer.write(own_answer(self.boot_ms))
                await writer.drain()
            else:
                self.received_requests.append(request)
                await self._answer(request, writer)
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        answer = self.answer
        self.on_request()
        body = self._body(request.headers)
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.request_id}\r\n"
            "X-Response-Seal: raw\r\n"
        ).encode()
        if answer.interim_bytes:
            await _repeat(writer, answer.interim_bytes)
        if answer.endless_head:
            writer.write(head)
            await _repeat(writer, b"X-Filler: " + b"x" * 1000 + b"\r\n")
        if "x-token-counts" in request.headers:
            head += f"Content-Type: {answer.content_type}\r\n".encode()
        writer.write(head + _encode(body, answer))
        if answer.repeated_bytes:
            await _repeat(
                writer, answer.repeated_bytes, answer.repeat_interval_s
            )
        await writer.drain()
        if answer.resets:
            await asyncio.sleep(ARRIVAL_DELAY_S)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )

    def _body(self, headers: dict[str, str]) -> bytes:
        if "x-token-counts" not in headers:
            return f"answer of {self.id}".encode()
        first = int(headers.get("last-event-id", "0")) + 1
        numbers = range(first, EVENT_COUNT + 1)
        return b"".join(make_event(n, self.answer.padding) for n in numbers)


def make_event(number: int, padding: str = "") -> bytes:
    """Returns an event; its data is the same at all endpoints."""
    return f"id: {number}\ndata: part {number}{padding}\n\n".encode()


def _cut_body(body: bytes, cut: Cut) -> bytes:
    match cut:
        case Cut.NOWHERE:
            return body
        case Cut.BEFORE_BODY:
            return b""
        case Cut.AFTER_FOUR_BYTES:
            return body[:4]
        case Cut.INSIDE_EVENT:
            return body[: 2 * len(make_event(1)) + 7]
        case Cut.BETWEEN_EVENTS:
            return body[: 2 * len(make_event(1))]
        case Cut.BEFORE_LAST_NEWLINE:
            return body[:-1]


def _encode(body: bytes, answer: RawAnswer) -> bytes:
    """Returns the rest of the head and the bytes of the body that are sent."""
    part = _cut_body(body, answer.cut) + answer.trailer
    match answer.framing:
        case Framing.LENGTH:
            return f"Content-Length: {len(body)}\r\n\r\n".encode() + part
        case Framing.CONNECTION:
            return b"\r\n" + part
    chunk = f"{len(part):x}\r\n".encode() + part + b"\r\n" if part else b""
    is_ended = answer.ends_cut or answer.cut is Cut.NOWHERE
    end = b"0\r\n\r\n" if is_ended else b""
    return b"Transfer-Encoding: chunked\r\n\r\n" + chunk + end


async def _repeat(
    writer: asyncio.StreamWriter, data: bytes, interval_s: float = 0.0
) -> None:
    """Writes the same bytes until the peer closes the connection."""
    while True:
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(interval_s)  # drain() alone may never yield


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Reads one request with a body of stated length."""
    head = await reader.readuntil(_HEAD_END)
    first_line, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(
        headers=headers,
        target=first_line.split(" ")[1],
        body=body,
        ran=True,
        received_at=asyncio.get_running_loop().time(),
    )


def own_answer(boot_ms: int) -> bytes:
    """Returns the answer to a load report or an order."""
    body = json.dumps({"Running": 0, "Waiting": 0, "born": boot_ms}).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


__all__ = [
    "EVENT_COUNT",
    "Cut",
    "Framing",
    "RawAnswer",
    "RawEndpoint",
    "make_event",
    "own_answer",
    "read_request",
]

"""Minimal HTTP/1.1 for the stand-ins: one request or response at a time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ", 2)[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ", 2)[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ", 2)[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message whose body has a length, chunks, or is missing."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    message = Message(start=lines[0])
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            message.headers[name.strip().lower()] = value.strip()
    if "chunked" in message.headers.get("transfer-encoding", ""):
        message.body = await _read_chunks(reader)
    elif "content-length" in message.headers:
        length = int(message.headers["content-length"])
        message.body = await reader.readexactly(length)
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    address: tuple[str, int],
    start: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Message:
    """Sends a request on a new connection and returns the response."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(encode(start + " HTTP/1.1", headers, body))
        return await read_message(reader)
    finally:
        writer.close()


__all__ = ["Message", "call", "encode", "read_message"]

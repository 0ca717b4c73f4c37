"""Reads requests and sends responses by ASGI messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette.types import Receive, Send


async def read_body(receive: Receive) -> bytes:
    """Returns the whole body of a request."""
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body


async def wait_for_disconnect(receive: Receive, timeout_s: float) -> bool:
    """Returns whether the client has disconnected before the timeout."""
    if timeout_s <= 0:
        return False
    try:
        async with asyncio.timeout(timeout_s):
            while (await receive())["type"] != "http.disconnect":
                pass
    except TimeoutError:
        return False
    return True


async def send_chunk(send: Send, data: bytes) -> None:
    """Sends a part of a body."""
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def send_response(
    send: Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes = b"",
) -> None:
    """Sends a whole response."""
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": [*headers, length]})
    await send({"type": "http.response.body", "body": body})


__all__ = [
    "read_body",
    "send_chunk",
    "send_response",
    "wait_for_disconnect",
]

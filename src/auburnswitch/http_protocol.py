"""Serves HTTP so that no response that is broken off looks complete.

If neither a length nor chunks delimit a response, only the end of its
connection does, and it looks whole however that end comes about, also by the
exit of this process. The socket of such a response is therefore set to reset
its connection when it is closed, until all of the response has been written.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Any, Final

from uvicorn.protocols.http.h11_impl import H11Protocol

if TYPE_CHECKING:
    from starlette.types import ASGIApp, Message, Receive, Scope, Send

CONNECTION_DELIMITED: Final = "auburnswitch.connection_delimited"
"""Key of a response's start message: whether its connection delimits it."""

_CONTENT_LENGTH_HEADER: Final = b"content-length"
_FIRST_VERSION_WITH_CHUNKS: Final = "1.1"
_VERSION_WITHOUT_CHUNKS: Final = b"1.0"
_HEAD_METHOD: Final = "HEAD"
_STATUSES_WITHOUT_BODY: Final = (204, 304)
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
_NORMAL_CLOSE: Final = struct.pack("ii", 0, 0)


class HttpProtocol(H11Protocol):
    """One connection of a client.

    Attributes:
        resets_on_close: Whether closing the connection resets it now.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.resets_on_close = False
        self._served_app: ASGIApp = self.app
        self.app = self._serve

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_delimited(message: Message) -> None:
            if message["type"] == "http.response.start":
                self._begin(scope, message)
            elif self.resets_on_close and not message.get("more_body", False):
                await send({**message, "more_body": True})
                await self._end()
                message = {**message, "body": b""}
            await send(message)

        await self._served_app(scope, receive, send_delimited)

    def _begin(self, scope: Scope, start: Message) -> None:
        if start.get(CONNECTION_DELIMITED, False):
            self.conn.their_http_version = _VERSION_WITHOUT_CHUNKS
        elif scope["http_version"] >= _FIRST_VERSION_WITH_CHUNKS:
            return
        if _has_known_length(scope, start):
            return
        self.resets_on_close = True
        self.transport.set_write_buffer_limits(high=0)  # see _end
        self._set_linger(_RESET_ON_CLOSE)

    async def _end(self) -> None:
        """Lets the connection end normally once all bytes are in the kernel."""
        if self.flow.write_paused:
            await self.flow.drain()
        self._set_linger(_NORMAL_CLOSE)
        self.resets_on_close = False

    def _set_linger(self, value: bytes) -> None:
        if self.transport.is_closing():
            return  # the client has left
        client_socket = self.transport.get_extra_info("socket")
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


def _has_known_length(scope: Scope, start: Message) -> bool:
    return (
        scope["method"] == _HEAD_METHOD
        or start["status"] in _STATUSES_WITHOUT_BODY
        or any(
            name.lower() == _CONTENT_LENGTH_HEADER
            for name, _ in start["headers"]
        )
    )


__all__ = ["CONNECTION_DELIMITED", "HttpProtocol"]

"""Writes responses to callers of the entry daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.http_protocol import CONNECTION_DELIMITED
from auburnswitch.platform.protocol import RETRY_AFTER_HEADER

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.types import Send

    from auburnswitch.platform.requests import Headers


class EntryRefusalError(Exception):
    """The daemon refuses a request or reports its failure to the caller.

    Attributes:
        status: HTTP status of the response.
        retry_after_s: Delay before the caller may retry, in seconds; None if
            it should not retry.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_s = retry_after_s


class CallerWriter:
    """Writes one response to a caller.

    Attributes:
        send: The ASGI send function.
        should_close: Returns whether to request that the caller closes its
            connection.
        started: Whether the status and headers have been written.
        connection_delimited: Whether only the end of the connection marks the
            end of the response.
    """

    __slots__ = ("connection_delimited", "send", "should_close", "started")

    def __init__(self, *, send: Send, should_close: Callable[[], bool]) -> None:
        self.should_close = should_close
        self.send = send
        self.started = False
        self.connection_delimited = False

    async def start(
        self,
        status: int,
        headers: Headers,
        *,
        connection_delimited: bool = False,
    ) -> None:
        """Writes the status and the headers.

        Args:
            status: HTTP status.
            headers: HTTP headers.
            connection_delimited: Whether only the end of the connection marks
                the end of the response, so that the caller knows no more about
                it than this daemon.
        """
        self.started = True
        self.connection_delimited = connection_delimited
        encoded = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]
        if self.should_close():
            encoded.append((b"connection", b"close"))
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": encoded,
                CONNECTION_DELIMITED: connection_delimited,
            }
        )

    async def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """Ends the body."""
        await self.send({"type": "http.response.body", "body": b""})

    async def refuse(self, refused: EntryRefusalError) -> None:
        """Writes a complete error response."""
        body = f"{refused}\n".encode()
        headers = [
            ("content-type", "text/plain; charset=utf-8"),
            ("content-length", str(len(body))),
        ]
        if refused.retry_after_s is not None:
            headers.append((RETRY_AFTER_HEADER, f"{refused.retry_after_s:.2f}"))
        await self.start(refused.status, headers)
        await self.write(body)
        await self.finish()


__all__ = ["CallerWriter", "EntryRefusalError"]

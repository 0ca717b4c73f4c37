"""Streams an answer as server-sent events, with a write timeout."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from starlette.responses import Response

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable, Mapping

    from starlette.types import Receive, Scope, Send


class EventStreamResponse(Response):
    """Streams chunks until they end, or the caller disconnects or is too slow.

    The server's write buffer is bounded. While the caller does not read,
    sending waits, which also stops reading from the endpoint (backpressure).

    Attributes:
        chunks: The chunks of the answer; the generator is always closed.
        write_timeout_s: Maximum time to write a chunk, in seconds.
        on_disconnect: Called when the caller has closed the connection.
        on_write_timeout: Called when writing a chunk has timed out.
    """

    def __init__(
        self,
        *,
        chunks: AsyncGenerator[bytes, None],
        headers: Mapping[str, str],
        write_timeout_s: float,
        on_disconnect: Callable[[], None],
        on_write_timeout: Callable[[], None],
    ) -> None:
        super().__init__(media_type="text/event-stream", headers=headers)
        del self.headers["content-length"]
        self.headers["cache-control"] = "no-cache"
        self.chunks = chunks
        self.write_timeout_s = write_timeout_s
        self.on_disconnect = on_disconnect
        self.on_write_timeout = on_write_timeout

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Sends the response as an ASGI application."""
        send_task = asyncio.create_task(self._send_all(send))
        disconnect_task = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                {send_task, disconnect_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not send_task.done():
                self.on_disconnect()
        finally:
            disconnect_task.cancel()
            send_task.cancel()
            await asyncio.gather(
                send_task, disconnect_task, return_exceptions=True
            )
        if not send_task.cancelled():
            send_task.result()

    async def _send_all(self, send: Send) -> None:
        async with contextlib.aclosing(self.chunks) as chunks:
            await send(
                {
                    "type": "http.response.start",
                    "status": self.status_code,
                    "headers": self.raw_headers,
                }
            )
            async for chunk in chunks:
                if not await self._send_chunk(send, chunk):
                    return  # the server aborts the incomplete response
        await self._send_chunk(send, b"", more_body=False)

    async def _send_chunk(
        self, send: Send, chunk: bytes, *, more_body: bool = True
    ) -> bool:
        message = {
            "type": "http.response.body",
            "body": chunk,
            "more_body": more_body,
        }
        try:
            async with asyncio.timeout(self.write_timeout_s):
                await send(message)
        except TimeoutError:
            self.on_write_timeout()
            return False
        except OSError:
            self.on_disconnect()
            return False
        return True


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


__all__ = ["EventStreamResponse"]

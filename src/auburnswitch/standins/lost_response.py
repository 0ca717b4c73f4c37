"""Simulates a response that never reaches the client."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import Response

from auburnswitch.standins.listener import Listener, wait_for_disconnect

if TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send


class LostResponse(Response):
    """Aborts the connection or hangs instead of sending a response."""

    def __init__(self, *, listener: Listener, hang: bool) -> None:
        super().__init__()
        self.listener = listener
        self.hang = hang

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Ends the request without sending a response."""
        if self.hang:
            await wait_for_disconnect(receive)
        else:
            await self.listener.abort_request(scope, receive)


__all__ = ["LostResponse"]

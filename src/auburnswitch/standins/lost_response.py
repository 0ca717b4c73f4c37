"""A response that never reaches its caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import Response

from auburnswitch.standins.listener import Listener, wait_for_disconnect

if TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send


class LostResponse(Response):
    """Gives no answer: breaks the connection or leaves the caller waiting."""

    def __init__(self, *, listener: Listener, hang: bool) -> None:
        super().__init__()
        self.listener = listener
        self.hang = hang

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Ends the request without an answer."""
        if self.hang:
            await wait_for_disconnect(receive)
        else:
            await self.listener.abort_request(scope, receive)


__all__ = ["LostResponse"]

"""Counts the requests whose response is not complete."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette.types import ASGIApp, Receive, Scope, Send


class InFlightCounter:
    """Wraps an application and counts its requests from start to end.

    Attributes:
        app: The wrapped application.
        count: Number of requests in flight.
        idle: Set while no request is in flight.
    """

    __slots__ = ("app", "count", "idle")

    def __init__(self, *, app: ASGIApp) -> None:
        self.app = app
        self.count = 0
        self.idle = asyncio.Event()
        self.idle.set()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Runs one request as an ASGI application."""
        self.count += 1
        self.idle.clear()
        try:
            await self.app(scope, receive, send)
        finally:
            self.count -= 1
            if not self.count:
                self.idle.set()


__all__ = ["InFlightCounter"]

"""Limits the time of requests, and can end all of them early."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class RequestTimers:
    """Timers of the deadlines of the requests in progress.

    Attributes:
        timers: The running timers.
    """

    __slots__ = ("timers",)

    def __init__(self) -> None:
        self.timers: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def limit(self, deadline_at: float) -> AsyncIterator[None]:
        """Limits the time of the code in the context.

        Args:
            deadline_at: Loop time of the deadline, in seconds.

        Raises:
            TimeoutError: The deadline has passed, or ``expire_all`` was called.
        """
        async with asyncio.timeout_at(deadline_at) as timer:
            self.timers.add(timer)
            try:
                yield
            finally:
                self.timers.discard(timer)

    def expire_all(self) -> None:
        """Ends all requests in progress as at their deadlines."""
        now = monotonic_s()
        for timer in self.timers:
            if not timer.expired():
                timer.reschedule(now)


__all__ = ["RequestTimers"]

"""Describes an attempt that may replace one at a silent endpoint."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.platform.endpoint_responses import ResponseHead
    from auburnswitch.routing.selection.placement import Placement


class Successor:
    """An attempt whose answer has begun while another one is still open.

    Attributes:
        placement: The endpoints chosen for it.
        answer: Head of its answer.
        started_at: Loop time at which it was opened, in seconds.
    """

    __slots__ = ("_resources", "answer", "placement", "started_at")

    def __init__(
        self,
        *,
        placement: Placement,
        answer: ResponseHead,
        started_at: float,
        resources: contextlib.AsyncExitStack,
    ) -> None:
        self.placement = placement
        self.answer = answer
        self.started_at = started_at
        self._resources = resources

    @contextlib.asynccontextmanager
    async def resume(self) -> AsyncIterator[ResponseHead]:
        """Yields the head of the answer and closes the attempt on exit."""
        try:
            yield self.answer
        finally:
            await self.close()

    async def close(self) -> None:
        """Ends the attempt; may be called more than once."""
        await self._resources.aclose()


__all__ = ["Successor"]

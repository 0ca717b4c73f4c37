"""Requests that wait for room on one endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.peers import ReserveReply
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.peers import ReserveRequest

    TryReserve = Callable[[ReserveRequest, str], ReserveReply | None]


class Waiter:
    """One waiting request.

    Attributes:
        request: The request.
        member_id: Daemon that asked.
        queued_at: Loop time at which it came, in seconds.
        reply: Set once the request is granted or refused.
    """

    __slots__ = ("member_id", "queued_at", "reply", "request")

    def __init__(self, *, request: ReserveRequest, member_id: str) -> None:
        self.request = request
        self.member_id = member_id
        self.queued_at = monotonic_s()
        self.reply: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )


class ReservationQueue:
    """Grants room in order: short before long, then by arrival.

    Attributes:
        waiters: Waiting requests.
        try_reserve: Returns a final reply, or None while there is no room.
    """

    __slots__ = ("try_reserve", "waiters")

    def __init__(self, *, try_reserve: TryReserve) -> None:
        self.waiters: list[Waiter] = []
        self.try_reserve = try_reserve

    async def reserve(
        self, request: ReserveRequest, member_id: str, retry_after_s: float
    ) -> ReserveReply:
        """Grants a request, waiting for room as long as it asked.

        Args:
            request: The request.
            member_id: Daemon that asks.
            retry_after_s: When to come back if there is no room.
        """
        waiter = Waiter(request=request, member_id=member_id)
        self.waiters.append(waiter)
        self.pump()
        try:
            async with asyncio.timeout(max(0.0, request.max_wait_s)):
                return await waiter.reply
        except TimeoutError:
            return ReserveReply(
                code=ResultCode.QUEUE_FULL, retry_after_s=retry_after_s
            )
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def pump(self) -> None:
        """Grants what fits, in order."""
        for waiter in sorted(self.waiters, key=_order):
            reply = self.try_reserve(waiter.request, waiter.member_id)
            if reply is None:
                continue
            self.waiters.remove(waiter)
            if not waiter.reply.done():
                waiter.reply.set_result(reply)


def _order(waiter: Waiter) -> tuple[int, float]:
    return (waiter.request.length_class, waiter.queued_at)


__all__ = ["ReservationQueue", "Waiter"]

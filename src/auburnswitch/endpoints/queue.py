"""Queues the requests that wait for capacity on one endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.peers import LengthClass, ReserveReply
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.peers import ReserveRequest

    TryReserve = Callable[[ReserveRequest, str], ReserveReply | None]


class Waiter:
    """One waiting request.

    Attributes:
        request: The request.
        member_id: Daemon that sent the request.
        queued_at: Loop time at which its wait began, here or at another
            owner, in seconds.
        reply: Set once the request is granted or refused.
    """

    __slots__ = ("member_id", "queued_at", "reply", "request")

    def __init__(self, *, request: ReserveRequest, member_id: str) -> None:
        self.request = request
        self.member_id = member_id
        self.queued_at = monotonic_s() - request.waited_s
        self.reply: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )


class ReservationQueue:
    """Queues requests by length class, with aging and fair queueing by team.

    Each team has a virtual time, which a grant advances by its tokens divided
    by the team's weight. Among requests of equal urgency the team with the
    lowest virtual time takes precedence.

    Attributes:
        waiters: Waiting requests.
        try_reserve: Returns a final reply, or None while the request has to
            wait.
        aging_s: Wait after which a request is as urgent as a short one.
        virtual_times: Virtual time of each team that has received a grant.
        virtual_now: Virtual time of the last grant.
    """

    __slots__ = (
        "aging_s",
        "try_reserve",
        "virtual_now",
        "virtual_times",
        "waiters",
    )

    def __init__(self, *, try_reserve: TryReserve, aging_s: float) -> None:
        self.waiters: list[Waiter] = []
        self.try_reserve = try_reserve
        self.aging_s = aging_s
        self.virtual_times: dict[str, float] = {}
        self.virtual_now = 0.0

    async def reserve(
        self, request: ReserveRequest, member_id: str, retry_after_s: float
    ) -> ReserveReply:
        """Grants a request, waiting for capacity up to its maximum wait.

        Args:
            request: The request.
            member_id: Daemon that sent the request.
            retry_after_s: Delay to suggest for a retry if the wait times out.
        """
        waiter = Waiter(request=request, member_id=member_id)
        self.waiters.append(waiter)
        self.grant_waiting()
        try:
            async with asyncio.timeout(max(0.0, request.max_wait_s)):
                return await waiter.reply
        except TimeoutError:
            if waiter.reply.done() and not waiter.reply.cancelled():
                return waiter.reply.result()  # granted as the timeout expired
            return ReserveReply(
                code=ResultCode.QUEUE_FULL, retry_after_s=retry_after_s
            )
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def grant_waiting(self) -> None:
        """Grants the requests that fit, in order.

        A request that doesn't fit blocks all later ones except short ones,
        since they would otherwise take the capacity that it waits for. A
        request with crash strikes blocks none, since it may wait for another
        such request to end rather than for capacity.
        """
        blocked = False
        for waiter in self._ordered():
            is_short = waiter.request.length_class == LengthClass.SHORT
            if blocked and not is_short:
                continue
            reply = self.try_reserve(waiter.request, waiter.member_id)
            if reply is None:
                blocked |= not waiter.request.struck
                continue
            self.waiters.remove(waiter)
            if reply.code == ResultCode.OK:
                self._charge(waiter.request)
            if not waiter.reply.done():
                waiter.reply.set_result(reply)

    def waiting_tokens(self, length: LengthClass) -> int:
        """Returns the queued prompt tokens that precede a new prompt."""
        return sum(
            waiter.request.prompt_tokens
            for waiter in self.waiters
            if self._urgency(waiter) <= length
        )

    def _ordered(self) -> list[Waiter]:
        """Returns the waiters in grant order."""
        times = dict(self.virtual_times)
        waiting: dict[tuple[int, str], list[Waiter]] = {}
        for waiter in sorted(self.waiters, key=lambda w: w.queued_at):
            key = (self._urgency(waiter), waiter.request.team)
            waiting.setdefault(key, []).append(waiter)
        ordered = []
        while waiting:
            key = min(
                waiting, key=lambda k: (k[0], self._virtual_start(times, k[1]))
            )
            waiter = waiting[key].pop(0)
            ordered.append(waiter)
            start = self._virtual_start(times, key[1])
            times[key[1]] = start + _virtual_cost(waiter.request)
            if not waiting[key]:
                del waiting[key]
        return ordered

    def _virtual_start(self, times: dict[str, float], team: str) -> float:
        return max(times.get(team, 0.0), self.virtual_now)

    def _charge(self, request: ReserveRequest) -> None:
        if not self.waiters:
            self.virtual_times.clear()  # no other request competes
            self.virtual_now = 0.0
            return
        start = self._virtual_start(self.virtual_times, request.team)
        self.virtual_now = start
        self.virtual_times[request.team] = start + _virtual_cost(request)

    def _urgency(self, waiter: Waiter) -> int:
        if monotonic_s() - waiter.queued_at >= self.aging_s:
            return LengthClass.SHORT
        return waiter.request.length_class


def _virtual_cost(request: ReserveRequest) -> float:
    tokens = request.prompt_tokens + request.answer_tokens
    return tokens / max(1e-6, request.team_weight)


__all__ = ["ReservationQueue", "Waiter"]

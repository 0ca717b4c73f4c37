"""Limits the rate and the concurrency of calls to the platform's store."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import heapq
import itertools
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

RESERVED_SLOTS: Final = 2
_MIN_WAIT_S: Final = 0.001


class CallPriority(enum.IntEnum):
    """Order in which waiting calls are admitted, lowest value first."""

    CLAIM = 0
    TICKET = 1
    NORMAL = 2
    BACKGROUND = 3


class TokenBucket:
    """Allows calls at a sustained rate, with bursts of one second's worth.

    Attributes:
        rate: Returns the number of calls allowed per second.
        min_burst: Smallest burst size in calls, however low the rate is.
        tokens: Number of calls allowed as of the last refill.
        paused_until: Loop time before which no call is allowed, in seconds.
    """

    __slots__ = ("min_burst", "paused_until", "rate", "tokens", "updated_at")

    def __init__(
        self, *, rate: Callable[[], float], min_burst: float = 1.0
    ) -> None:
        self.rate = rate
        self.min_burst = min_burst
        self.tokens = self._burst()
        self.updated_at = monotonic_s()
        self.paused_until = self.updated_at

    def _burst(self) -> float:
        return max(self.min_burst, self.rate())

    def wait_s(self) -> float:
        """Returns the seconds until a call is allowed, 0 if it is now."""
        now = monotonic_s()
        refill = (now - self.updated_at) * self.rate()
        self.tokens = min(self._burst(), self.tokens + refill)
        self.updated_at = now
        token_wait_s = (1.0 - self.tokens) / self.rate()
        wait_s = max(token_wait_s, self.paused_until - now)
        return 0.0 if wait_s <= 0 else max(wait_s, _MIN_WAIT_S)

    def consume(self) -> None:
        """Consumes the token of one call."""
        self.tokens -= 1.0

    def pause(self, seconds: float) -> None:
        """Allows no call for a time in seconds."""
        self.paused_until = max(self.paused_until, monotonic_s() + seconds)


class CallLimiter:
    """Admits calls by priority, within a rate and a number of slots.

    Some slots are reserved for claims, so that other calls to a slow store do
    not delay them.

    Attributes:
        bucket: Limits the rate of the calls.
        slots: Limits the calls in flight, shared with other limiters.
    """

    __slots__ = ("_sequence", "_timer", "_waiting", "bucket", "slots")

    def __init__(self, *, bucket: TokenBucket, slots: ConcurrencySlots) -> None:
        self.bucket = bucket
        self.slots = slots
        slots.listeners.append(self._admit)
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    @contextlib.asynccontextmanager
    async def admit(
        self, priority: CallPriority, *, timeout_s: float
    ) -> AsyncIterator[None]:
        """Waits for a token and a slot, and frees the slot on exit.

        Raises:
            TimeoutError: The call was not admitted in time.
        """
        admitted = asyncio.get_running_loop().create_future()
        entry = (priority, next(self._sequence), admitted)
        heapq.heappush(self._waiting, entry)
        self._admit()
        try:
            async with asyncio.timeout(timeout_s):
                await admitted
        except BaseException:
            if admitted.done() and not admitted.cancelled():
                self.slots.release()
            raise
        try:
            yield
        finally:
            self.slots.release()

    async def take_token(self, *, timeout_s: float) -> None:
        """Waits for a token without keeping a slot, for a long poll.

        Raises:
            TimeoutError: The call was not admitted in time.
        """
        async with self.admit(CallPriority.NORMAL, timeout_s=timeout_s):
            pass

    def _admit(self) -> None:
        while self._waiting:
            priority, _, admitted = self._waiting[0]
            if admitted.done():
                heapq.heappop(self._waiting)
                continue
            if not self.slots.is_available(priority):
                return  # called again when a slot is freed
            wait_s = self.bucket.wait_s()
            if wait_s > 0:
                self._call_later(wait_s)
                return
            heapq.heappop(self._waiting)
            self.bucket.consume()
            self.slots.acquire()
            admitted.set_result(None)

    def _call_later(self, wait_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_s, self._admit)


class ConcurrencySlots:
    """Limit of the number of calls in flight.

    Attributes:
        count: Number of slots.
        used: Slots in use.
        listeners: Callbacks that run when a slot is freed.
    """

    __slots__ = ("count", "listeners", "used")

    def __init__(self, *, count: int) -> None:
        self.count = count
        self.used = 0
        self.listeners: list[Callable[[], None]] = []

    def is_available(self, priority: int) -> bool:
        """Returns whether a call of a priority may take a slot."""
        reserved = 0 if priority == CallPriority.CLAIM else RESERVED_SLOTS
        return self.used < max(1, self.count - reserved)

    def acquire(self) -> None:
        """Takes a slot."""
        self.used += 1

    def release(self) -> None:
        """Frees a slot."""
        self.used -= 1
        for listener in self.listeners:
            listener()


__all__ = ["CallLimiter", "CallPriority", "ConcurrencySlots", "TokenBucket"]

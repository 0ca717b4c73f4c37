"""A value that is read as it was a fixed time ago."""

from __future__ import annotations

import asyncio
import collections
import math
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")


class LaggedValue(Generic[ValueT]):
    """Remembers a value's past for as long as its lag.

    Attributes:
        lag_s: Age of the value that readers get.
    """

    __slots__ = ("_past", "lag_s")

    def __init__(self, *, lag_s: float) -> None:
        self.lag_s = lag_s
        self._past: collections.deque[tuple[float, ValueT]] = (
            collections.deque()
        )

    def record(self, value: ValueT) -> None:
        """Sets the present value."""
        now_s = asyncio.get_running_loop().time()
        if not self._past:
            self._past.append((-math.inf, value))  # there is nothing older
            return
        if self._past[-1][0] == now_s:
            self._past.pop()
        self._past.append((now_s, value))
        self._prune(now_s)

    def read(self) -> ValueT:
        """Returns the value of a lag ago, or the first one ever recorded."""
        self._prune(asyncio.get_running_loop().time())
        return self._past[0][1]

    def clear(self) -> None:
        """Forgets the past, as a restart does."""
        self._past.clear()

    def _prune(self, now_s: float) -> None:
        while len(self._past) > 1 and self._past[1][0] <= now_s - self.lag_s:
            self._past.popleft()


__all__ = ["LaggedValue"]

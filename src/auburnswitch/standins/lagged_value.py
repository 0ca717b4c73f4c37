"""Holds a value that is read with a fixed lag."""

from __future__ import annotations

import asyncio
import collections
import math
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")


class LaggedValue(Generic[ValueT]):
    """Keeps past values for the duration of the lag.

    Attributes:
        lag_s: Age of the value that `read` returns.
    """

    __slots__ = ("_history", "lag_s")

    def __init__(self, *, lag_s: float) -> None:
        self.lag_s = lag_s
        self._history: collections.deque[tuple[float, ValueT]] = (
            collections.deque()
        )

    def record(self, value: ValueT) -> None:
        """Sets the current value."""
        now_s = asyncio.get_running_loop().time()
        if not self._history:
            self._history.append((-math.inf, value))  # no older value
            return
        if self._history[-1][0] == now_s:
            self._history.pop()
        self._history.append((now_s, value))
        self._prune(now_s)

    def read(self) -> ValueT:
        """Returns the value as of `lag_s` ago, or else the oldest value."""
        self._prune(asyncio.get_running_loop().time())
        return self._history[0][1]

    def clear(self) -> None:
        """Drops all values, as a restart does."""
        self._history.clear()

    def _prune(self, now_s: float) -> None:
        while (
            len(self._history) > 1 and self._history[1][0] <= now_s - self.lag_s
        ):
            self._history.popleft()


__all__ = ["LaggedValue"]

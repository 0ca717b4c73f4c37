"""Provides the time sources of the daemons."""

from __future__ import annotations

import asyncio
import time


def monotonic_s() -> float:
    """Returns the running loop's monotonic time, in seconds."""
    return asyncio.get_running_loop().time()


class WallClock:
    """Wall-clock time that advances with the running loop.

    Attributes:
        offset_s: Wall-clock time minus loop time, in seconds.
    """

    __slots__ = ("offset_s",)

    def __init__(self, *, offset_s: float | None = None) -> None:
        if offset_s is None:
            offset_s = time.time() - monotonic_s()
        self.offset_s = offset_s

    def now_s(self) -> float:
        """Returns the wall-clock time, in seconds since the epoch."""
        return self.offset_s + monotonic_s()


__all__ = ["WallClock", "monotonic_s"]

"""Limits calls with a token bucket that uses the event loop's clock."""

from __future__ import annotations

import asyncio
import math


class TokenBucket:
    """Limits calls to a sustained rate and a burst size.

    Attributes:
        rate: Calls per second.
        burst: Maximum number of calls at once.
        tokens: Tokens available at `updated_s`.
        updated_s: Event loop time of the last refill.
    """

    __slots__ = ("burst", "rate", "tokens", "updated_s")

    def __init__(self, *, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_s = -math.inf

    def take(self) -> float:
        """Takes one token if available.

        Returns:
            0 if a token was taken, else the seconds until one is available.
        """
        now_s = asyncio.get_running_loop().time()
        refill = (now_s - self.updated_s) * self.rate
        self.tokens = min(self.burst, self.tokens + refill)
        self.updated_s = now_s
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        return (1 - self.tokens) / self.rate


def retry_after_header(wait_s: float) -> dict[str, str]:
    """Returns the `Retry-After` header for a wait, rounded up to seconds."""
    return {"Retry-After": str(max(1, math.ceil(wait_s)))}


__all__ = ["TokenBucket", "retry_after_header"]

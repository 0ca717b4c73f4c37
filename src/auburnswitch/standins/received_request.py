"""A request that the stand-in for an endpoint has received."""

from __future__ import annotations

import calendar
import math
import time
from dataclasses import dataclass
from typing import Final

FIRST_BOOT_MS: Final = 1_764_800_000_000
HTTP_DATE_FORMAT: Final = "%a, %d %b %Y %H:%M:%S GMT"


@dataclass(slots=True, kw_only=True)
class ReceivedRequest:
    """A request that the endpoint received.

    Attributes:
        headers: Request headers.
        target: Path and query.
        body: Request body.
        ran: Whether the endpoint executed the request.
        received_at: Loop time of its arrival, in seconds.
        boot_ms: Start of the endpoint's process that received it.
        leaving: Whether the endpoint was leaving.
        ended_at: Loop time at which the endpoint stopped working on it, in
            seconds; infinite while it works.
        deferral_s: Time for which the refusal asks for no requests, in
            seconds; 0 if it does not.
    """

    headers: dict[str, str]
    target: str
    body: bytes
    ran: bool
    received_at: float = 0.0
    boot_ms: int = FIRST_BOOT_MS
    leaving: bool = False
    deferral_s: float = 0.0
    ended_at: float = math.inf

    @property
    def request_id(self) -> str:
        """Id of the caller's attempt, empty if the header is absent."""
        return self.headers.get("x-attempt-id", "")


def deferral_s(retry_after: str) -> float:
    """Returns what a Retry-After header means now, in seconds; 0 if nothing."""
    try:
        seconds = float(retry_after or 0)
    except ValueError:
        seconds = _seconds_until(retry_after)
    return max(0.0, seconds) if math.isfinite(seconds) else 0.0


def _seconds_until(date: str) -> float:
    try:
        return (
            calendar.timegm(time.strptime(date, HTTP_DATE_FORMAT)) - time.time()
        )
    except ValueError:
        return 0.0  # neither a number nor a date


__all__ = ["FIRST_BOOT_MS", "HTTP_DATE_FORMAT", "ReceivedRequest", "deferral_s"]

"""A request that the stand-in for an endpoint has received."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FIRST_BOOT_MS: Final = 1_764_800_000_000


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
        retry_after: Retry-After header of the refusal, empty if there is none.
    """

    headers: dict[str, str]
    target: str
    body: bytes
    ran: bool
    received_at: float = 0.0
    boot_ms: int = FIRST_BOOT_MS
    leaving: bool = False
    retry_after: str = ""

    @property
    def request_id(self) -> str:
        """Id of the caller's attempt, empty if the header is absent."""
        return self.headers.get("x-attempt-id", "")


__all__ = ["FIRST_BOOT_MS", "ReceivedRequest"]

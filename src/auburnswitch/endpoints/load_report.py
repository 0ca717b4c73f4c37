"""Parses the load reports of endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, kw_only=True)
class LoadReport:
    """The load of an endpoint, with a short lag.

    Attributes:
        boot_id: Identifies one incarnation of the endpoint.
        running: Running requests.
        waiting: Requests queued at the endpoint.
        memory_used_tokens: Memory in use, in tokens.
        prefill_queued_tokens: Prompt tokens still to prefill.
        leaving: Whether the endpoint reports that it is leaving.
    """

    boot_id: str
    running: int = 0
    waiting: int = 0
    memory_used_tokens: int = 0
    prefill_queued_tokens: int = 0
    leaving: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether the endpoint has no work at all."""
        return not (self.running or self.waiting or self.memory_used_tokens)


def parse_load_report(body: Any) -> LoadReport:
    """Builds a load report from the endpoint's response.

    Raises:
        ValueError: The response is not a load report.
    """
    if not isinstance(body, dict) or not body.get("boot_id"):
        raise ValueError("the load report has no boot_id")
    return LoadReport(
        boot_id=str(body["boot_id"]),
        running=_count(body.get("running")),
        waiting=_count(body.get("waiting")),
        memory_used_tokens=_count(body.get("memory_used_tokens")),
        prefill_queued_tokens=_count(body.get("prefill_queued_tokens")),
        leaving=body.get("leaving") is True,
    )


def _count(value: Any) -> int:
    return value if type(value) is int and value > 0 else 0


__all__ = ["LoadReport", "parse_load_report"]

"""Builds the load reports of an engine."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from auburnswitch.standins.engine_batch import BatchScheduler


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadReport:
    """The load of an engine at one point in time.

    Attributes:
        boot_id: Changes with every start of the engine.
        running: Number of requests in the batch.
        waiting: Number of requests not yet admitted.
        memory_tokens: Total memory.
        memory_used_tokens: Memory in use.
        prefill_queued_tokens: Prompt tokens still to prefill.
        model: Name of the loaded model.
        leaving: Whether the engine is leaving.
    """

    boot_id: str
    running: int
    waiting: int
    memory_tokens: int
    memory_used_tokens: int
    prefill_queued_tokens: int
    model: str
    leaving: bool

    def to_json(self) -> dict[str, Any]:
        """Returns the report in the API's JSON form."""
        return dataclasses.asdict(self)


def make_load_report(
    batch: BatchScheduler, *, boot_id: str, model: str, leaving: bool
) -> LoadReport:
    """Returns a report of the current load of a batch."""
    queued_tokens = sum(job.prefill_remaining_tokens for job in batch.waiting)
    queued_tokens += sum(
        job.prefill_remaining_tokens for job in batch.prefilling
    )
    return LoadReport(
        boot_id=boot_id,
        running=batch.running_count,
        waiting=len(batch.waiting),
        memory_tokens=batch.options.memory_tokens,
        memory_used_tokens=batch.memory_used_tokens,
        prefill_queued_tokens=queued_tokens,
        model=model,
        leaving=leaving,
    )


__all__ = ["LoadReport", "make_load_report"]

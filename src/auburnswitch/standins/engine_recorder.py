"""Writes an engine's records to the history."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.standins.history import HistoryKind
from auburnswitch.standins.listener import ARRIVAL_TIME_S

if TYPE_CHECKING:
    from auburnswitch.standins.engine_batch import BatchScheduler
    from auburnswitch.standins.engine_job import Job
    from auburnswitch.standins.engine_orders import Order
    from auburnswitch.standins.history import History


class EngineRecorder:
    """Writes the records of one engine to the history.

    Attributes:
        actor: Name of the engine.
        history: Receives the records.
        batch: The engine's jobs.
    """

    __slots__ = ("actor", "batch", "history")

    def __init__(
        self, *, actor: str, history: History, batch: BatchScheduler
    ) -> None:
        self.actor = actor
        self.history = history
        self.batch = batch

    def record(self, kind: HistoryKind) -> None:
        """Adds a record without fields."""
        self.history.add(self.actor, kind)

    def record_boot(self, boot_id: str) -> None:
        """Records a start of the engine."""
        self.history.add(self.actor, HistoryKind.BOOTED, boot_id=boot_id)

    def record_crash(self, cause: str, boot_id: str) -> None:
        """Records a crash and the attempts in flight."""
        jobs = self.batch.jobs()
        self.history.add(
            self.actor,
            HistoryKind.CRASHED,
            cause=cause,
            boot_id=boot_id,
            in_flight=[[job.request_id, job.attempt] for job in jobs],
        )

    def record_start(self, job: Job, *, cold: bool, leaving: bool) -> None:
        """Records the arrival of a job."""
        self.history.add(
            self.actor,
            HistoryKind.REQUEST_STARTED,
            request_id=job.request_id,
            attempt=job.attempt,
            member_id=job.member_id,
            prompt_tokens=job.prompt_tokens,
            max_tokens=job.answer_tokens,
            priority=job.priority,
            cold=cold,
            leaving=leaving,
            arrived_s=ARRIVAL_TIME_S.get(None),
        )

    def record_job(self, kind: HistoryKind, job: Job) -> None:
        """Records a state change of a job and the memory in use."""
        self.history.add(
            self.actor,
            kind,
            request_id=job.request_id,
            attempt=job.attempt,
            member_id=job.member_id,
            tokens=job.memory_tokens,
            memory_used=self.batch.memory_used_tokens,
        )

    def record_order(self, order: Order, *, accepted: bool) -> None:
        """Records whether an order was applied or refused."""
        kind = (
            HistoryKind.ORDER_APPLIED if accepted else HistoryKind.ORDER_REFUSED
        )
        self.history.add(self.actor, kind, **order.to_json())


__all__ = ["EngineRecorder"]

"""Simulates continuous batching with memory admission and chunked prefill."""

from __future__ import annotations

import asyncio
import bisect
import contextlib
from typing import TYPE_CHECKING, Protocol

from auburnswitch.standins.engine_job import (
    Completion,
    Job,
    JobState,
    PrefillSegment,
)
from auburnswitch.standins.engine_options import (
    EngineOptions,
    decode_time_s,
    prefill_time_s,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from auburnswitch.standins.listener import Pause


class BatchObserver(Protocol):
    """Receives notifications about the jobs of a batch."""

    def on_admitted(self, job: Job) -> None:
        """Called after memory has been allocated to the job."""

    def on_prefill_started(self, job: Job) -> None:
        """Called before the first chunk of the job is prefilled."""

    def on_prefilled(self, job: Job) -> None:
        """Called after the last chunk of the job has been prefilled."""

    def on_kv_retained(self, job: Job) -> None:
        """Called after the job's KV cache is complete and retained."""

    def on_memory_freed(self, job: Job) -> None:
        """Called after the job's memory has been freed."""

    def on_job_ended(self, job: Job) -> None:
        """Called after the job has finished or was cancelled."""

    def on_load_changed(self) -> None:
        """Called after the load has changed."""


class BatchScheduler:
    """Schedules the jobs of an engine and runs the tasks that advance them.

    Attributes:
        options: Limits and service times.
        observer: Receives notifications about the jobs.
        pause: Suspends all jobs while active.
        waiting: Jobs not yet admitted, in scheduling order.
        prefill_delay_s: Returns the current delay added to each prefill, in
            seconds.
        prefilling: Jobs in prefill.
        decoding: Jobs in decode.
        memory_used_tokens: Tokens of memory in use, retained KV caches
            included.
    """

    __slots__ = (
        "_decode_ready",
        "_prefill_ready",
        "decoding",
        "memory_used_tokens",
        "observer",
        "options",
        "pause",
        "prefill_delay_s",
        "prefilling",
        "waiting",
    )

    def __init__(
        self,
        *,
        options: EngineOptions,
        observer: BatchObserver,
        pause: Pause,
        prefill_delay_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.options = options
        self.prefill_delay_s = prefill_delay_s
        self.observer = observer
        self.pause = pause
        self.waiting: list[Job] = []
        self.prefilling: list[Job] = []
        self.decoding: list[Job] = []
        self.memory_used_tokens = 0
        self._prefill_ready = asyncio.Event()
        self._decode_ready = asyncio.Event()

    @property
    def running_count(self) -> int:
        """Number of admitted jobs that are in prefill or decode."""
        return len(self.prefilling) + len(self.decoding)

    def jobs(self) -> list[Job]:
        """Returns all waiting and running jobs."""
        return [*self.waiting, *self.prefilling, *self.decoding]

    def submit(self, job: Job) -> None:
        """Queues a job, which starts once memory and a batch slot are free."""
        bisect.insort(self.waiting, job, key=Job.sort_key)
        self._admit()
        self.observer.on_load_changed()

    def cancel(self, job: Job) -> None:
        """Cancels a waiting, running or retained job and frees its memory."""
        if job.state is JobState.WAITING:
            self.waiting.remove(job)
        elif job.active or job.state is JobState.KV_RETAINED:
            self._release(job)
        self._end(job, JobState.CANCELLED)

    def discard_all(self) -> None:
        """Drops all jobs and their memory, as a crash does.

        The observer is not notified.
        """
        lost_jobs = self.jobs()
        self.waiting.clear()
        self.prefilling.clear()
        self.decoding.clear()
        self.memory_used_tokens = 0
        for job in lost_jobs:
            job.state = JobState.LOST
            job.notify_waiters()

    def _admit(self) -> None:
        options = self.options
        while self.waiting and self.running_count < options.max_running:
            job = self.waiting[0]
            if (
                self.memory_used_tokens + job.memory_tokens
                > options.memory_tokens
            ):
                return  # admitting later jobs would starve the first one
            self.waiting.pop(0)
            self.memory_used_tokens += job.memory_tokens
            job.state = JobState.PREFILL
            self.prefilling.append(job)
            self._prefill_ready.set()
            self.observer.on_admitted(job)

    def _release(self, job: Job) -> None:
        if job.state is JobState.PREFILL:
            self.prefilling.remove(job)
        elif job.state is JobState.DECODE:
            self.decoding.remove(job)
        self.memory_used_tokens -= job.memory_tokens
        self.observer.on_memory_freed(job)

    def _end(self, job: Job, state: JobState) -> None:
        job.state = state
        job.ended_at_s = asyncio.get_running_loop().time()
        job.notify_waiters()
        self.observer.on_job_ended(job)
        self._admit()
        self.observer.on_load_changed()

    async def run_prefill(self) -> None:
        """Prefills one chunk at a time, of the jobs in scheduling order."""
        while True:
            if not self.prefilling:
                self._prefill_ready.clear()
                await self._prefill_ready.wait()
            await self.pause.wait()
            if self.prefilling:
                await self._run_chunk(min(self.prefilling, key=Job.sort_key))

    async def _run_chunk(self, job: Job) -> None:
        delay_s = 0.0
        if job.prefill_remaining_tokens == job.prompt_tokens:
            delay_s = self.prefill_delay_s()
            self.observer.on_prefill_started(job)
        chunk_tokens = min(
            job.prefill_remaining_tokens, self.options.prefill_chunk_tokens
        )
        await asyncio.sleep(
            delay_s + prefill_time_s(self.options, chunk_tokens)
        )
        await self.pause.wait()
        if job.state is not JobState.PREFILL:
            return  # the job was cancelled or lost during the sleep
        job.prefill_remaining_tokens -= chunk_tokens
        if job.prefill_remaining_tokens == 0:
            self._finish_prefill(job)
        self.observer.on_load_changed()

    def _finish_prefill(self, job: Job) -> None:
        self.observer.on_prefilled(job)
        if job.state is not JobState.PREFILL:
            return  # the job crashed the engine
        self.prefilling.remove(job)
        match job.work:
            case Completion():
                job.state = JobState.DECODE
                self.decoding.append(job)
                self._decode_ready.set()
            case PrefillSegment():
                job.state = JobState.KV_RETAINED
                job.notify_waiters()
                self.observer.on_kv_retained(job)
                self._admit()

    async def run_decode(self) -> None:
        """Decodes one token of every decoding job in each step."""
        loop = asyncio.get_running_loop()
        step_end_s = 0.0
        while True:
            if not self.decoding:
                self._decode_ready.clear()
                await self._decode_ready.wait()
                step_end_s = loop.time()
            step_end_s += decode_time_s(self.options, len(self.decoding))
            # steps missed during a pause or delay are not made up for
            step_end_s = max(step_end_s, loop.time())
            await asyncio.sleep(step_end_s - loop.time())
            await self.pause.wait()
            self._decode_step()

    def _decode_step(self) -> None:
        finished_jobs = []
        for job in self.decoding:
            job.produced_tokens += 1
            if job.produced_tokens == job.answer_tokens:
                finished_jobs.append(job)
            else:
                job.notify_waiters()
        for job in finished_jobs:
            self._release(job)
            self._end(job, JobState.FINISHED)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Runs prefill and decode until the context exits."""
        tasks = [
            asyncio.create_task(self.run_prefill()),
            asyncio.create_task(self.run_decode()),
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ["BatchScheduler", "BatchObserver"]

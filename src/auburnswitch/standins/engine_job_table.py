"""The streams and KV caches that callers can name."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from auburnswitch.standins.engine_job import Completion, Job, PrefillSegment

if TYPE_CHECKING:
    from auburnswitch.standins.engine_requests import RequestIds


class JobTable:
    """Jobs of an engine by the ids that callers use.

    Attributes:
        resumable_s: Time that a finished stream is kept.
        kv_caches: Prefilled segments by id, also those in the making.
    """

    __slots__ = (
        "_kv_count",
        "_order",
        "_streams",
        "kv_caches",
        "resumable_s",
    )

    def __init__(self, *, resumable_s: float) -> None:
        self.resumable_s = resumable_s
        self.kv_caches: dict[str, Job] = {}
        self._streams: dict[tuple[str, int], Job] = {}
        self._kv_count = 0
        self._order = 0

    def next_kv_id(self, boot_id: str, tokens: int, digest: str) -> str:
        """Returns a new KV cache id, which ends with the prompt's digest."""
        self._kv_count += 1
        return f"{boot_id}.{self._kv_count}.{tokens}.{digest}"

    def next_arrival_index(self) -> int:
        """Returns the next place in the order of arrival."""
        self._order += 1
        return self._order

    def add(self, job: Job) -> None:
        """Adds a job."""
        match job.work:
            case Completion():
                self._streams[job.request_id, job.attempt] = job
            case PrefillSegment(kv_id=kv_id):
                self.kv_caches[kv_id] = job

    def remove(self, job: Job) -> None:
        """Removes a job."""
        match job.work:
            case Completion():
                del self._streams[job.request_id, job.attempt]
            case PrefillSegment(kv_id=kv_id):
                del self.kv_caches[kv_id]

    def find_stream(self, request_id: str, attempt: int) -> Job | None:
        """Returns a stream that runs or can be resumed, if there is one."""
        job = self._streams.get((request_id, attempt))
        if job is not None and self._is_expired(job):
            self.remove(job)
            return None
        return job

    def has_attempt(self, caller: RequestIds) -> bool:
        """Returns whether a caller's attempt runs or can be resumed."""
        found = self.find_stream(caller.request_id, caller.attempt)
        return found is not None

    def list_streams(self) -> list[Job]:
        """Returns the streams that run or can be resumed."""
        for job in list(self._streams.values()):
            if self._is_expired(job):
                self.remove(job)
        return list(self._streams.values())

    def clear(self) -> None:
        """Forgets every job."""
        self._streams.clear()
        self.kv_caches.clear()

    def _is_expired(self, job: Job) -> bool:
        now_s = asyncio.get_running_loop().time()
        return not job.active and now_s >= job.ended_at_s + self.resumable_s


__all__ = ["JobTable"]

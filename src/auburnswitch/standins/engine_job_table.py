"""Looks up the streams and KV caches that callers can address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from auburnswitch.standins.engine_job import Completion, Job, PrefillSegment

if TYPE_CHECKING:
    from auburnswitch.standins.engine_requests import RequestIds


class JobTable:
    """Maps the ids that callers use to an engine's jobs.

    Attributes:
        resumable_s: Time for which a finished stream is retained.
        kv_caches: Segment prefills by KV cache id, including unfinished ones.
    """

    __slots__ = (
        "_arrival_count",
        "_kv_count",
        "_streams",
        "kv_caches",
        "resumable_s",
    )

    def __init__(self, *, resumable_s: float) -> None:
        self.resumable_s = resumable_s
        self.kv_caches: dict[str, Job] = {}
        self._streams: dict[tuple[str, int], Job] = {}
        self._kv_count = 0
        self._arrival_count = 0

    def next_kv_id(self, boot_id: str, tokens: int, digest: str) -> str:
        """Returns a new KV cache id, which ends with the prompt's digest."""
        self._kv_count += 1
        return f"{boot_id}.{self._kv_count}.{tokens}.{digest}"

    def next_arrival_index(self) -> int:
        """Returns the next position in the order of arrival."""
        self._arrival_count += 1
        return self._arrival_count

    def add(self, job: Job) -> None:
        """Adds a job under its stream or KV cache id."""
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
        """Returns a stream that is active or can be resumed, None if absent."""
        job = self._streams.get((request_id, attempt))
        if job is not None and self._is_expired(job):
            self.remove(job)
            return None
        return job

    def has_attempt(self, ids: RequestIds) -> bool:
        """Returns whether an attempt's stream is active or can be resumed."""
        found = self.find_stream(ids.request_id, ids.attempt)
        return found is not None

    def list_streams(self) -> list[Job]:
        """Returns the streams that are active or can be resumed."""
        for job in list(self._streams.values()):
            if self._is_expired(job):
                self.remove(job)
        return list(self._streams.values())

    def clear(self) -> None:
        """Removes all jobs."""
        self._streams.clear()
        self.kv_caches.clear()

    def _is_expired(self, job: Job) -> bool:
        now_s = asyncio.get_running_loop().time()
        return not job.active and now_s >= job.ended_at_s + self.resumable_s


__all__ = ["JobTable"]

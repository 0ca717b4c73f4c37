"""Represents a job of a batch: a completion or the prefill of a segment."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from typing import Final

CRASH_MARKER: Final = "crash-the-engine"


class JobState(enum.Enum):
    """Scheduling state of a job."""

    WAITING = enum.auto()
    PREFILL = enum.auto()
    DECODE = enum.auto()
    KV_RETAINED = enum.auto()  # KV cache kept for other engines
    FINISHED = enum.auto()
    CANCELLED = enum.auto()
    LOST = enum.auto()  # the engine crashed


ACTIVE_STATES: Final = frozenset(
    {JobState.WAITING, JobState.PREFILL, JobState.DECODE}
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Completion:
    """Work that decodes an answer.

    Attributes:
        max_tokens: Number of tokens to decode.
        first_token: Position of the first token in the complete answer.
        chat: Whether the response has the chat completion format.
    """

    max_tokens: int
    first_token: int = 0
    chat: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class PrefillSegment:
    """Work that prefills one segment of a prompt and retains its KV cache.

    Attributes:
        kv_id: Id of the KV cache.
    """

    kv_id: str


class Job:
    """A request in the engine.

    Attributes:
        request_id: Request id from the caller.
        attempt: Attempt number from the caller.
        member_id: Id of the daemon that sent the request.
        priority: Lower numbers run first.
        arrival_index: Position in the order of arrival.
        work: Completion or prefill of a segment.
        prompt_tokens: Tokens of the prompt, including the text to continue.
        digest: Digest of the complete prompt.
        blocks: Hashes of the prompt's full blocks.
        crashes_engine: Whether the job crashes the engine at the end of its
            prefill.
        cached_tokens: Tokens whose prefill was skipped.
        prefill_remaining_tokens: Tokens still to prefill.
        produced_tokens: Answer tokens decoded so far.
        state: Scheduling state.
        ended_at_s: Event loop time at which the job finished or was
            cancelled.
    """

    __slots__ = (
        "_waiters",
        "arrival_index",
        "attempt",
        "blocks",
        "cached_tokens",
        "crashes_engine",
        "digest",
        "ended_at_s",
        "member_id",
        "prefill_remaining_tokens",
        "priority",
        "produced_tokens",
        "prompt_tokens",
        "request_id",
        "state",
        "work",
    )

    def __init__(
        self,
        *,
        request_id: str,
        attempt: int,
        member_id: str,
        priority: int,
        arrival_index: int,
        work: Completion | PrefillSegment,
        prompt_tokens: int,
        digest: str,
        blocks: list[str],
        crashes_engine: bool,
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.member_id = member_id
        self.priority = priority
        self.arrival_index = arrival_index
        self.work = work
        self.prompt_tokens = prompt_tokens
        self.digest = digest
        self.blocks = blocks
        self.crashes_engine = crashes_engine
        self.cached_tokens = 0
        self.prefill_remaining_tokens = prompt_tokens
        self.produced_tokens = 0
        self.state = JobState.WAITING
        self.ended_at_s = 0.0
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def answer_tokens(self) -> int:
        """Number of tokens to decode, 0 for the prefill of a segment."""
        match self.work:
            case Completion(max_tokens=max_tokens):
                return max_tokens
            case PrefillSegment():
                return 0

    @property
    def memory_tokens(self) -> int:
        """Memory allocated to the job from admission on, in tokens."""
        return self.prompt_tokens + self.answer_tokens

    @property
    def active(self) -> bool:
        """Whether the job is waiting or running."""
        return self.state in ACTIVE_STATES

    @property
    def finished(self) -> bool:
        """Whether the job has decoded its complete answer."""
        return self.state is JobState.FINISHED

    @property
    def kv_retained(self) -> bool:
        """Whether the job's KV cache is complete and retained."""
        return self.state is JobState.KV_RETAINED

    @property
    def kv_completed(self) -> bool:
        """Whether the job's KV cache was completed, even if freed since."""
        return (
            isinstance(self.work, PrefillSegment)
            and self.prefill_remaining_tokens == 0
        )

    def sort_key(self) -> tuple[int, int]:
        """Returns the job's position in the scheduling order."""
        return (self.priority, self.arrival_index)

    def notify_waiters(self) -> None:
        """Wakes all tasks that wait for a change of the job."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait_for_change(self) -> None:
        """Returns once the job has new tokens or a new state."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter

    async def wait_until_inactive(self) -> None:
        """Returns once the job is neither waiting nor running."""
        while self.active:
            await self.wait_for_change()


__all__ = [
    "CRASH_MARKER",
    "Completion",
    "Job",
    "JobState",
    "PrefillSegment",
]

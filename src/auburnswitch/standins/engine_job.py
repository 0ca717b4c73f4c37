"""One piece of work in an engine's batch: a completion or a prefill."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from typing import Final

CRASH_MARKER: Final = "crash-the-engine"


class JobState(enum.Enum):
    """Where a job is in the engine."""

    WAITING = enum.auto()
    PREFILL = enum.auto()
    DECODE = enum.auto()
    KV_RETAINED = enum.auto()  # a KV cache that is kept for other engines
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
        max_tokens: Tokens of the answer.
        first_token: Position of its first token in the whole answer.
        chat: Whether it has the shape of a chat.
    """

    max_tokens: int
    first_token: int = 0
    chat: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class PrefillSegment:
    """Work that prefills one segment of a prompt and keeps its KV cache.

    Attributes:
        kv_id: Name of the KV cache.
    """

    kv_id: str


class Job:
    """A request within the engine.

    Attributes:
        request_id: Id that the caller gave.
        attempt: Attempt that the caller gave.
        member_id: Daemon that sent it.
        priority: A lower number runs first.
        arrival_index: Position among all arrivals.
        work: What is wanted.
        prompt_tokens: Tokens of prompt, with text to continue.
        digest: Digest of the whole prompt.
        blocks: Names of the prompt's whole blocks.
        crashes_engine: Whether it crashes the engine when its prefill ends.
        cached_tokens: Tokens whose prefill was skipped.
        prefill_remaining_tokens: Tokens still to prefill.
        produced_tokens: Answer tokens so far.
        state: Where it is.
        ended_at_s: Time at which it finished or was cancelled.
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
        """Tokens that the job is to decode."""
        match self.work:
            case Completion(max_tokens=max_tokens):
                return max_tokens
            case PrefillSegment():
                return 0

    @property
    def memory_tokens(self) -> int:
        """Memory that the job takes while it runs."""
        return self.prompt_tokens + self.answer_tokens

    @property
    def active(self) -> bool:
        """Whether it still waits or runs."""
        return self.state in ACTIVE_STATES

    @property
    def finished(self) -> bool:
        """Whether its answer is whole."""
        return self.state is JobState.FINISHED

    @property
    def kv_retained(self) -> bool:
        """Whether its KV cache is complete and kept."""
        return self.state is JobState.KV_RETAINED

    @property
    def kv_completed(self) -> bool:
        """Whether its KV cache has been completed, even if freed since."""
        return (
            isinstance(self.work, PrefillSegment)
            and self.prefill_remaining_tokens == 0
        )

    def sort_key(self) -> tuple[int, int]:
        """Returns its place in the order of service."""
        return (self.priority, self.arrival_index)

    def notify_waiters(self) -> None:
        """Wakes all that wait for a change of the job."""
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
        """Returns once the job no longer waits or runs."""
        while self.active:
            await self.wait_for_change()


__all__ = [
    "CRASH_MARKER",
    "Completion",
    "Job",
    "JobState",
    "PrefillSegment",
]

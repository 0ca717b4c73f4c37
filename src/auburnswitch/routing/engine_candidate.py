"""An engine that may read or write for a prompt, as of one decision."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.routing import engine_speed

if TYPE_CHECKING:
    from auburnswitch.configuration.installation import KnownEndpoint
    from auburnswitch.routing.fleet_load import EndpointLoad
    from auburnswitch.schema.installation import EngineModel

MEMORY_SHARE: Final = 0.97  # of an engine's memory that is used
TIGHT_RATIO: Final = 0.67
USUAL_GAP_MS: Final = 250.0


@dataclass(slots=True, kw_only=True)
class Prompt:
    """What a placement needs to know of a request.

    Attributes:
        tokens: Length of the prompt.
        answer_tokens: Expected length of the answer.
        target_ms: Time left in which the first token is in time.
        gap_ms: Longest pause that is in time; 0 takes a usual one.
    """

    tokens: int
    answer_tokens: int
    target_ms: float
    gap_ms: float


class EngineCandidate:
    """One candidate, with its load as of the decision.

    Attributes:
        known: The endpoint.
        backlog_ms: Reading that is under way or waits.
        writers: Answers that are or will be written there.
        helping: Prompts that are read there for other engines.
        joint_reads: Allowed pauses of the answers to prompts that are still
            read there together with other engines, by request.
        dislike_ms: Cost by which other engines are preferred.
        is_full: It refused a request a moment ago.
        free_tokens: Memory that is not used.
        gaps_ms: Allowed pauses of the answers written there.
        pass_ms: Time of a pass with one more answer, without reading.
        slowdown: Time that its work takes, relative to the usual.
        tight: Answers with clearly shorter pauses than the prompt's own.
    """

    __slots__ = (
        "backlog_ms",
        "dislike_ms",
        "free_tokens",
        "gaps_ms",
        "helping",
        "is_full",
        "joint_reads",
        "known",
        "pass_ms",
        "slowdown",
        "tight",
        "writers",
    )

    def __init__(
        self,
        *,
        known: KnownEndpoint,
        load: EndpointLoad,
        model: EngineModel,
        prompt: Prompt,
        now: float,
    ) -> None:
        self.known = known
        self.backlog_ms = load.backlog_ms(now)
        self.gaps_ms = load.gaps_ms()
        self.joint_reads = load.joint_reads(now)
        self.helping = len(load.shares) - len(self.gaps_ms)
        self.writers = len(self.gaps_ms) + load.unknown_requests
        self.slowdown = load.slowdown
        self.is_full = load.is_full
        self.dislike_ms = 0.0
        used = load.memory_tokens
        self.free_tokens = model.memory_tokens * MEMORY_SHARE - used
        pass_ms = engine_speed.pass_ms(model, self.writers + 1, used)
        self.pass_ms = pass_ms * self.slowdown
        tight_ms = prompt.gap_ms * TIGHT_RATIO
        self.tight = sum(gap_ms < tight_ms for gap_ms in self.gaps_ms)

    @property
    def wait_ms(self) -> float:
        """Predicted time until a prompt is read that is read here alone."""
        return self.joint_wait_ms + self.backlog_ms * self.slowdown

    @property
    def joint_wait_ms(self) -> float:
        """Predicted time until a part of a joint read is read.

        An engine reads the newest part first, and prompts that it reads alone
        after all parts.
        """
        return self.pass_ms / 2 if self.writers else 0.0

    def room_ms(self, gap_share: float) -> float:
        """Returns the longest part that keeps all pauses short enough."""
        if not self.gaps_ms:
            return math.inf
        taken_ms = self.pass_ms + self.backlog_ms
        return min(self.gaps_ms) * gap_share - taken_ms

    def harm(self, part_ms: float) -> float:
        """Returns the weight of the answers that a part makes late."""
        before_ms = self.pass_ms + self.backlog_ms
        return sum(
            weight(gap_ms)
            for gap_ms in self.gaps_ms
            if before_ms <= gap_ms < before_ms + part_ms
        )


def weight(gap_ms: float) -> float:
    """Returns what an answer is worth, judged by its allowed pauses."""
    return (gap_ms / USUAL_GAP_MS) ** 2


__all__ = ["MEMORY_SHARE", "EngineCandidate", "Prompt", "weight"]

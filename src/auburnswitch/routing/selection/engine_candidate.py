"""Evaluates an engine as a candidate to prefill or decode a prompt."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.routing.selection import engine_latency

if TYPE_CHECKING:
    from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint
    from auburnswitch.routing.selection.fleet_load import (
        EndpointLoad,
        EndpointWork,
    )
    from auburnswitch.schema.installation import EngineModel

USABLE_MEMORY_SHARE: Final = 0.97  # of an engine's KV cache memory
TIGHT_GAP_RATIO: Final = 0.67
REFERENCE_GAP_MS: Final = 250.0
SLACK_MARGIN_MS: Final = 150.0  # for decode passes and updates in transit
LATE_WEIGHT_SHARE: Final = 0.25  # of the weight of an already late answer
_MS_PER_S: Final = 1000.0


class DelayablePrefills(enum.Enum):
    """Joint prefills that a new part may delay by more than their slack.

    Attributes:
        NONE: No joint prefill.
        LATE: Only joint prefills that are predicted to be late in any case.
        ANY: Any joint prefill.
    """

    NONE = "none"
    LATE = "late"
    ANY = "any"


@dataclass(slots=True, kw_only=True)
class PromptRequirements:
    """Sizes and latency targets of a request to be placed.

    Attributes:
        tokens: Length of the prompt.
        answer_tokens: Expected length of the answer.
        target_ms: Time left until the target latency of the first token.
        target_gap_ms: Longest acceptable gap between events of the answer; 0
            selects the default.
    """

    tokens: int
    answer_tokens: int
    target_ms: float
    target_gap_ms: float


class EngineCandidate:
    """A candidate engine with its load at the time of the decision.

    Attributes:
        endpoint: The engine's endpoint.
        backlog_ms: Time that running and queued prefills still take.
        decode_count: Requests whose answers are or will be decoded there,
            including unknown requests.
        helper_prefill_count: Prompts prefilled there for other engines.
        joint_prefills: Unfinished joint prefills, by daemon and item id.
        slack_ms: Time by which the joint prefills that are on time may be
            delayed.
        has_late_prefills: Whether a joint prefill is predicted to be late.
        tie_break_penalty_ms: Penalty that decides between equally good engines.
        is_full: Whether the engine recently refused a request as full.
        free_tokens: Usable KV cache memory that is free.
        target_gaps_ms: Target gaps of the answers decoded there.
        pass_ms: Time of a decode pass with one more answer and no prefill.
        slowdown: Execution time relative to the engine's usual one.
        tight_gap_count: Answers whose target gap is clearly shorter than that
            of the new request.
    """

    __slots__ = (
        "backlog_ms",
        "decode_count",
        "endpoint",
        "free_tokens",
        "has_late_prefills",
        "helper_prefill_count",
        "is_full",
        "joint_prefills",
        "pass_ms",
        "slack_ms",
        "slowdown",
        "target_gaps_ms",
        "tie_break_penalty_ms",
        "tight_gap_count",
    )

    def __init__(
        self,
        *,
        endpoint: TrackedEndpoint,
        load: EndpointLoad,
        model: EngineModel,
        prompt: PromptRequirements,
        now: float,
    ) -> None:
        self.endpoint = endpoint
        self.backlog_ms = load.backlog_ms(now)
        self.target_gaps_ms = load.target_gaps_ms()
        self.joint_prefills = load.joint_prefills(now)
        slacks_ms = [_slack_ms(work) for work in self.joint_prefills.values()]
        self.slack_ms = min((s for s in slacks_ms if s >= 0), default=math.inf)
        self.has_late_prefills = any(s < 0 for s in slacks_ms)
        self.helper_prefill_count = len(load.work_by_request) - len(
            self.target_gaps_ms
        )
        self.decode_count = len(self.target_gaps_ms) + load.unknown_requests
        self.slowdown = load.slowdown
        self.is_full = load.is_full
        self.tie_break_penalty_ms = 0.0
        used_tokens = load.memory_tokens
        self.free_tokens = (
            model.memory_tokens * USABLE_MEMORY_SHARE - used_tokens
        )
        pass_ms = engine_latency.pass_ms(
            model, self.decode_count + 1, used_tokens
        )
        self.pass_ms = pass_ms * self.slowdown
        tight_ms = prompt.target_gap_ms * TIGHT_GAP_RATIO
        self.tight_gap_count = sum(
            gap_ms < tight_ms for gap_ms in self.target_gaps_ms
        )

    @property
    def wait_ms(self) -> float:
        """Predicted wait before a prompt that this engine prefills alone."""
        return self.joint_wait_ms + self.backlog_ms * self.slowdown

    @property
    def joint_wait_ms(self) -> float:
        """Predicted wait before a part of a joint prefill.

        An engine runs the newest part first, and prompts that it prefills
        alone after all parts.
        """
        return self.pass_ms / 2 if self.decode_count else 0.0

    def max_part_ms(self, gap_share: float) -> float:
        """Returns the longest part that respects all target gaps, in ms.

        Args:
            gap_share: Share of each target gap that a prediction may use.
        """
        if not self.target_gaps_ms:
            return math.inf
        current_gap_ms = self.pass_ms + self.backlog_ms
        return min(self.target_gaps_ms) * gap_share - current_gap_ms

    def accepts_part(
        self, part_ms: float, delayable: DelayablePrefills
    ) -> bool:
        """Returns whether a part delays no more prefills than allowed."""
        match delayable:
            case DelayablePrefills.NONE:
                return part_ms <= self.slack_ms and not self.has_late_prefills
            case DelayablePrefills.LATE:
                return part_ms <= self.slack_ms
            case DelayablePrefills.ANY:
                return True

    def interference_cost(self, part_ms: float) -> float:
        """Returns the total weight of the answers that a part makes late."""
        current_gap_ms = self.pass_ms + self.backlog_ms
        return sum(
            answer_weight(gap_ms)
            for gap_ms in self.target_gaps_ms
            if current_gap_ms <= gap_ms < current_gap_ms + part_ms
        )


def _slack_ms(work: EndpointWork) -> float:
    slack_s = work.due_at - work.prefill_ends_at
    return slack_s * _MS_PER_S - SLACK_MARGIN_MS


def prefill_delay_cost(work: EndpointWork, part_ms: float) -> float:
    """Returns the cost of delaying a joint prefill by a part of another."""
    slack_ms = _slack_ms(work)
    if part_ms <= slack_ms:
        return 0.0
    full_cost = answer_weight(work.target_gap_ms)
    return full_cost if slack_ms >= 0 else full_cost * LATE_WEIGHT_SHARE


def answer_weight(gap_ms: float) -> float:
    """Returns the weight of an answer, which grows with its target gap."""
    return (gap_ms / REFERENCE_GAP_MS) ** 2


__all__ = [
    "USABLE_MEMORY_SHARE",
    "EngineCandidate",
    "DelayablePrefills",
    "PromptRequirements",
    "prefill_delay_cost",
    "answer_weight",
]

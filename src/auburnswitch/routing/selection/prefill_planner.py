"""Chooses the decode engine and the prefill helpers for a prompt.

The prefill of a long prompt delays the answers that an engine decodes at the
same time. A prompt is therefore split into parts that several engines prefill
jointly. Each part is short enough for the target gaps of the answers decoded on
its engine, and engines that decode answers with short target gaps are kept for
short prompts.

An engine runs the newest part of a joint prefill first. A new joint prefill is
therefore placed on engines where it makes no other joint prefill late.
"""

from __future__ import annotations

import functools
import hashlib
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.routing.selection import engine_latency
from auburnswitch.routing.selection.engine_candidate import (
    USABLE_MEMORY_SHARE,
    DelayablePrefills,
    EngineCandidate,
    PromptRequirements,
    answer_weight,
    prefill_delay_cost,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint
    from auburnswitch.routing.selection.fleet_load import EndpointLoad
    from auburnswitch.schema.installation import EngineModel

PART_COUNTS: Final = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
MAX_ENGINES: Final = max(PART_COUNTS)
MIN_PART_MS: Final = 40.0
# First-token time that each additional part must save.
PART_PENALTY_MS: Final = 20.0
# Shares of the target latency and the target gap that predictions may use.
TARGET_LATENCY_SHARE: Final = 0.8
TARGET_GAP_SHARE: Final = 0.7
PACKING_BONUS_MS: Final = 60.0
PACKING_BONUS_PER_DECODE_MS: Final = 20.0
SPARE_SLOTS: Final = 1
DECODE_PENALTY_MS: Final = 60.0
SLOWDOWN_PENALTY_MS: Final = 150.0  # per unit of slowdown above 1
MAX_TIE_BREAK_PENALTY_MS: Final = 60.0
HASH_RANGE: Final = 65536
DEFAULT_TARGET_GAP_MS: Final = 1000.0
# First-token time that costs as much as an answer with the reference gap.
LATENESS_MS_PER_WEIGHT: Final = 10_000.0
MAX_HOLDERS: Final = 5


@dataclass(slots=True, kw_only=True)
class PrefillPlan:
    """The engines that prefill a prompt and decode its answer.

    Attributes:
        decode_engine: Endpoint that receives the request.
        helpers: Endpoints that prefill parts of the prompt.
        part_ms: Prefill time of each part.
        first_token_ms: Predicted time to the first token.
        memory_tokens: KV cache memory that the request needs on the decode
            engine and on each holder.
        holders: Number of helpers, from the first, that hold a part of the KV
            cache.
        interference_cost: Cost of the other answers that the plan delays.
    """

    decode_engine: TrackedEndpoint
    helpers: list[TrackedEndpoint]
    part_ms: float
    first_token_ms: float
    memory_tokens: int
    holders: int
    interference_cost: float = 0.0


def plan_prefill(
    model: EngineModel,
    prompt: PromptRequirements,
    candidates: Iterable[tuple[TrackedEndpoint, EndpointLoad]],
    now: float,
    tie_break: str = "",
) -> PrefillPlan | None:
    """Chooses the engines for a prompt.

    Args:
        model: Speed and size of the engines.
        prompt: The prompt and its targets.
        candidates: Endpoints that may be used, with their loads.
        now: Loop time, in seconds.
        tie_break: Text whose hash with an endpoint's id gives the preference
            among equally good engines.

    Returns:
        A plan that is on time and makes no other answer late, else the plan
        with the lowest cost; None if no engine has capacity for the answer.
    """
    if prompt.target_gap_ms <= 0:
        prompt.target_gap_ms = DEFAULT_TARGET_GAP_MS
    engines = [
        EngineCandidate(
            endpoint=endpoint, load=load, model=model, prompt=prompt, now=now
        )
        for endpoint, load in candidates
    ]
    for engine in engines:
        engine.tie_break_penalty_ms = _tie_break_penalty_ms(
            tie_break, engine.endpoint.entry.id
        )
    for holders in range(MAX_HOLDERS + 1):
        search = _PlanSearch(
            model=model, prompt=prompt, engines=engines, holders=holders
        )
        plan = search.run()
        if plan is not None:
            return plan
    return None


def engines_needed(model: EngineModel, tokens: int) -> int | None:
    """Returns how many idle engines can hold a request's KV cache.

    Args:
        model: Speed and size of the engines.
        tokens: Tokens of the prompt and its answer.

    Returns:
        The number of engines, None if the KV cache is too large for any
        allowed number.
    """
    if model.memory_tokens <= 0:
        return None
    needed = math.ceil(tokens / (model.memory_tokens * USABLE_MEMORY_SHARE))
    return needed if needed <= MAX_HOLDERS + 1 else None


def min_prefill_ms(model: EngineModel, tokens: int, engines: int) -> float:
    """Returns the joint prefill time of a prompt on idle engines."""
    parts = max(n for n in PART_COUNTS if n <= max(1, engines))
    return engine_latency.prefill_ms(model, tokens) / parts


class _PlanSearch:
    """Searches for a plan with a given number of holders.

    Attributes:
        model: Speed and size of the engines.
        prompt: The prompt and its targets.
        engines: The candidates.
        holders: Number of helpers that each hold an equal part of the KV cache.
        tokens_per_engine: KV cache memory needed on the decode engine and on
            each holder.
        total_prefill_ms: Time in which one engine prefills the whole prompt.
        decode_candidates: Engines with a slot and memory for the answer.
    """

    __slots__ = (
        "decode_candidates",
        "engines",
        "holders",
        "model",
        "prompt",
        "tokens_per_engine",
        "total_prefill_ms",
    )

    def __init__(
        self,
        *,
        model: EngineModel,
        prompt: PromptRequirements,
        engines: Sequence[EngineCandidate],
        holders: int,
    ) -> None:
        self.model = model
        self.prompt = prompt
        self.engines = engines
        self.holders = holders
        needed = prompt.tokens + prompt.answer_tokens
        self.tokens_per_engine = math.ceil(needed / (holders + 1))
        self.total_prefill_ms = engine_latency.prefill_ms(model, prompt.tokens)
        self.decode_candidates = [
            engine
            for engine in engines
            if engine.decode_count < model.slots
            and not engine.is_full
            and self._has_memory(engine)
        ]

    def run(self) -> PrefillPlan | None:
        """Returns the best plan, None if the engines lack the capacity."""
        if not self.decode_candidates:
            return None
        plans: list[PrefillPlan] = []
        for delayable in DelayablePrefills:
            for gap_share in (TARGET_GAP_SHARE, 1.0, math.inf):
                found = self._find_plans(gap_share, delayable)
                on_time_plans = [
                    plan for plan in found if self._is_on_time(plan)
                ]
                no_interference = (
                    delayable is DelayablePrefills.NONE and gap_share <= 1.0
                )
                if on_time_plans and no_interference:
                    return min(on_time_plans, key=_first_token_cost_ms)
                plans += found
        return min(plans, key=self._plan_cost, default=None)

    def _has_memory(self, engine: EngineCandidate) -> bool:
        return engine.free_tokens >= self.tokens_per_engine

    def _is_on_time(self, plan: PrefillPlan) -> bool:
        return (
            plan.first_token_ms <= self.prompt.target_ms * TARGET_LATENCY_SHARE
        )

    def _plan_cost(self, plan: PrefillPlan) -> float:
        """Returns the cost of a plan for its own request and for others."""
        cost = (
            plan.interference_cost
            + plan.first_token_ms / LATENESS_MS_PER_WEIGHT
        )
        if plan.first_token_ms > self.prompt.target_ms:
            cost += answer_weight(self.prompt.target_gap_ms)
        return cost

    def _find_plans(
        self, gap_share: float, delayable: DelayablePrefills
    ) -> list[PrefillPlan]:
        max_part_ms = {id(e): e.max_part_ms(gap_share) for e in self.engines}
        decode_candidates = sorted(
            self.decode_candidates, key=self._decode_cost_ms
        )
        helper_candidates = [
            e for e in self.engines if e.helper_prefill_count < self.model.slots
        ]
        helper_candidates.sort(key=_helper_cost_ms)
        plans = []
        for parts in PART_COUNTS:
            part_ms = self.total_prefill_ms / parts
            if parts <= self.holders:
                continue
            if parts > self.holders + 1 and part_ms < MIN_PART_MS:
                break
            eligible = {
                id(engine)
                for engine in self.engines
                if max_part_ms[id(engine)] >= part_ms
                and (parts == 1 or engine.accepts_part(part_ms, delayable))
            }
            plan = self._plan_parts(
                parts,
                [e for e in decode_candidates if id(e) in eligible],
                [e for e in helper_candidates if id(e) in eligible],
            )
            if plan is not None:
                plans.append(plan)
        return plans

    def _plan_parts(
        self,
        parts: int,
        decode_candidates: list[EngineCandidate],
        helper_candidates: list[EngineCandidate],
    ) -> PrefillPlan | None:
        if not decode_candidates:
            return None
        part_ms = self.total_prefill_ms / parts
        alone = parts == 1
        max_wait_ms = self.prompt.target_ms * TARGET_LATENCY_SHARE - part_ms
        decode_engine = next(
            (
                e
                for e in decode_candidates
                if _wait_ms(e, alone) + e.pass_ms <= max_wait_ms
            ),
            decode_candidates[0],
        )
        helper_candidates = [
            e for e in helper_candidates if e is not decode_engine
        ]
        holder_engines = [e for e in helper_candidates if self._has_memory(e)][
            : self.holders
        ]
        if (
            len(holder_engines) < self.holders
            or len(helper_candidates) < parts - 1
        ):
            return None
        other_helpers = [
            e for e in helper_candidates if e not in holder_engines
        ]
        helpers = [*holder_engines, *other_helpers[: parts - 1 - self.holders]]
        chosen = (decode_engine, *helpers)
        slowest_ms = max(
            _wait_ms(engine, alone) + part_ms * engine.slowdown
            for engine in chosen
        )
        return PrefillPlan(
            decode_engine=decode_engine.endpoint,
            helpers=[engine.endpoint for engine in helpers],
            part_ms=part_ms,
            first_token_ms=slowest_ms + decode_engine.pass_ms,
            memory_tokens=self.tokens_per_engine,
            holders=self.holders,
            interference_cost=_interference_cost(chosen, part_ms),
        )

    def _decode_cost_ms(self, engine: EngineCandidate) -> float:
        cost_ms = engine.wait_ms + engine.tight_gap_count * DECODE_PENALTY_MS
        cost_ms += engine.tie_break_penalty_ms
        cost_ms += (engine.slowdown - 1) * SLOWDOWN_PENALTY_MS
        gap_ms = self.prompt.target_gap_ms
        has_similar_gap = (
            bool(engine.target_gaps_ms) and min(engine.target_gaps_ms) <= gap_ms
        )
        if (
            has_similar_gap
            and engine.decode_count < self.model.slots - SPARE_SLOTS
        ):
            cost_ms -= (
                PACKING_BONUS_MS
                + engine.decode_count * PACKING_BONUS_PER_DECODE_MS
            )
        return cost_ms


def _wait_ms(engine: EngineCandidate, alone: bool) -> float:
    return engine.wait_ms if alone else engine.joint_wait_ms


def _interference_cost(
    engines: Sequence[EngineCandidate], part_ms: float
) -> float:
    """Returns the cost of the answers that parts on the engines delay."""
    cost = sum(engine.interference_cost(part_ms) for engine in engines)
    if len(engines) == 1:
        return cost  # a prompt on one engine runs after all joint prefills
    joint = {}
    for engine in engines:
        joint |= engine.joint_prefills
    return cost + sum(
        prefill_delay_cost(work, part_ms) for work in joint.values()
    )


@functools.lru_cache(maxsize=65536)
def _tie_break_penalty_ms(tie_break: str, endpoint: str) -> float:
    digest = hashlib.blake2b(f"{tie_break}/{endpoint}".encode(), digest_size=2)
    fraction = int.from_bytes(digest.digest(), "big") / HASH_RANGE
    return fraction * MAX_TIE_BREAK_PENALTY_MS


def _helper_cost_ms(engine: EngineCandidate) -> float:
    slowdown_penalty_ms = (engine.slowdown - 1) * SLOWDOWN_PENALTY_MS
    return (
        engine.wait_ms
        + engine.decode_count * DECODE_PENALTY_MS
        + slowdown_penalty_ms
    )


def _first_token_cost_ms(plan: PrefillPlan) -> float:
    return plan.first_token_ms + PART_PENALTY_MS * (len(plan.helpers) + 1)


__all__ = [
    "MAX_ENGINES",
    "PrefillPlan",
    "plan_prefill",
    "engines_needed",
    "min_prefill_ms",
]

"""Chooses the engine that writes an answer and those that help to read.

Reading a long prompt holds up the answers that an engine writes at the same
time. So a prompt is split into parts that several engines read together, each
part short enough for the pauses that the engine's answers allow, and engines
that write answers with short pauses are left to short prompts.

An engine reads the newest part of a joint read first. So a new one is given
engines on which it makes no other one late.
"""

from __future__ import annotations

import functools
import hashlib
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.routing import engine_latency
from auburnswitch.routing.engine_candidate import (
    USABLE_MEMORY_SHARE,
    DelayablePrefills,
    EngineCandidate,
    PromptRequirements,
    answer_weight,
    prefill_delay_cost,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from auburnswitch.configuration.installation import KnownEndpoint
    from auburnswitch.routing.fleet_load import EndpointLoad
    from auburnswitch.schema.installation import EngineModel

PART_COUNTS: Final = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
MAX_ENGINES: Final = max(PART_COUNTS)
MIN_PART_MS: Final = 40.0
PART_PENALTY_MS: Final = (
    20.0  # of first-token time that a further part is worth
)
TARGET_SHARE: Final = 0.8  # of the target latency that a prediction may take
GAP_SHARE: Final = 0.7  # of an allowed pause that a prediction may take
PACKING_BONUS_MS: Final = 60.0
PACKING_BONUS_PER_DECODE_MS: Final = 20.0
SPARE_SLOTS: Final = 1
DECODE_PENALTY_MS: Final = 60.0
SLOWDOWN_PENALTY_MS: Final = 150.0  # for each time that it is slower than usual
MAX_TIE_BREAK_PENALTY_MS: Final = 60.0
HASH_RANGE: Final = 65536
DEFAULT_GAP_MS: Final = 1000.0
LATENESS_MS_PER_WEIGHT: Final = (
    10_000.0  # of lateness that is as bad as one usual answer
)
MAX_HOLDERS: Final = 5


@dataclass(slots=True, kw_only=True)
class PrefillPlan:
    """Where a prompt is read and its answer written.

    Attributes:
        decode_engine: Endpoint that gets the request.
        helpers: Endpoints that read parts of the prompt.
        part_ms: Reading time of each part.
        first_token_ms: Predicted time to the first token.
        memory_tokens: Memory that the request needs at the writer, and at
            each holder.
        holders: How many of the first helpers hold a part of the memory.
        interference_cost: Weight of the other answers that it holds up.
    """

    decode_engine: KnownEndpoint
    helpers: list[KnownEndpoint]
    part_ms: float
    first_token_ms: float
    memory_tokens: int
    holders: int
    interference_cost: float = 0.0


def plan_prefill(
    model: EngineModel,
    prompt: PromptRequirements,
    candidates: Iterable[tuple[KnownEndpoint, EndpointLoad]],
    now: float,
    tie_break: str = "",
) -> PrefillPlan | None:
    """Chooses the engines for a prompt.

    Args:
        model: Speed and size of the engines.
        prompt: The prompt and its targets.
        candidates: Endpoints that may get it, with their loads.
        now: Loop time, in seconds.
        tie_break: Equally good engines are preferred in an order that
            follows from this text.

    Returns:
        A plan that is in time and makes no other answer late, else the one
        that loses least; None if no engine has room for the answer.
    """
    if prompt.target_gap_ms <= 0:
        prompt.target_gap_ms = DEFAULT_GAP_MS
    engines = [
        EngineCandidate(
            known=known, load=load, model=model, prompt=prompt, now=now
        )
        for known, load in candidates
    ]
    for engine in engines:
        engine.tie_break_penalty_ms = _dislike_ms(
            tie_break, engine.known.entry.id
        )
    for holders in range(MAX_HOLDERS + 1):
        search = _Search(
            model=model, prompt=prompt, engines=engines, holders=holders
        )
        plan = search.run()
        if plan is not None:
            return plan
    return None


def engines_needed(model: EngineModel, tokens: int) -> int | None:
    """Returns how many idle engines hold a prompt and its answer.

    None means that no number of them can.
    """
    if model.memory_tokens <= 0:
        return None
    needed = math.ceil(tokens / (model.memory_tokens * USABLE_MEMORY_SHARE))
    return needed if needed <= MAX_HOLDERS + 1 else None


def min_prefill_ms(model: EngineModel, tokens: int, engines: int) -> float:
    """Returns the time in which idle engines together read a prompt."""
    parts = max(n for n in PART_COUNTS if n <= max(1, engines))
    return engine_latency.prefill_ms(model, tokens) / parts


class _Search:
    """Looks for a plan with a given number of holders.

    Attributes:
        model: Speed and size of the engines.
        prompt: The prompt and its targets.
        engines: The candidates.
        holders: Helpers that hold an equal part of the memory each.
        share_tokens: Memory needed at the writer and at each holder.
        whole_ms: Time in which one engine reads the prompt.
    """

    __slots__ = (
        "engines",
        "holders",
        "model",
        "prompt",
        "share_tokens",
        "whole_ms",
        "writers",
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
        self.share_tokens = math.ceil(needed / (holders + 1))
        self.whole_ms = engine_latency.prefill_ms(model, prompt.tokens)
        self.writers = [
            engine
            for engine in engines
            if engine.decode_count < model.slots
            and not engine.is_full
            and self._has_memory(engine)
        ]

    def run(self) -> PrefillPlan | None:
        """Returns the best plan, None if the engines have no room."""
        if not self.writers:
            return None
        plans: list[PrefillPlan] = []
        for delayable in DelayablePrefills:
            for gap_share in (GAP_SHARE, 1.0, math.inf):
                found = self._plans(gap_share, delayable)
                in_time = [plan for plan in found if self._is_in_time(plan)]
                harmless = (
                    delayable is DelayablePrefills.NONE and gap_share <= 1.0
                )
                if in_time and harmless:
                    return min(in_time, key=_spread_cost_ms)
                plans += found
        return min(plans, key=self._loss, default=None)

    def _has_memory(self, engine: EngineCandidate) -> bool:
        return engine.free_tokens >= self.share_tokens

    def _is_in_time(self, plan: PrefillPlan) -> bool:
        return plan.first_token_ms <= self.prompt.target_ms * TARGET_SHARE

    def _loss(self, plan: PrefillPlan) -> float:
        """Returns the weight that a plan loses, of its own and of others."""
        loss = (
            plan.interference_cost
            + plan.first_token_ms / LATENESS_MS_PER_WEIGHT
        )
        if plan.first_token_ms > self.prompt.target_ms:
            loss += answer_weight(self.prompt.target_gap_ms)
        return loss

    def _plans(
        self, gap_share: float, delayable: DelayablePrefills
    ) -> list[PrefillPlan]:
        rooms = {id(e): e.max_part_ms(gap_share) for e in self.engines}
        writers = sorted(self.writers, key=self._writer_cost_ms)
        readers = [
            e for e in self.engines if e.helper_prefill_count < self.model.slots
        ]
        readers.sort(key=_helper_cost_ms)
        plans = []
        for parts in PART_COUNTS:
            part_ms = self.whole_ms / parts
            if parts <= self.holders:
                continue
            if parts > self.holders + 1 and part_ms < MIN_PART_MS:
                break
            able = {
                id(engine)
                for engine in self.engines
                if rooms[id(engine)] >= part_ms
                and (parts == 1 or engine.accepts_part(part_ms, delayable))
            }
            plan = self._plan_with(
                parts,
                [engine for engine in writers if id(engine) in able],
                [engine for engine in readers if id(engine) in able],
            )
            if plan is not None:
                plans.append(plan)
        return plans

    def _plan_with(
        self,
        parts: int,
        writers: list[EngineCandidate],
        readers: list[EngineCandidate],
    ) -> PrefillPlan | None:
        if not writers:
            return None
        part_ms = self.whole_ms / parts
        alone = parts == 1
        latest_ms = self.prompt.target_ms * TARGET_SHARE - part_ms
        decode_engine = next(
            (e for e in writers if _wait_ms(e, alone) + e.pass_ms <= latest_ms),
            writers[0],
        )
        readers = [engine for engine in readers if engine is not decode_engine]
        holding = [e for e in readers if self._has_memory(e)][: self.holders]
        if len(holding) < self.holders or len(readers) < parts - 1:
            return None
        rest = [engine for engine in readers if engine not in holding]
        helpers = [*holding, *rest[: parts - 1 - self.holders]]
        chosen = (decode_engine, *helpers)
        slowest_ms = max(
            _wait_ms(engine, alone) + part_ms * engine.slowdown
            for engine in chosen
        )
        return PrefillPlan(
            decode_engine=decode_engine.known,
            helpers=[engine.known for engine in helpers],
            part_ms=part_ms,
            first_token_ms=slowest_ms + decode_engine.pass_ms,
            memory_tokens=self.share_tokens,
            holders=self.holders,
            interference_cost=_harm(chosen, part_ms),
        )

    def _writer_cost_ms(self, engine: EngineCandidate) -> float:
        cost_ms = engine.wait_ms + engine.tight_gap_count * DECODE_PENALTY_MS
        cost_ms += engine.tie_break_penalty_ms
        cost_ms += (engine.slowdown - 1) * SLOWDOWN_PENALTY_MS
        gap_ms = self.prompt.target_gap_ms
        similar = (
            bool(engine.target_gaps_ms) and min(engine.target_gaps_ms) <= gap_ms
        )
        if similar and engine.decode_count < self.model.slots - SPARE_SLOTS:
            cost_ms -= (
                PACKING_BONUS_MS
                + engine.decode_count * PACKING_BONUS_PER_DECODE_MS
            )
        return cost_ms


def _wait_ms(engine: EngineCandidate, alone: bool) -> float:
    return engine.wait_ms if alone else engine.joint_wait_ms


def _harm(engines: Sequence[EngineCandidate], part_ms: float) -> float:
    """Returns the weight of the answers that parts on engines hold up."""
    harm = sum(engine.interference_cost(part_ms) for engine in engines)
    if len(engines) == 1:
        return harm  # it is read after all joint reads
    joint = {}
    for engine in engines:
        joint |= engine.joint_prefills
    return harm + sum(prefill_delay_cost(s, part_ms) for s in joint.values())


@functools.lru_cache(maxsize=65536)
def _dislike_ms(tie_break: str, endpoint: str) -> float:
    digest = hashlib.blake2b(f"{tie_break}/{endpoint}".encode(), digest_size=2)
    share = int.from_bytes(digest.digest(), "big") / HASH_RANGE
    return share * MAX_TIE_BREAK_PENALTY_MS


def _helper_cost_ms(engine: EngineCandidate) -> float:
    slow_ms = (engine.slowdown - 1) * SLOWDOWN_PENALTY_MS
    return engine.wait_ms + engine.decode_count * DECODE_PENALTY_MS + slow_ms


def _spread_cost_ms(plan: PrefillPlan) -> float:
    return plan.first_token_ms + PART_PENALTY_MS * (len(plan.helpers) + 1)


__all__ = [
    "MAX_ENGINES",
    "PrefillPlan",
    "plan_prefill",
    "engines_needed",
    "min_prefill_ms",
]

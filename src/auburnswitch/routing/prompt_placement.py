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

from auburnswitch.routing import engine_speed
from auburnswitch.routing.engine_candidate import (
    MEMORY_SHARE,
    EngineCandidate,
    HoldsUp,
    Prompt,
    held_up_weight,
    weight,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from auburnswitch.configuration.installation import KnownEndpoint
    from auburnswitch.routing.fleet_load import EndpointLoad
    from auburnswitch.schema.installation import EngineModel

PART_COUNTS: Final = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
MOST_ENGINES: Final = max(PART_COUNTS)
SMALLEST_PART_MS: Final = 40.0
PART_COST_MS: Final = 20.0  # of first-token time that a further part is worth
TARGET_SHARE: Final = 0.8  # of the target latency that a prediction may take
GAP_SHARE: Final = 0.7  # of an allowed pause that a prediction may take
PACKING_BONUS_MS: Final = 60.0
PACKED_WRITER_MS: Final = 20.0
SPARE_SLOTS: Final = 1
TIGHT_WRITER_MS: Final = 60.0
SLOW_ENGINE_MS: Final = 150.0  # for each time that it is slower than usual
MOST_DISLIKE_MS: Final = 60.0
HASH_RANGE: Final = 65536
DEFAULT_GAP_MS: Final = 1000.0
LATE_MS: Final = 10_000.0  # of lateness that is as bad as one usual answer
MAX_HOLDERS: Final = 5


@dataclass(slots=True, kw_only=True)
class Plan:
    """Where a prompt is read and its answer written.

    Attributes:
        writer: Endpoint that gets the request.
        helpers: Endpoints that read parts of the prompt.
        part_ms: Reading time of each part.
        first_token_ms: Predicted time to the first token.
        memory_tokens: Memory that the request needs at the writer, and at
            each holder.
        holders: How many of the first helpers hold a part of the memory.
        harm: Weight of the other answers that it holds up.
    """

    writer: KnownEndpoint
    helpers: list[KnownEndpoint]
    part_ms: float
    first_token_ms: float
    memory_tokens: int
    holders: int
    harm: float = 0.0


def choose_engines(
    model: EngineModel,
    prompt: Prompt,
    candidates: Iterable[tuple[KnownEndpoint, EndpointLoad]],
    now: float,
    tie_break: str = "",
) -> Plan | None:
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
    if prompt.gap_ms <= 0:
        prompt.gap_ms = DEFAULT_GAP_MS
    engines = [
        EngineCandidate(
            known=known, load=load, model=model, prompt=prompt, now=now
        )
        for known, load in candidates
    ]
    for engine in engines:
        engine.dislike_ms = _dislike_ms(tie_break, engine.known.entry.id)
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
    needed = math.ceil(tokens / (model.memory_tokens * MEMORY_SHARE))
    return needed if needed <= MAX_HOLDERS + 1 else None


def soonest_read_ms(model: EngineModel, tokens: int, engines: int) -> float:
    """Returns the time in which idle engines together read a prompt."""
    parts = max(n for n in PART_COUNTS if n <= max(1, engines))
    return engine_speed.read_ms(model, tokens) / parts


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
        prompt: Prompt,
        engines: Sequence[EngineCandidate],
        holders: int,
    ) -> None:
        self.model = model
        self.prompt = prompt
        self.engines = engines
        self.holders = holders
        needed = prompt.tokens + prompt.answer_tokens
        self.share_tokens = math.ceil(needed / (holders + 1))
        self.whole_ms = engine_speed.read_ms(model, prompt.tokens)
        self.writers = [
            engine
            for engine in engines
            if engine.writers < model.slots
            and not engine.is_full
            and self._has_memory(engine)
        ]

    def run(self) -> Plan | None:
        """Returns the best plan, None if the engines have no room."""
        if not self.writers:
            return None
        plans: list[Plan] = []
        for holds_up in HoldsUp:
            for gap_share in (GAP_SHARE, 1.0, math.inf):
                found = self._plans(gap_share, holds_up)
                in_time = [plan for plan in found if self._is_in_time(plan)]
                harmless = holds_up is HoldsUp.NOTHING and gap_share <= 1.0
                if in_time and harmless:
                    return min(in_time, key=_spread_cost_ms)
                plans += found
        return min(plans, key=self._loss, default=None)

    def _has_memory(self, engine: EngineCandidate) -> bool:
        return engine.free_tokens >= self.share_tokens

    def _is_in_time(self, plan: Plan) -> bool:
        return plan.first_token_ms <= self.prompt.target_ms * TARGET_SHARE

    def _loss(self, plan: Plan) -> float:
        """Returns the weight that a plan loses, of its own and of others."""
        loss = plan.harm + plan.first_token_ms / LATE_MS
        if plan.first_token_ms > self.prompt.target_ms:
            loss += weight(self.prompt.gap_ms)
        return loss

    def _plans(self, gap_share: float, holds_up: HoldsUp) -> list[Plan]:
        rooms = {id(e): e.room_ms(gap_share) for e in self.engines}
        writers = sorted(self.writers, key=self._writer_cost_ms)
        readers = [e for e in self.engines if e.helping < self.model.slots]
        readers.sort(key=_helper_cost_ms)
        plans = []
        for parts in PART_COUNTS:
            part_ms = self.whole_ms / parts
            if parts <= self.holders:
                continue
            if parts > self.holders + 1 and part_ms < SMALLEST_PART_MS:
                break
            able = {
                id(engine)
                for engine in self.engines
                if rooms[id(engine)] >= part_ms
                and (parts == 1 or engine.bears(part_ms, holds_up))
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
    ) -> Plan | None:
        if not writers:
            return None
        part_ms = self.whole_ms / parts
        alone = parts == 1
        latest_ms = self.prompt.target_ms * TARGET_SHARE - part_ms
        writer = next(
            (e for e in writers if _wait_ms(e, alone) + e.pass_ms <= latest_ms),
            writers[0],
        )
        readers = [engine for engine in readers if engine is not writer]
        holding = [e for e in readers if self._has_memory(e)][: self.holders]
        if len(holding) < self.holders or len(readers) < parts - 1:
            return None
        rest = [engine for engine in readers if engine not in holding]
        helpers = [*holding, *rest[: parts - 1 - self.holders]]
        chosen = (writer, *helpers)
        slowest_ms = max(
            _wait_ms(engine, alone) + part_ms * engine.slowdown
            for engine in chosen
        )
        return Plan(
            writer=writer.known,
            helpers=[engine.known for engine in helpers],
            part_ms=part_ms,
            first_token_ms=slowest_ms + writer.pass_ms,
            memory_tokens=self.share_tokens,
            holders=self.holders,
            harm=_harm(chosen, part_ms),
        )

    def _writer_cost_ms(self, engine: EngineCandidate) -> float:
        cost_ms = engine.wait_ms + engine.tight * TIGHT_WRITER_MS
        cost_ms += engine.dislike_ms
        cost_ms += (engine.slowdown - 1) * SLOW_ENGINE_MS
        gap_ms = self.prompt.gap_ms
        similar = bool(engine.gaps_ms) and min(engine.gaps_ms) <= gap_ms
        if similar and engine.writers < self.model.slots - SPARE_SLOTS:
            cost_ms -= PACKING_BONUS_MS + engine.writers * PACKED_WRITER_MS
        return cost_ms


def _wait_ms(engine: EngineCandidate, alone: bool) -> float:
    return engine.wait_ms if alone else engine.joint_wait_ms


def _harm(engines: Sequence[EngineCandidate], part_ms: float) -> float:
    """Returns the weight of the answers that parts on engines hold up."""
    harm = sum(engine.harm(part_ms) for engine in engines)
    if len(engines) == 1:
        return harm  # it is read after all joint reads
    joint = {}
    for engine in engines:
        joint |= engine.joint_reads
    return harm + sum(held_up_weight(s, part_ms) for s in joint.values())


@functools.lru_cache(maxsize=65536)
def _dislike_ms(tie_break: str, endpoint: str) -> float:
    digest = hashlib.blake2b(f"{tie_break}/{endpoint}".encode(), digest_size=2)
    share = int.from_bytes(digest.digest(), "big") / HASH_RANGE
    return share * MOST_DISLIKE_MS


def _helper_cost_ms(engine: EngineCandidate) -> float:
    slow_ms = (engine.slowdown - 1) * SLOW_ENGINE_MS
    return engine.wait_ms + engine.writers * TIGHT_WRITER_MS + slow_ms


def _spread_cost_ms(plan: Plan) -> float:
    return plan.first_token_ms + PART_COST_MS * (len(plan.helpers) + 1)


__all__ = [
    "MOST_ENGINES",
    "Plan",
    "choose_engines",
    "engines_needed",
    "soonest_read_ms",
]

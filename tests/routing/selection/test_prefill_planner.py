"""Tests of prompt placement on engines under various loads."""

from __future__ import annotations

import asyncio
import random
import unittest

from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint
from auburnswitch.routing.selection import engine_latency
from auburnswitch.routing.selection.engine_candidate import PromptRequirements
from auburnswitch.routing.selection.fleet_load import FleetLoad
from auburnswitch.routing.selection.prefill_planner import plan_prefill
from auburnswitch.schema.gossip import EngineReport, WorkItem
from auburnswitch.schema.installation import EndpointEntry, EngineModel
from tests.virtual_time import in_virtual_loop, run_virtual

MODEL = EngineModel(
    slots=8,
    memory_tokens=315_000,
    steps_per_pass=51,
    step_ms=0.85,
    step_per_request_ms=0.0085,
    step_per_kilotoken_ms=0.00285,
    read_tokens_per_s=177_000.0,
    read_per_megapair_ms=0.184,
)
SHORT_PROMPT = PromptRequirements(
    tokens=5_000, answer_tokens=1_700, target_ms=300, target_gap_ms=250
)
MEDIUM_PROMPT = PromptRequirements(
    tokens=45_000, answer_tokens=1_000, target_ms=1_500, target_gap_ms=600
)
LONG_PROMPT = PromptRequirements(
    tokens=154_000, answer_tokens=800, target_ms=3_000, target_gap_ms=1_000
)


class EnginePool:
    """A set of engines whose load accounts for all placed requests."""

    def __init__(self, engines: int) -> None:
        self.load = FleetLoad()
        self.engines = [
            TrackedEndpoint(entry=EndpointEntry(id=f"engine-{n}", slots=8))
            for n in range(engines)
        ]
        self.placed = 0

    def choose(self, prompt: PromptRequirements):
        now = asyncio.get_running_loop().time()
        candidates = [
            (e, self.load.by_endpoint[e.entry.id]) for e in self.engines
        ]
        copy = PromptRequirements(
            **{k: getattr(prompt, k) for k in prompt.__slots__}
        )
        return plan_prefill(MODEL, copy, candidates, now)

    def place(
        self, prompt: PromptRequirements, *, avoid_interference: bool = False
    ):
        plan = self.choose(prompt)
        if plan is None or (avoid_interference and plan.interference_cost > 0):
            return None  # the request waits
        self.placed += 1
        item = WorkItem(
            id=self.placed,
            endpoint=plan.decode_engine.entry.id,
            helpers=[helper.entry.id for helper in plan.helpers],
            read_ms=plan.part_ms,
            memory_tokens=plan.memory_tokens,
            helper_memory_tokens=plan.memory_tokens,
            holders=plan.holders,
            target_gap_ms=prompt.target_gap_ms,
            due_ms=prompt.target_ms,
            remaining_ms=60_000,
        )
        self.load.add("daemon", item)
        return plan

    def decode_counts(self) -> list[int]:
        return [
            self.load.by_endpoint[e.entry.id].decode_count for e in self.engines
        ]


class PlacementTest(unittest.TestCase):
    @in_virtual_loop
    def test_idle_pool_prefills_short_prompt_on_one_engine(self):
        plan = EnginePool(4).choose(SHORT_PROMPT)
        self.assertEqual(plan.helpers, [])
        self.assertLess(plan.first_token_ms, SHORT_PROMPT.target_ms)

    @in_virtual_loop
    def test_long_prompt_is_prefilled_jointly_within_target(self):
        alone_ms = engine_latency.prefill_ms(MODEL, 300_000)
        self.assertGreater(alone_ms, 3_000)
        prompt = PromptRequirements(
            tokens=300_000,
            answer_tokens=800,
            target_ms=3_000,
            target_gap_ms=1_000,
        )
        plan = EnginePool(21).choose(prompt)
        self.assertGreaterEqual(len(plan.helpers), 3)
        self.assertLess(plan.first_token_ms, 3_000)

    @in_virtual_loop
    def test_prompt_larger_than_one_engine_has_holders(self):
        prompt = PromptRequirements(
            tokens=700_000,
            answer_tokens=800,
            target_ms=3_000,
            target_gap_ms=1_000,
        )
        plan = EnginePool(21).choose(prompt)
        self.assertGreaterEqual(plan.holders, 2)
        self.assertGreaterEqual(len(plan.helpers), plan.holders)
        needed = 700_800
        self.assertGreaterEqual(plan.memory_tokens * (plan.holders + 1), needed)
        self.assertLess(plan.memory_tokens, MODEL.memory_tokens)

    @in_virtual_loop
    def test_prompt_larger_than_all_engines_has_no_plan(self):
        prompt = PromptRequirements(
            tokens=2_000_000,
            answer_tokens=1,
            target_ms=9_000,
            target_gap_ms=1_000,
        )
        self.assertIsNone(EnginePool(3).choose(prompt))

    @in_virtual_loop
    def test_full_slots_give_no_plan(self):
        pool = EnginePool(2)
        for _ in range(16):
            self.assertIsNotNone(pool.place(SHORT_PROMPT))
        self.assertIsNone(pool.place(SHORT_PROMPT))
        self.assertEqual(pool.decode_counts(), [8, 8])

    @in_virtual_loop
    def test_engine_that_refused_as_full_is_skipped(self):
        pool = EnginePool(2)
        for _ in range(3):
            pool.load.by_endpoint["engine-0"].record_full()
            self.assertEqual(
                pool.place(SHORT_PROMPT).decode_engine.entry.id, "engine-1"
            )

    @in_virtual_loop
    def test_engine_with_unknown_work_counts_as_busy(self):
        """Engines still run the requests of daemons that lost power."""
        pool = EnginePool(2)
        report = EngineReport(endpoint="engine-0", unknown_requests=8)
        pool.load.by_endpoint["engine-0"].apply_report(report)
        for _ in range(8):
            self.assertEqual(
                pool.place(SHORT_PROMPT).decode_engine.entry.id, "engine-1"
            )
        self.assertIsNone(pool.place(SHORT_PROMPT))

    @in_virtual_loop
    def test_slow_engine_is_avoided_while_others_are_idle(self):
        pool = EnginePool(3)
        report = EngineReport(endpoint="engine-0", slowdown=4.0)
        pool.load.by_endpoint["engine-0"].apply_report(report)
        for _ in range(6):
            self.assertNotEqual(
                pool.place(SHORT_PROMPT).decode_engine.entry.id, "engine-0"
            )

    @in_virtual_loop
    def test_short_prompt_avoids_engine_with_long_prefill(self):
        pool = EnginePool(2)
        long_prefill_engine = pool.place(LONG_PROMPT).decode_engine.entry.id
        for _ in range(3):
            plan = pool.place(SHORT_PROMPT)
            self.assertNotEqual(
                plan.decode_engine.entry.id, long_prefill_engine
            )

    @in_virtual_loop
    def test_long_prefill_avoids_engines_decoding_short_answers(self):
        pool = EnginePool(8)
        for _ in range(12):
            pool.place(SHORT_PROMPT)
        busy_engines = {
            engine.entry.id
            for engine, decode_count in zip(
                pool.engines, pool.decode_counts(), strict=True
            )
            if decode_count
        }
        plan = pool.place(LONG_PROMPT)
        plan_engines = {
            plan.decode_engine.entry.id,
            *(h.entry.id for h in plan.helpers),
        }
        self.assertFalse(plan_engines & busy_engines)

    def test_short_answers_are_packed_on_few_engines(self):
        """Short prompts arrive at 33 per second, with 28 answers at a time."""

        async def run():
            pool = EnginePool(21)
            for _ in range(28):
                pool.place(SHORT_PROMPT)
                await asyncio.sleep(0.03)
            self.assertGreaterEqual(pool.decode_counts().count(0), 14)

        run_virtual(run)

    @in_virtual_loop
    def test_burst_of_long_prompts_keeps_short_prompts_on_time(self):
        """Long prompts arrive in bursts at 2.8 times their usual rate."""
        pool = EnginePool(21)
        for _ in range(14):
            pool.place(SHORT_PROMPT)
        for _ in range(6):
            pool.place(LONG_PROMPT, avoid_interference=True)
        for _ in range(6):
            plan = pool.place(SHORT_PROMPT)
            self.assertLess(plan.first_token_ms, SHORT_PROMPT.target_ms)

    @in_virtual_loop
    def test_burst_during_zone_loss_is_placed(self):
        """A burst of short prompts arrives with a third of the engines lost."""
        pool = EnginePool(14)
        plans = [pool.place(SHORT_PROMPT) for _ in range(80)]
        self.assertNotIn(None, plans)

    def test_planner_beats_least_pending_under_mixed_load(self):
        """Compares with least-pending placement at 20 prompts per second."""

        async def run():
            planner_share = await _on_time_share(use_planner=True)
            least_pending_share = await _on_time_share(use_planner=False)
            self.assertGreater(planner_share, least_pending_share)

        run_virtual(run)


async def _on_time_share(*, use_planner: bool) -> float:
    """Returns the share of short prompts predicted to meet their target."""
    rng = random.Random(7)
    pool = EnginePool(12)
    on_time_count = short_count = 0
    for _ in range(60):
        await asyncio.sleep(0.05)
        prompt = SHORT_PROMPT if rng.random() < 0.85 else LONG_PROMPT
        if use_planner:
            plan = pool.place(prompt)
            first_token_ms = plan.first_token_ms if plan else float("inf")
        else:
            first_token_ms = _place_least_pending(pool, prompt)
        if prompt is SHORT_PROMPT:
            short_count += 1
            on_time_count += first_token_ms <= SHORT_PROMPT.target_ms
    return on_time_count / short_count


def _place_least_pending(pool: EnginePool, prompt: PromptRequirements) -> float:
    def pending(engine: TrackedEndpoint) -> int:
        return len(pool.load.by_endpoint[engine.entry.id].work_by_request)

    engine = min(pool.engines, key=pending)
    load = pool.load.by_endpoint[engine.entry.id]
    read_ms = engine_latency.prefill_ms(MODEL, prompt.tokens)
    pass_ms = engine_latency.pass_ms(MODEL, load.decode_count + 1)
    now = asyncio.get_running_loop().time()
    first_token_ms = load.backlog_ms(now) + read_ms + pass_ms
    pool.placed += 1
    item = WorkItem(
        id=pool.placed,
        endpoint=engine.entry.id,
        read_ms=read_ms,
        memory_tokens=prompt.tokens,
        target_gap_ms=prompt.target_gap_ms,
        remaining_ms=60_000,
    )
    pool.load.add("daemon", item)
    return first_token_ms


if __name__ == "__main__":
    unittest.main()

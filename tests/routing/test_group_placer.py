"""Tests of prompts that are too large for one engine."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.experiments.caller import stream_completion
from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    FleetOptions,
    open_fleet,
)
from auburnswitch.experiments.placement import warm_up
from auburnswitch.routing.group_placer import split_prompt
from auburnswitch.standins.answers import answer_text, prompt_digest
from auburnswitch.standins.engine_options import EngineOptions
from tests.virtual_time import SimulatedConnector, run_virtual

AUTHORIZATION = {"Authorization": f"Bearer {CALLER_KEY}"}
MEMORY_TOKENS = 50_000  # a tenth of an engine's, to keep prompts small
PROMPT_TOKENS = 100_000
ANSWER_TOKENS = 8
CLEANUP_WAIT_S = 20.0


async def request_completion(fleet, tokens=PROMPT_TOKENS, number=0):
    body = {
        "model": MODEL,
        "prompt": f"{number} ".ljust(4 * tokens, "."),
        "max_tokens": ANSWER_TOKENS,
    }
    url = fleet.caller_url(f"entry-{number % 3}")
    return await stream_completion(fleet.session, url, body, AUTHORIZATION)


def run_fleet(scenario, memory_tokens=MEMORY_TOKENS):
    """Returns a scenario's result and the memory used and reserved after it."""

    async def run():
        options = FleetOptions(
            engines=6,
            daemons=3,
            plain_services=0,
            engine=EngineOptions(starts_warm=True, memory_tokens=memory_tokens),
            endpoint={"warm_after": 2, "memory_tokens": memory_tokens},
            connector=SimulatedConnector,
        )
        async with open_fleet(options) as fleet:
            await warm_up(fleet)
            result = await scenario(fleet)
            await asyncio.sleep(CLEANUP_WAIT_S)
            used = [e.batch.memory_used_tokens for e in fleet.engines.values()]
            reserved = [
                ledger.reserved_tokens
                for daemon in fleet.daemons.values()
                for ledger in daemon.endpoint_manager.ledgers.values()
            ]
            return result, sum(used), sum(reserved)

    return run_virtual(run)


class GroupTest(unittest.TestCase):
    def test_million_token_prompt_is_answered(self):
        async def scenario(fleet):
            return await request_completion(fleet, tokens=1_000_000)

        outcome, used, reserved = run_fleet(scenario, memory_tokens=500_000)
        digest = prompt_digest("0 ".ljust(4_000_000, "."))
        self.assertEqual(outcome.result, "ok")
        self.assertEqual(outcome.text, answer_text(digest, ANSWER_TOKENS))
        self.assertEqual((used, reserved), (0, 0))

    def test_groups_competing_for_same_engines_all_finish(self):
        async def scenario(fleet):
            calls = [request_completion(fleet, number=n) for n in range(5)]
            return [o.result for o in await asyncio.gather(*calls)]

        results, used, reserved = run_fleet(scenario)
        self.assertEqual(results, ["ok"] * 5)
        self.assertEqual((used, reserved), (0, 0))

    def test_engine_crash_during_prefill_releases_all_reservations(self):
        async def scenario(fleet):
            call = asyncio.create_task(request_completion(fleet))
            await asyncio.sleep(2.5)  # the second segment is being prefilled
            busy_engines = [e for e in fleet.engines.values() if e.batch.jobs()]
            busy_engines[0].crash()
            return len(busy_engines), (await call).result

        result, used, reserved = run_fleet(scenario)
        self.assertEqual(result, (1, "ok"))
        self.assertEqual((used, reserved), (0, 0))

    def test_caller_disconnect_releases_all_reservations(self):
        async def scenario(fleet):
            call = asyncio.create_task(request_completion(fleet))
            await asyncio.sleep(2.5)
            call.cancel()

        _, used, reserved = run_fleet(scenario)
        self.assertEqual((used, reserved), (0, 0))

    def test_prompt_too_large_for_any_group_is_refused_immediately(self):
        async def scenario(fleet):
            return await request_completion(fleet, tokens=6 * MEMORY_TOKENS)

        outcome, _, _ = run_fleet(scenario)
        self.assertEqual(outcome.result, "prompt_too_long")
        self.assertEqual(outcome.ran, "no")
        self.assertIsNone(outcome.retry_after_s)
        self.assertLess(outcome.total_s, 0.1)


class SplitPromptTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.text(min_size=16), st.integers(1, 4))
    def test_segments_join_to_the_prompt(self, prompt, count):
        segments = split_prompt(prompt, count)
        self.assertEqual("".join(segments), prompt)
        self.assertEqual(len(segments), count)

"""Tests of prompts above what a cold endpoint bears."""

from __future__ import annotations

import unittest

from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    FleetOptions,
    open_fleet,
)
from auburnswitch.experiments.recording_caller import RecordingCaller
from auburnswitch.standins.engine_options import EngineOptions
from tests.virtual_time import SimulatedConnector, run_virtual

PROMPT = "x" * 120_000  # 30,000 tokens; a cold engine bears 20,000
DEADLINE_S = 60.0
AT_ONCE_S = 5.0


class ColdFleetTest(unittest.TestCase):
    def test_long_prompt_on_an_idle_cold_fleet_is_not_held(self):
        async def scenario():
            options = FleetOptions(
                engines=2,
                daemons=1,
                plain_services=0,
                connector=SimulatedConnector,
            )
            async with open_fleet(options) as fleet:
                caller = RecordingCaller(
                    session=fleet.session, caller_key=CALLER_KEY
                )
                return await caller.complete(
                    fleet.caller_url("entry-0"),
                    "entry-0",
                    model=MODEL,
                    prompt=PROMPT,
                    tokens=8,
                    deadline_s=DEADLINE_S,
                )

        outcome = run_virtual(scenario).outcome
        refused_at_once = outcome.total_s <= AT_ONCE_S
        self.assertTrue(outcome.result == "ok" or refused_at_once, outcome)

    def test_long_prompt_finds_the_one_engine_that_is_warm(self):
        async def scenario():
            options = FleetOptions(
                engines=8,
                daemons=1,
                plain_services=0,
                engine=EngineOptions(warm_after=1),
                endpoint={"warm_after": 1},
                connector=SimulatedConnector,
            )
            async with open_fleet(options) as fleet:
                caller = RecordingCaller(
                    session=fleet.session, caller_key=CALLER_KEY
                )
                outcomes = []
                for prompt in ("short", PROMPT):
                    record = await caller.complete(
                        fleet.caller_url("entry-0"),
                        "entry-0",
                        model=MODEL,
                        prompt=prompt,
                        tokens=8,
                        deadline_s=DEADLINE_S,
                    )
                    outcomes.append(record.outcome.result)
                return outcomes

        self.assertEqual(run_virtual(scenario), ["ok", "ok"])

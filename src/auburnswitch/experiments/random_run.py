"""Long randomised runs: ``python -m auburnswitch.experiments.random_run``.

Prints the seed, what was done and every violation, and exits with 1 if there
was one. The same seed gives the same run.
"""

from __future__ import annotations

import asyncio
import collections
import json
import random
import sys
import time
from typing import Any

import fire

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.actions import draw_action
from auburnswitch.experiments.chaos import open_chaos
from auburnswitch.experiments.freezing import FreezableLoop
from auburnswitch.experiments.virtual_time import (
    SimulatedConnector,
    run_virtual,
)


def random_run(seed: int, steps: int) -> dict[str, Any]:
    """Runs a number of random actions and returns the report."""
    return run_virtual(lambda: _run(seed, steps), FreezableLoop)


async def _run(seed: int, steps: int) -> dict[str, Any]:
    chance = random.Random(seed)
    done: collections.Counter[str] = collections.Counter()
    started_at = time.monotonic()
    async with open_chaos(connector=SimulatedConnector) as chaos:
        for _ in range(steps):
            action = draw_action(chance)
            done[type(action).__name__] += 1
            await chaos.apply(action)
            await asyncio.sleep(0.05)
        violations = await chaos.settle()
        outcomes = collections.Counter(
            call.outcome.result if call.outcome else "none"
            for call in chaos.caller.records
        )
        errors = [
            repr(error)
            for daemon in chaos.fleet.daemons.values()
            for error in daemon.tasks.errors
        ]
        return {
            "seed": seed,
            "steps": steps,
            "virtual_s": round(monotonic_s(), 1),
            "wall_s": round(time.monotonic() - started_at, 1),
            "actions": dict(done),
            "outcomes": dict(outcomes),
            "task_errors": errors,
            "violations": [
                {
                    "rule": violation.rule.name.lower(),
                    "detail": violation.detail,
                }
                for violation in violations
            ],
        }


def main(seed: int = 1, steps: int = 500) -> None:
    """Runs and prints the report.

    Args:
        seed: Seed of every choice.
        steps: Number of actions.
    """
    report = random_run(seed, steps)
    print(json.dumps(report, indent=2))
    sys.exit(1 if report["violations"] or report["task_errors"] else 0)


if __name__ == "__main__":
    fire.Fire(main)


__all__ = ["random_run"]

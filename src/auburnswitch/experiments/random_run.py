"""Long randomised runs: ``python -m auburnswitch.experiments.random_run``.

Prints the seed, the counts of actions and every violation, and exits with
status 1 if there was one. The same seed gives the same run, except that runs of
an hour have been observed to differ.
"""

from __future__ import annotations

import asyncio
import collections
import json
import random
import sys
import time
from typing import TYPE_CHECKING, Any, Final

import fire

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.actions import draw_action
from auburnswitch.experiments.chaos import open_chaos_run
from auburnswitch.experiments.failures import collect_failures
from auburnswitch.experiments.freezable_loop import FreezableLoop
from auburnswitch.experiments.shrinking import shrink
from auburnswitch.experiments.virtual_time import (
    SimulatedConnector,
    run_virtual,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from auburnswitch.experiments.actions import Action
    from auburnswitch.experiments.chaos import ChaosRun

ACTION_INTERVAL_S: Final = 0.05
SHRINK_TIMEOUT_S: Final = 300.0
SECONDS_PER_HOUR: Final = 3600


class RunReport:
    """Actions and results of a run.

    Attributes:
        actions: Applied actions, in order.
        virtual_s: Duration in virtual time, in seconds.
        wall_s: Duration in wall time, in seconds.
        outcomes: Number of calls by result.
        problems: Violations and unexpected errors.
    """

    __slots__ = ("actions", "outcomes", "problems", "virtual_s", "wall_s")

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.virtual_s = 0.0
        self.wall_s = 0.0
        self.outcomes: dict[str, int] = {}
        self.problems: list[str] = []

    def to_json(self) -> dict[str, Any]:
        """Returns the report as a JSON object."""
        names = [type(action).__name__ for action in self.actions]
        return {
            "virtual_s": round(self.virtual_s, 1),
            "wall_s": round(self.wall_s, 1),
            "actions": dict(collections.Counter(names)),
            "outcomes": self.outcomes,
            "problems": self.problems,
        }


def run_actions(
    actions: Iterable[Action], *, seed: int = 0, limit_s: float = float("inf")
) -> RunReport:
    """Runs actions on a fleet in virtual time.

    Args:
        actions: Actions to apply, in order.
        seed: Seed of the ids that the daemons draw.
        limit_s: Virtual time after which no further action is applied, in
            seconds.

    Returns:
        The report.
    """
    return run_virtual(lambda: _run(actions, limit_s), FreezableLoop, seed=seed)


def draw_actions(seed: int, steps: int | None = None) -> Iterator[Action]:
    """Yields `steps` random actions, or an infinite sequence for None."""
    rng = random.Random(seed)
    while steps is None or steps > 0:
        yield draw_action(rng)
        steps = None if steps is None else steps - 1


async def _run(actions: Iterable[Action], limit_s: float) -> RunReport:
    report = RunReport()
    started_at = time.perf_counter()
    with collect_failures() as failures:
        async with open_chaos_run(connector=SimulatedConnector) as chaos:
            for action in actions:
                if monotonic_s() >= limit_s:
                    break
                report.actions.append(action)
                await chaos.apply(action)
                await asyncio.sleep(ACTION_INTERVAL_S)
            violations = await chaos.settle()
            report.outcomes = _count_outcomes(chaos)
            report.problems = [
                f"{violation.invariant.name.lower()}: {violation.detail}"
                for violation in violations
            ]
            report.problems += failures.problems
            report.virtual_s = monotonic_s()
    report.wall_s = time.perf_counter() - started_at
    return report


def _count_outcomes(chaos: ChaosRun) -> dict[str, int]:
    outcomes = collections.Counter(
        call.outcome.result if call.outcome else "none"
        for call in chaos.caller.records
    )
    return dict(sorted(outcomes.items()))


def main(
    seed: int = 1, steps: int = 500, hours: float = 0.0, shrinking: bool = True
) -> None:
    """Runs random actions and prints the report.

    Args:
        seed: Seed of every random choice.
        steps: Number of actions.
        hours: Virtual time to run for, in hours; replaces `steps` if not 0.
        shrinking: After a failure, search for a short list of actions that
            still fails.
    """
    print(f"seed {seed}", flush=True)
    if hours:
        limit_s = hours * SECONDS_PER_HOUR
        report = run_actions(draw_actions(seed), seed=seed, limit_s=limit_s)
    else:
        report = run_actions(draw_actions(seed, steps), seed=seed)
    print(json.dumps(report.to_json(), indent=2), flush=True)
    if report.problems and shrinking:
        _print_shortest(report.actions, seed)
    sys.exit(1 if report.problems else 0)


def _print_shortest(actions: list[Action], seed: int) -> None:
    stop_at = time.perf_counter() + SHRINK_TIMEOUT_S
    shortest = shrink(
        actions,
        fails=lambda candidate: bool(
            run_actions(candidate, seed=seed).problems
        ),
        has_time_left=lambda: time.perf_counter() < stop_at,
    )
    print(f"shortest failing list found: {len(shortest)} actions")
    for action in shortest:
        print(f"    {action!r},")


if __name__ == "__main__":
    fire.Fire(main)


__all__ = ["RunReport", "draw_actions", "run_actions"]

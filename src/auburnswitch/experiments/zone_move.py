"""Measures latency while an availability zone is taken out and back.

Run ``python -m auburnswitch.experiments.zone_move --help``.
"""

from __future__ import annotations

import asyncio
import collections
import json
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Final

import fire

from auburnswitch.experiments.arrivals import generate_arrivals
from auburnswitch.experiments.fleet import ZONES, Fleet, open_fleet
from auburnswitch.experiments.placement import (
    DAEMON_COUNT,
    ENGINE_COUNT,
    PREFILL_TOKENS_PER_S,
    RAMP_S,
    fleet_options,
    send_all,
    warm_up,
)
from auburnswitch.experiments.report import (
    LengthSummary,
    RequestSample,
    summarize_lengths,
)
from auburnswitch.schema.peers import LengthClass
from auburnswitch.standins.history import HistoryKind

PHASE_S: Final = 60.0
ENGINE_RESTART_S: Final = 10.0
ZONE_OUT_AT_S: Final = RAMP_S + PHASE_S
ZONE_BACK_AT_S: Final = ZONE_OUT_AT_S + PHASE_S
ENDS_AT_S: Final = ZONE_BACK_AT_S + PHASE_S
PHASE_BOUNDS_S: Final = {
    "before": (RAMP_S, ZONE_OUT_AT_S),
    "out": (ZONE_OUT_AT_S, ZONE_BACK_AT_S),
    "back": (ZONE_BACK_AT_S, ENDS_AT_S),
}


@dataclass(slots=True, kw_only=True)
class ZoneMoveSummary:
    """Results of the zone move for callers and engines.

    Attributes:
        policy: Name of the policy.
        load: Offered load as a share of the prefill capacity of all zones.
        phases: Summaries by length class, by name of the phase.
        lost: Number of requests without a complete answer, by result code.
        started_after_bound: Requests that an engine of the zone started more
            than three seconds after the ticket and before the zone's return.
        most_cold: Maximum number of concurrent requests on a cold engine.
        took_s: Wall time of the run, in seconds.
    """

    policy: str
    load: float
    phases: dict[str, dict[str, LengthSummary]] = field(default_factory=dict)
    lost: dict[str, int] = field(default_factory=dict)
    started_after_bound: int = 0
    most_cold: int = 0
    took_s: float = 0.0


def run_zone_move(policy: str, load: float, seed: int) -> ZoneMoveSummary:
    """Runs the scenario in virtual time and returns its summary."""
    # imported here because it needs a development dependency, which daemons
    # and tools lack
    from auburnswitch.experiments.virtual_time import run_virtual

    started_at = time.perf_counter()
    summary = run_virtual(lambda: _run(policy, load, seed))
    summary.took_s = round(time.perf_counter() - started_at, 1)
    return summary


async def _run(policy: str, load: float, seed: int) -> ZoneMoveSummary:
    arrivals = generate_arrivals(
        seed=seed,
        load=load,
        capacity_tokens_per_s=ENGINE_COUNT * PREFILL_TOKENS_PER_S,
        daemons=DAEMON_COUNT,
        duration_s=ENDS_AT_S,
    )
    async with open_fleet(fleet_options(policy)) as fleet:
        await warm_up(fleet)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        move_task = asyncio.create_task(_move_zone(fleet))
        samples = await send_all(fleet, arrivals)
        await move_task
        return _summarize(fleet, policy, load, samples, started_at)


async def _move_zone(fleet: Fleet) -> None:
    await asyncio.sleep(ZONE_OUT_AT_S)
    change = fleet.zone_change(ZONES[0], out=True)
    await fleet.apply(fleet.ticket([change], "the zone leaves"))
    await asyncio.sleep(ZONE_BACK_AT_S - ZONE_OUT_AT_S - ENGINE_RESTART_S)
    for number, engine in enumerate(fleet.engines.values()):
        if fleet.zone(number) == ZONES[0]:
            engine.crash("restart")  # the engine restarts cold
    await asyncio.sleep(ENGINE_RESTART_S)
    change = fleet.zone_change(ZONES[0])
    await fleet.apply(fleet.ticket([change], "the zone returns"))


def _summarize(
    fleet: Fleet,
    policy: str,
    load: float,
    samples: list[RequestSample],
    started_at: float,
) -> ZoneMoveSummary:
    summary = ZoneMoveSummary(policy=policy, load=load)
    for name, (begin_s, end_s) in PHASE_BOUNDS_S.items():
        phase_samples = [s for s in samples if begin_s <= s.offset_s < end_s]
        summary.phases[name] = summarize_lengths(phase_samples)
    lost = [s.result for s in samples if s.result != "ok"]
    summary.lost = dict(collections.Counter(lost))
    in_zone = {
        name
        for number, name in enumerate(fleet.engines)
        if fleet.zone(number) == ZONES[0]
    }
    running: collections.Counter[str] = collections.Counter()
    for record in fleet.history.records:
        offset_s = record.time_s - started_at
        match record.kind:
            case HistoryKind.REQUEST_STARTED:
                running[record.actor] += 1
                bound_s = ZONE_OUT_AT_S + 3
                if (
                    record.actor in in_zone
                    and bound_s < offset_s < ZONE_BACK_AT_S
                ):
                    summary.started_after_bound += 1
                if record.fields["cold"]:
                    max_on_cold = max(summary.most_cold, running[record.actor])
                    summary.most_cold = max_on_cold
            case HistoryKind.REQUEST_FINISHED | HistoryKind.REQUEST_CANCELLED:
                running[record.actor] -= 1
            case HistoryKind.CRASHED:
                running[record.actor] = 0
    return summary


def _summary_lines(summary: ZoneMoveSummary) -> list[str]:
    lines = [f"{summary.policy}, load {summary.load}"]
    for name, lengths in summary.phases.items():
        for length, row in lengths.items():
            lines.append(
                f"  {name}: {length}: p50 {row.p50_s:.3f} s,"
                f" p95 {row.p95_s:.3f} s, p99 {row.p99_s:.3f} s,"
                f" {row.outcomes}"
            )
    short = LengthClass.SHORT.name.lower()
    before_s = summary.phases["before"][short].p95_s
    ratio = summary.phases["out"][short].p95_s / before_s
    lines.append(f"  ratio of short p95, zone out to before: {ratio:.2f}")
    lines.append(f"  without a complete answer: {summary.lost or 'none'}")
    lines.append(
        f"  started in the zone over 3 s after the ticket:"
        f" {summary.started_after_bound};"
        f" most concurrent on a cold engine: {summary.most_cold}"
    )
    return lines


def main(
    *, policy: str = "owner", load: float = 0.5, seed: int = 1, save: str = ""
) -> None:
    """Takes a zone out and back under load and prints the results.

    Args:
        policy: Name of the policy, owner or two-choices.
        load: Offered load as a share of the prefill capacity of all zones.
        seed: Seed of the arrivals.
        save: Path of a JSON file for the results; empty to save nothing.
    """
    summary = run_zone_move(policy, load, seed)
    for line in _summary_lines(summary):
        print(line)
    if save:
        text = json.dumps(asdict(summary), indent=1)
        Path(save).write_text(text + "\n", "utf-8")


if __name__ == "__main__":
    fire.Fire(main, serialize=lambda _: None)


__all__ = ["ZoneMoveSummary", "run_zone_move"]

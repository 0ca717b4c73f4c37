"""Compares placement policies on the same arrivals, in virtual time.

Run ``python -m auburnswitch.experiments.placement run --help``.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import json
import multiprocessing
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final

import fire

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.arrivals import Arrival, generate_arrivals
from auburnswitch.experiments.caller import stream_completion
from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    Fleet,
    FleetOptions,
    open_fleet,
)
from auburnswitch.experiments.oracle import OraclePlacer
from auburnswitch.experiments.report import (
    RequestSample,
    RunSummary,
    comparison_lines,
    summarize_lengths,
    table_lines,
)
from auburnswitch.schema.peers import EndpointPhase, LengthClass
from auburnswitch.standins.engine_options import EngineOptions

if TYPE_CHECKING:
    from auburnswitch.schema.settings import Settings

ENGINE_COUNT: Final = 20
DAEMON_COUNT: Final = 9
ANSWER_TOKENS: Final = 4
PREFILL_TOKENS_PER_S: Final = 20_000
RAMP_S: Final = 30.0
WARM_AFTER_REQUESTS: Final = 2
WARM_UP_TOKENS: Final = 1_000
WARM_UP_TIMEOUT_S: Final = 120.0
BASELINE_LOAD_INTERVAL_S: Final = 0.5  # mean age of load reports: one second
POLICIES: Final = ("two-choices", "owner", "oracle")
LOADS: Final = (0.5, 0.9)
AUTHORIZATION_HEADERS: Final = {"Authorization": f"Bearer {CALLER_KEY}"}


@dataclass(slots=True, kw_only=True)
class RunOptions:
    """Options of one run of one policy.

    Attributes:
        policy: Name of the policy.
        load: Offered load as a share of the prefill capacity.
        shared: Whether the requests include long prompts.
        seed: Seed of the arrivals.
        ramp_s: Time until the queues are full, in seconds; requests that
            arrive during the ramp are not counted.
        duration_s: Time over which counted requests arrive, in seconds.
    """

    policy: str
    load: float
    shared: bool = True
    seed: int = 1
    ramp_s: float = RAMP_S
    duration_s: float = 300.0


def run_policy(options: RunOptions) -> RunSummary:
    """Runs one policy in virtual time and returns its summary."""
    # imported here because it needs a development dependency, which daemons
    # and tools lack
    from auburnswitch.experiments.virtual_time import run_virtual

    started_at = time.perf_counter()
    summary = run_virtual(lambda: _run(options))
    summary.took_s = round(time.perf_counter() - started_at, 1)
    return summary


async def _run(options: RunOptions) -> RunSummary:
    arrivals = generate_arrivals(
        seed=options.seed,
        load=options.load,
        capacity_tokens_per_s=ENGINE_COUNT * PREFILL_TOKENS_PER_S,
        daemons=DAEMON_COUNT,
        duration_s=options.ramp_s + options.duration_s,
    )
    if not options.shared:
        arrivals = [
            a for a in arrivals if a.length_class is not LengthClass.LONG
        ]
    async with open_fleet(fleet_options(options.policy)) as fleet:
        await warm_up(fleet)
        if options.policy == "oracle":
            install_oracle(fleet)
        samples = await send_all(fleet, arrivals)
        summary = RunSummary(
            policy=options.policy, load=options.load, shared=options.shared
        )
        summary.lengths = summarize_lengths(
            [sample for sample in samples if sample.offset_s >= options.ramp_s]
        )
    return summary


def fleet_options(policy: str) -> FleetOptions:
    """Returns the fleet options of the experiment for a policy."""
    # imported here because it needs a development dependency, which daemons
    # and tools lack
    from auburnswitch.experiments.virtual_time import SimulatedConnector

    def customize_settings(settings: Settings) -> None:
        if policy == "two-choices":
            settings.routing.policy = policy
            settings.endpoints.load_interval_s = BASELINE_LOAD_INTERVAL_S

    engine = EngineOptions(
        starts_warm=True,
        warm_after=WARM_AFTER_REQUESTS,
        prefill_tokens_per_second=PREFILL_TOKENS_PER_S,
    )
    return FleetOptions(
        engines=ENGINE_COUNT,
        daemons=DAEMON_COUNT,
        plain_services=0,
        engine=engine,
        endpoint={
            "warm_after": WARM_AFTER_REQUESTS,
            "prefill_tokens_per_second": PREFILL_TOKENS_PER_S,
        },
        customize_settings=customize_settings,
        connector=SimulatedConnector,
    )


async def warm_up(fleet: Fleet) -> None:
    """Sends short requests until every owner considers its engines warm.

    Raises:
        TimeoutError: An engine is not warm within `WARM_UP_TIMEOUT_S`.
    """
    number = 0
    async with asyncio.timeout(WARM_UP_TIMEOUT_S):
        while not _all_warm(fleet):
            batch = []
            for daemon_number in range(len(fleet.daemons)):
                arrival = Arrival(
                    offset_s=0,
                    length_class=LengthClass.SHORT,
                    tokens=WARM_UP_TOKENS,
                    daemon_number=daemon_number,
                    name=f"warm-up/{number}",
                )
                number += 1
                batch.append(send(fleet, arrival, monotonic_s()))
            await asyncio.gather(*batch)


def _all_warm(fleet: Fleet) -> bool:
    return all(
        daemon.endpoint_manager.local_hint(name).phase is EndpointPhase.WARM
        for daemon in fleet.daemons.values()
        for name in daemon.endpoint_manager.owned()
    )


def install_oracle(fleet: Fleet) -> None:
    """Replaces the placer of every daemon by an `OraclePlacer`."""
    pending = {name: {} for name in fleet.engines}
    for daemon in fleet.daemons.values():
        daemon.dispatcher.placer = OraclePlacer(
            placer=daemon.dispatcher.placer,
            engines=fleet.engines,
            pending=pending,
        )


async def send_all(
    fleet: Fleet, arrivals: list[Arrival]
) -> list[RequestSample]:
    """Sends every request at its arrival time and waits for all responses."""
    started_at = monotonic_s()
    async with asyncio.TaskGroup() as group:
        tasks = []
        for arrival in arrivals:
            await asyncio.sleep(started_at + arrival.offset_s - monotonic_s())
            tasks.append(group.create_task(send(fleet, arrival, started_at)))
    return [task.result() for task in tasks]


async def send(
    fleet: Fleet, arrival: Arrival, started_at: float
) -> RequestSample:
    """Sends one request and returns its outcome."""
    sent_at = monotonic_s()
    outcome = await stream_completion(
        fleet.session,
        fleet.caller_url(f"entry-{arrival.daemon_number}"),
        {
            "model": MODEL,
            "prompt": arrival.prompt(),
            "max_tokens": ANSWER_TOKENS,
        },
        AUTHORIZATION_HEADERS,
    )
    return RequestSample(
        offset_s=sent_at - started_at,
        length_class=arrival.length_class,
        result=outcome.result,
        first_token_s=outcome.first_token_s,
    )


def run(
    *,
    seed: int = 1,
    duration_s: float = 300.0,
    loads: tuple[float, ...] = LOADS,
    policies: tuple[str, ...] = POLICIES,
    processes: int = 3,
    save: str = "",
) -> None:
    """Runs each policy at each load and prints the comparison.

    Args:
        seed: Seed of the arrivals.
        duration_s: Time over which counted requests arrive, in seconds.
        loads: Offered loads as shares of the prefill capacity.
        policies: Names of the policies.
        processes: Number of runs in parallel.
        save: Path of a JSON file for the results; empty to save nothing.
    """
    plan = [
        RunOptions(
            policy=policy,
            load=load,
            shared=shared,
            seed=seed,
            duration_s=duration_s,
        )
        for load in sorted(loads, reverse=True)
        for shared in (True, False)
        for policy in policies
    ]
    runs = run_all(plan, processes)
    for line in [*table_lines(runs), "", *comparison_lines(runs)]:
        print(line)
    if save:
        text = json.dumps([summary.to_json() for summary in runs], indent=1)
        Path(save).write_text(text + "\n", "utf-8")


def run_all(plan: list[RunOptions], processes: int) -> list[RunSummary]:
    """Runs every item of a plan in a process of its own."""
    with concurrent.futures.ProcessPoolExecutor(
        processes,
        mp_context=multiprocessing.get_context("spawn"),
        max_tasks_per_child=1,
    ) as pool:
        runs = []
        for summary in pool.map(run_policy, plan):
            print(*table_lines([summary])[2:], sep="\n", file=sys.stderr)
            runs.append(summary)
        return runs


if __name__ == "__main__":
    fire.Fire({"run": run}, serialize=lambda _: None)


__all__ = [
    "DAEMON_COUNT",
    "ENGINE_COUNT",
    "PREFILL_TOKENS_PER_S",
    "RAMP_S",
    "RunOptions",
    "fleet_options",
    "install_oracle",
    "run_all",
    "run_policy",
    "send",
    "send_all",
    "warm_up",
]

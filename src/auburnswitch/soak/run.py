"""Runs soak tests and checks the guarantees on both sides of the daemons."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Final

import aiohttp

from auburnswitch.entry.monitoring_apps import METRICS_PATH
from auburnswitch.soak.availability_check import find_availability_problems
from auburnswitch.soak.fault_injector import FaultInjector
from auburnswitch.soak.fleet import FleetOptions, SoakFleet, open_fleet
from auburnswitch.soak.stop_checks import (
    check_stops,
    find_failed_tasks,
    summarise_stops,
)
from auburnswitch.soak.stop_injector import StopInjector
from auburnswitch.soak.stop_workload import STEP_S, StopWorkload
from auburnswitch.soak.workload_generator import (
    HTTP_OK,
    NOT_EXECUTED_STATUSES,
    RequestRecord,
    WorkloadGenerator,
    find_response_problem,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

CONCURRENT_CALLERS: Final = 4
RECOVERY_WAIT_S: Final = 6.0  # after it every request must succeed
RECOVERY_REQUESTS: Final = 30
STOP_CALLERS: Final = (8, 24, 64)  # few of them leave a daemon idle
STOP_GRACES_S: Final = (6.0, 8.0)
STOP_ROUTE_TIMEOUT_MS: Final = 20_000
STOP_GAP_AIMS_MS: Final = (250, 1000)  # below and above the longest pause
STOP_SLOTS: Final = 32
METRICS_INTERVAL_S: Final = 1.0
LAG_INTERVAL_S: Final = 0.05
MAX_RELEASE_S: Final = 4.0  # then no memory may be reserved
_MS_PER_S: Final = 1000.0


async def run_soak(seed: int, seconds: float, folder: Path) -> list[str]:
    """Runs one soak test.

    Args:
        seed: Seed of faults and requests.
        seconds: Time for which faults are injected.
        folder: Folder for the settings and logs of the daemons.

    Returns:
        Violations of the guarantees; empty if there are none.
    """
    rng = random.Random(seed)
    async with open_fleet(folder) as fleet:
        for daemon in fleet.daemons:
            await daemon.wait_until_ready()
        workload = WorkloadGenerator(fleet=fleet, rng=rng)
        caller_tasks = [
            asyncio.create_task(workload.run())
            for _ in range(CONCURRENT_CALLERS)
        ]
        injector = FaultInjector(fleet=fleet, rng=rng)
        await injector.run(seconds)
        await asyncio.sleep(RECOVERY_WAIT_S)
        for task in caller_tasks:
            task.cancel()
        await asyncio.gather(*caller_tasks, return_exceptions=True)
        problems = await _check_recovery(workload, fleet)
        problems += check_history(workload.records, fleet)
        fault_counts = Counter(injector.injected_faults)
        served = sum(record.status == HTTP_OK for record in workload.records)
        print(
            f"seed {seed}: {len(workload.records)} requests, {served} served,"
            f" {sum(fault_counts.values())} faults, {len(problems)} problems"
        )
    return problems


async def run_stop_soak(seed: int, seconds: float, folder: Path) -> list[str]:
    """Runs one soak test of planned stops; see `run_soak`."""
    rng = random.Random(seed)
    grace_s = rng.choice(STOP_GRACES_S)
    caller_count = rng.choice(STOP_CALLERS)
    options = FleetOptions(
        daemon_count=4,
        stop_grace_s=grace_s,
        gap_aim_ms=rng.choice(STOP_GAP_AIMS_MS),
        has_metrics=True,
        route_timeout_ms=STOP_ROUTE_TIMEOUT_MS,
        slots=STOP_SLOTS,
        engine={
            "Slots": STOP_SLOTS,
            "Stride": 1,
            "step_ms": STEP_S * _MS_PER_S,
        },
    )
    async with open_fleet(folder, options) as fleet:
        for daemon in fleet.daemons:
            await daemon.wait_until_ready()
        workload = StopWorkload(fleet=fleet, rng=rng)
        tasks = [
            asyncio.create_task(workload.run()) for _ in range(caller_count)
        ]
        tasks.append(asyncio.create_task(_scrape_metrics(fleet)))
        lags_s = [0.0]
        tasks.append(asyncio.create_task(_measure_lag(lags_s)))
        problems = []
        try:
            await StopInjector(fleet=fleet, rng=rng).run(seconds)
        except* (RuntimeError, TimeoutError) as errors:
            problems += [f"start: {error!r}" for error in errors.exceptions]
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        problems += [
            repr(error) for error in results if isinstance(error, Exception)
        ]
        await asyncio.sleep(MAX_RELEASE_S)
        problems += await _check_recovery(workload, fleet)
        problems += check_history(workload.records, fleet)
        stop_problems, endings = check_stops(workload.records, fleet)
        problems += stop_problems + find_failed_tasks(folder)
        print(
            f"seed {seed} stops: {caller_count} callers, aim of"
            f" {options.gap_aim_ms} ms,"
            f" {summarise_stops(workload.records, fleet, endings)},"
            f" {len(problems)} problems, soak itself late by up to"
            f" {max(lags_s):.2f} s"
        )
    return problems


async def _measure_lag(lags_s: list[float]) -> None:
    """Appends how late this process and its stand-ins are, in seconds."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + LAG_INTERVAL_S
        await asyncio.sleep(LAG_INTERVAL_S)
        lags_s.append(loop.time() - due_at)


async def _scrape_metrics(fleet: SoakFleet) -> None:
    async with aiohttp.ClientSession() as session:
        while True:
            await asyncio.sleep(METRICS_INTERVAL_S)
            for daemon in fleet.daemons:
                url = f"http://{daemon.metrics_address}{METRICS_PATH}"
                # A daemon that starts or stops may not answer.
                with contextlib.suppress(TimeoutError, aiohttp.ClientError):
                    async with (
                        asyncio.timeout(METRICS_INTERVAL_S),
                        session.get(url) as response,
                    ):
                        await response.read()


async def _check_recovery(
    workload: WorkloadGenerator, fleet: SoakFleet
) -> list[str]:
    """Sends requests after the last fault; every request must succeed."""
    for endpoint in fleet.endpoints.values():
        endpoint.faults.clear()
    async with aiohttp.ClientSession() as session:
        recovery_records = [
            await workload.send_request(session)
            for _ in range(RECOVERY_REQUESTS)
        ]
    await asyncio.sleep(0.5)  # reservations are released after the answers
    for endpoint in fleet.endpoints.values():
        endpoint.expire_reservations()
    return [
        f"after recovery: {record.path} returned {record.status}"
        for record in recovery_records
        if record.status != HTTP_OK
    ]


def check_history(
    records: Iterable[RequestRecord], fleet: SoakFleet
) -> list[str]:
    """Compares the records of the callers with those of the endpoints.

    Returns:
        Violations of the guarantees; empty if there are none.
    """
    run_counts: Counter[str] = Counter()
    problems = []
    for endpoint in fleet.endpoints.values():
        for request in endpoint.received_requests:
            run_counts[request.request_id] += request.ran
        for key in endpoint.reservations:  # neither released nor expired
            problems.append(f"{endpoint.id}: memory is still reserved by {key}")
    sent_ids = set()
    for record in records:
        sent_ids.add(record.id)
        run_count = run_counts[record.id]
        non_idempotent = record.path.startswith("/book")
        if non_idempotent and run_count > 1:
            problems.append(f"{record.id}: ran {run_count} times")
        if (
            non_idempotent
            and record.status in NOT_EXECUTED_STATUSES
            and run_count
        ):
            problems.append(f"{record.id}: reported as not executed, but ran")
        if problem := find_response_problem(record):
            problems.append(f"{record.id}: {problem}")
    problems += [
        f"{request_id}: ran, but was not sent"
        for request_id in run_counts.keys() - sent_ids
    ]
    return problems + find_availability_problems(records, fleet)


SCENARIOS: Final = {"faults": run_soak, "stops": run_stop_soak}


def main(arguments: list[str]) -> int:
    """Runs a soak test per seed; keeps the logs of seeds that fail.

    Args:
        arguments: First seed, number of seeds, seconds of faults per seed,
            and the scenario, `faults` if there is none.

    Returns:
        Exit code, 1 if a seed failed.
    """
    first_seed, seed_count, seconds = (int(text) for text in arguments[:3])
    run_scenario = SCENARIOS[arguments[3] if arguments[3:] else "faults"]
    failed_count = 0
    for seed in range(first_seed, first_seed + seed_count):
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        problems = asyncio.run(run_scenario(seed, seconds, Path(folder)))
        for problem in problems:
            print(f"  {problem}")
        if problems:
            failed_count += 1
            print(f"  logs: {folder}")
        else:
            shutil.rmtree(folder)
    print(f"{seed_count - failed_count} seeds passed, {failed_count} failed")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))


__all__ = ["check_history", "main", "run_soak", "run_stop_soak"]

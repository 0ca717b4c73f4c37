"""Runs soak tests and checks the guarantees on both sides of the daemons."""

from __future__ import annotations

import asyncio
import random
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Final

import aiohttp

from auburnswitch.platform.protocol import READINESS_PATH
from auburnswitch.soak.availability_check import find_availability_problems
from auburnswitch.soak.fault_injector import FaultInjector
from auburnswitch.soak.fleet import SoakFleet, open_fleet
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
READY_TIMEOUT_S: Final = 10.0


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
        await _wait_until_ready(fleet)
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


async def _wait_until_ready(fleet: SoakFleet) -> None:
    async with (
        aiohttp.ClientSession() as session,
        asyncio.timeout(READY_TIMEOUT_S),
    ):
        for daemon in fleet.daemons:
            url = f"http://{daemon.readiness_address}{READINESS_PATH}"
            while True:
                daemon.check_running()
                try:
                    async with session.get(url) as response:
                        if response.status == HTTP_OK:
                            break
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)  # port not open yet
                await asyncio.sleep(0.05)


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


def main(arguments: list[str]) -> int:
    """Runs a soak test per seed; keeps the logs of seeds that fail.

    Args:
        arguments: First seed, number of seeds, and seconds of faults per seed.

    Returns:
        Exit code, 1 if a seed failed.
    """
    first_seed, seed_count, seconds = (int(text) for text in arguments)
    failed_count = 0
    for seed in range(first_seed, first_seed + seed_count):
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        problems = asyncio.run(run_soak(seed, seconds, Path(folder)))
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


__all__ = ["check_history", "main", "run_soak"]

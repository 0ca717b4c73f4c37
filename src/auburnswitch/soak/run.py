"""Runs soaks and checks the promises from what both sides saw."""

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
RECOVERY_WAIT_S: Final = 6.0  # until every request is served again
RECOVERY_REQUESTS: Final = 30
READY_TIMEOUT_S: Final = 10.0


async def run_soak(seed: int, seconds: float, folder: Path) -> list[str]:
    """Runs one soak.

    Args:
        seed: Seed of faults and requests.
        seconds: Time for which faults are injected.
        folder: Where settings and logs of the daemons go.

    Returns:
        What was wrong, nothing if every promise held.
    """
    rng = random.Random(seed)
    async with open_fleet(folder) as fleet:
        await _until_ready(fleet)
        callers = WorkloadGenerator(fleet=fleet, rng=rng)
        running = [
            asyncio.create_task(callers.run())
            for _ in range(CONCURRENT_CALLERS)
        ]
        faults = FaultInjector(fleet=fleet, rng=rng)
        await faults.run(seconds)
        await asyncio.sleep(RECOVERY_WAIT_S)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        problems = await _check_recovery(callers, fleet)
        problems += check_history(callers.records, fleet)
        kinds = Counter(faults.injected_faults)
        served = sum(outcome.status == HTTP_OK for outcome in callers.records)
        print(
            f"seed {seed}: {len(callers.records)} requests, {served} served,"
            f" {sum(kinds.values())} faults, {len(problems)} problems"
        )
    return problems


async def _until_ready(fleet: SoakFleet) -> None:
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
                    await asyncio.sleep(0.05)  # it has not opened its port
                await asyncio.sleep(0.05)


async def _check_recovery(
    callers: WorkloadGenerator, fleet: SoakFleet
) -> list[str]:
    """Sends requests after the last fault; each must be served."""
    for runner in fleet.runners.values():
        runner.faults.clear()
    async with aiohttp.ClientSession() as session:
        last = [
            await callers.send_request(session)
            for _ in range(RECOVERY_REQUESTS)
        ]
    await asyncio.sleep(0.5)  # reservations are ended after the answers
    for runner in fleet.runners.values():
        runner.expire_reservations()
    return [
        f"after recovery: {outcome.path} got {outcome.status}"
        for outcome in last
        if outcome.status != HTTP_OK
    ]


def check_history(
    outcomes: Iterable[RequestRecord], fleet: SoakFleet
) -> list[str]:
    """Compares what callers saw with what endpoints did."""
    runs: Counter[str] = Counter()
    problems = []
    for runner in fleet.runners.values():
        for arrival in runner.received_requests:
            runs[arrival.request_id] += arrival.ran
        for key in runner.reservations:  # those that were not ended in time
            problems.append(f"{runner.id}: memory left reserved by {key}")
    known = set()
    for outcome in outcomes:
        known.add(outcome.id)
        count = runs[outcome.id]
        once = outcome.path.startswith("/book")
        if once and count > 1:
            problems.append(f"{outcome.id}: ran {count} times")
        if once and outcome.status in NOT_EXECUTED_STATUSES and count:
            problems.append(f"{outcome.id}: said not to have run, but has")
        if wrong := find_response_problem(outcome):
            problems.append(f"{outcome.id}: {wrong}")
    problems += [f"{name}: nobody sent it" for name in runs.keys() - known]
    return problems


def main(arguments: list[str]) -> int:
    """Runs seeds ``FIRST COUNT SECONDS``; keeps the logs of those that fail."""
    first, count, seconds = (int(text) for text in arguments)
    failed = 0
    for seed in range(first, first + count):
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        problems = asyncio.run(run_soak(seed, seconds, Path(folder)))
        for problem in problems:
            print(f"  {problem}")
        if problems:
            failed += 1
            print(f"  logs: {folder}")
        else:
            shutil.rmtree(folder)
    print(f"{count - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))


__all__ = ["check_history", "main", "run_soak"]

"""Measures the overhead of a call through a daemon over a direct engine call.

Starts a platform, engines and daemons as processes on loopback and calls the
engines alternately directly and through one daemon; then increases the number
of concurrent streams. Prints JSON. Times are meaningful only as ratios and
differences within one run.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.processes import (
    AUTHORIZATION_HEADERS,
    ProcessFleet,
    initial_ticket,
    open_process_fleet,
)

if TYPE_CHECKING:
    import aiohttp

CALL_PAIRS: Final = 150
WARM_UP_ROUNDS: Final = 4
ENGINE_COUNT: Final = 4
STREAM_COUNTS: Final = (50, 100, 200)
STREAM_TOKENS: Final = 150
BENCHMARK_PROMPT: Final = "hello " * 700


async def time_to_first_token_s(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str]
) -> float:
    """Returns the time to first token of one call, in seconds."""
    body = {
        "model": "chat",
        "prompt": BENCHMARK_PROMPT,
        "max_tokens": 1,
        "stream": True,
    }
    started_at = time.perf_counter()
    async with session.post(
        url + "/v1/completions", json=body, headers=headers
    ) as response:
        first_line = await response.content.readline()
        took_s = time.perf_counter() - started_at
        response_body = first_line + await response.read()
    if response.status != 200:
        raise RuntimeError(
            f"HTTP status {response.status}: {response_body!r:.300}"
        )
    return took_s


async def measure_first_token(fleet: ProcessFleet, url: str) -> dict[str, Any]:
    """Measures times to first token of alternating direct and routed calls."""
    direct, routed = [], []
    for number in range(CALL_PAIRS):
        engine = fleet.urls[f"engine-{number % ENGINE_COUNT}"]
        direct.append(await time_to_first_token_s(fleet.session, engine, {}))
        routed.append(
            await time_to_first_token_s(
                fleet.session, url, AUTHORIZATION_HEADERS
            )
        )
    added_ms = 1000 * (statistics.median(routed) - statistics.median(direct))
    return {
        "direct_median_ms": round(1000 * statistics.median(direct), 2),
        "routed_median_ms": round(1000 * statistics.median(routed), 2),
        "added_median_ms": round(added_ms, 2),
        "ratio": round(
            statistics.median(routed) / statistics.median(direct), 3
        ),
    }


async def run_stream(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str]
) -> None:
    """Requests one stream and reads it to its end."""
    body = {"model": "chat", "prompt": "hi", "stream": True}
    async with session.post(
        url + "/v1/completions",
        json=body | {"max_tokens": STREAM_TOKENS},
        headers=headers,
    ) as response:
        while await response.content.readany():
            pass


async def measure_streams(
    fleet: ProcessFleet, url: str, pid: int, count: int
) -> dict[str, Any]:
    """Measures concurrent streams, first direct and then routed."""
    engines = [fleet.urls[f"engine-{number}"] for number in range(ENGINE_COUNT)]
    started_at = time.perf_counter()
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            engine = engines[number % ENGINE_COUNT]
            group.create_task(run_stream(fleet.session, engine, {}))
    direct_s = time.perf_counter() - started_at
    cpu_before_s = cpu_time_s(pid)
    started_at = time.perf_counter()
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            group.create_task(
                run_stream(fleet.session, url, AUTHORIZATION_HEADERS)
            )
    routed_s = time.perf_counter() - started_at
    cpu_s = cpu_time_s(pid) - cpu_before_s
    tokens = count * STREAM_TOKENS
    return {
        "streams": count,
        "tokens_per_s": round(tokens / routed_s),
        "time_ratio": round(routed_s / direct_s, 3),
        "cpu_us_per_token": round(1e6 * cpu_s / tokens, 1),
        "daemon_cores": round(cpu_s / routed_s, 3),
        "resident_mb": resident_mb(pid),
    }


def cpu_time_s(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text("utf-8").rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / 100  # clock ticks of 10 ms


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text("utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


async def main() -> None:
    """Runs all measurements and prints the report."""
    async with open_process_fleet() as fleet:
        await fleet.start_standin("platform", "platform")
        for number in range(ENGINE_COUNT):
            await fleet.start_standin(
                f"engine-{number}",
                "engine",
                "--starts_warm",
                "--cache_tokens=0",
            )
        daemon = await fleet.start_daemon("entry-1")
        ticket = initial_ticket(fleet.urls, warm_after=1)
        for change in ticket["changes"]:
            if change["kind"] == "endpoint":
                change["endpoint"]["max_running"] = 512
        await fleet.apply("entry-1", ticket)
        await fleet.start_daemon("entry-2")
        await fleet.wait_ready(live=2)
        for _ in range(WARM_UP_ROUNDS):  # until every engine is warm
            await measure_streams(
                fleet, daemon.callers, daemon.process.pid, STREAM_COUNTS[0]
            )
        report = {
            "first_token": await measure_first_token(fleet, daemon.callers)
        }
        pid = daemon.process.pid
        report["streams"] = [
            await measure_streams(fleet, daemon.callers, pid, count)
            for count in STREAM_COUNTS
        ]
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    asyncio.run(main())

"""Measures how often prompt parts that crash engines reach them.

Entry daemons serve sound requests with shared prompt parts while others hold a
part that crashes each engine that begins to answer it. No two requests are
alike. A crashed engine is back after some seconds as another process.

Usage: python -m auburnswitch.experiments.crashing_parts CASE [--seed 1]
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import aiohttp
import fire

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.installation import (
    CALLER_KEYS,
    LoopbackInstallation,
    open_installation,
    wait_until,
)
from auburnswitch.observe.tasks import TaskSet, open_task_set
from auburnswitch.standins.caller_headers import request_headers
from auburnswitch.standins.crashable_engine import CrashableEngine
from auburnswitch.standins.installation_objects import remove_endpoint
from auburnswitch.standins.received_request import FIRST_BOOT_MS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.standins.received_request import ReceivedRequest

STABILITY_WINDOW_S: Final = 3.0
CRASHES_BEFORE_BOUND: Final = 5
ALLOWED_LATE_ARRIVALS: Final = 3
SOUND_PER_S: Final = 30.0
CRASHING_PER_S: Final = 3.0
SELF_CRASH_INTERVAL_S: Final = 0.8
CALM_S: Final = 1.5  # before the first crash
ENGINE_RESTART_S: Final = 2.0
ENTRY_REMOVAL_S: Final = 1.5  # after a crash
HEAD_SHARE: Final = 0.5
TEMPLATE_COUNT: Final = 2
DOCUMENT_COUNT: Final = 60
PARTS_HEADER: Final = "X-Prompt-Prefix"
TOKENS: Final = "1000,400"
_HTTP_OK: Final = 200


@dataclass(slots=True, kw_only=True)
class Case:
    """What crashes engines in a run.

    Attributes:
        crashing: Parts that crash engines, none if engines crash by themselves.
        position: Position of such a part among the shared parts.
        companion: Sound part that always comes with them, empty if none.
        keeps_id: Whether engines start again under the id that they had.
    """

    crashing: tuple[str, ...] = ("bad0",)
    position: int = 0
    companion: str = ""
    keeps_id: bool = False


CASES: Final = {
    "first": Case(),
    "second": Case(position=1),
    "two": Case(crashing=("bad0", "bad1"), position=1),
    "companion": Case(position=1, companion="fa11"),
    "same-id": Case(position=1, keeps_id=True),
    "none": Case(crashing=()),
}


@dataclass(slots=True, kw_only=True)
class Report:
    """What a run has shown; times are loop times in seconds.

    Attributes:
        arrivals: Arrivals at engines of requests with each crashing part.
        crashes: Crashes of engines.
        sound: Start of each sound request and whether its first attempt was
            answered whole.
        statuses: Answers to requests with a crashing part, by their start.
    """

    arrivals: dict[str, list[float]] = field(default_factory=dict)
    crashes: list[float] = field(default_factory=list)
    sound: list[tuple[float, bool]] = field(default_factory=list)
    statuses: list[tuple[float, int]] = field(default_factory=list)

    def late_arrivals(self, part: str) -> int:
        """Returns the arrivals that count against the users' bound."""
        times = sorted(self.arrivals.get(part, []))
        if len(times) < CRASHES_BEFORE_BOUND:
            return 0
        # Each arrival crashes its engine.
        bound_at = times[CRASHES_BEFORE_BOUND - 1] + STABILITY_WINDOW_S
        return sum(at > bound_at for at in times)

    def sound_share(self, since: float, until: float) -> float:
        """Returns the share of sound requests that were answered at once."""
        results = [ok for at, ok in self.sound if since <= at < until]
        return sum(results) / len(results) if results else 1.0


class CrashingPartsRun:
    """One run of a case.

    Attributes:
        case: What crashes engines.
        rng: Random generator of the workload.
        fleet: The installation.
        tasks: Running engines and calls.
        report: What has been seen.
        engines: Running engines.
    """

    def __init__(
        self,
        *,
        case: Case,
        rng: random.Random,
        fleet: LoopbackInstallation,
        tasks: TaskSet,
    ) -> None:
        self.case = case
        self.rng = rng
        self.fleet = fleet
        self.tasks = tasks
        self.report = Report()
        self.engines: list[CrashableEngine] = []
        self.crashing: tuple[str, ...] = ()
        self._numbers = itertools.count(1)

    async def run(self, *, engine_count: int, seconds: float) -> Report:
        """Plays the case and returns what was seen."""
        for number in range(engine_count):
            self.tasks.start(self._run_engine(number), "run an engine")
        daemons = self.fleet.daemons
        await wait_until(
            lambda: all(
                len(d.installation.endpoints) == engine_count
                and len(d.gossip.peers.live_peers()) == len(daemons) - 1
                for d in daemons
            )
        )
        self.tasks.start(self._send_sound(), "send sound requests")
        await asyncio.sleep(CALM_S)
        self.crashing = self.case.crashing
        sender = (
            self._send_crashing() if self.crashing else self._crash_engines()
        )
        self.tasks.start(sender, "crash engines")
        await asyncio.sleep(seconds - CALM_S)
        return self.report

    async def _run_engine(self, number: int) -> None:
        """Runs an engine and its successors, one after the other."""
        for boot in itertools.count():
            name = f"engine-{number}" + (
                f"-{boot}" if boot and not self.case.keeps_id else ""
            )
            engine = CrashableEngine(
                endpoint_id=name,
                boot_ms=FIRST_BOOT_MS + boot,
                crashes_on=self._crashes_on,
                sends_head=lambda: self.rng.random() < HEAD_SHARE,
            )
            async with engine.listen():
                self.fleet.endpoints[name] = engine
                self.fleet.addresses[name] = f"127.0.0.1:{engine.port}"
                self.fleet.put_endpoint(name, "engines")
                self.engines.append(engine)
                await engine.crashed.wait()
            self.engines.remove(engine)
            self.report.crashes.append(monotonic_s())
            await asyncio.sleep(ENTRY_REMOVAL_S)
            remove_endpoint(self.fleet.store, name)
            await asyncio.sleep(ENGINE_RESTART_S - ENTRY_REMOVAL_S)

    def _crashes_on(self, request: ReceivedRequest) -> bool:
        parts = request.headers.get(PARTS_HEADER.lower(), "")
        found = [part for part in self.crashing if f"{part}:" in parts]
        for part in found:
            times = self.report.arrivals.setdefault(part, [])
            times.append(request.received_at)
        return bool(found)

    def _draw_parts(self) -> list[str]:
        """Returns a template, two documents and a part of the request's own."""
        template = f"a{self.rng.randrange(TEMPLATE_COUNT)}"
        documents = self.rng.sample(range(DOCUMENT_COUNT), 2)
        own = f"e{next(self._numbers):06x}"
        return [template, *(f"d{n:03x}" for n in documents), own]

    async def _send_sound(self) -> None:
        while True:
            parts = self._draw_parts()
            self.tasks.start(self._call_sound(parts), "sound request")
            await asyncio.sleep(self.rng.expovariate(SOUND_PER_S))

    async def _send_crashing(self) -> None:
        while True:
            parts = self._draw_parts()
            parts.insert(self.case.position, self.rng.choice(self.crashing))
            if self.case.companion:
                parts.insert(-1, self.case.companion)
            self.tasks.start(self._call_crashing(parts), "crashing request")
            await asyncio.sleep(self.rng.expovariate(CRASHING_PER_S))

    async def _crash_engines(self) -> None:
        while True:
            await asyncio.sleep(SELF_CRASH_INTERVAL_S)
            if self.engines:
                self.rng.choice(self.engines).crash()

    async def _call_sound(self, parts: list[str]) -> None:
        started_at = monotonic_s()
        status = await self._call(parts)
        self.report.sound.append((started_at, status == _HTTP_OK))

    async def _call_crashing(self, parts: list[str]) -> None:
        started_at = monotonic_s()
        self.report.statuses.append((started_at, await self._call(parts)))

    async def _call(self, parts: list[str]) -> int:
        """Makes one request; returns its status, 0 if its answer broke off."""
        number = next(self._numbers)
        daemon = self.rng.randrange(len(self.fleet.daemons))
        key = self.rng.choice(CALLER_KEYS)
        headers = request_headers(f"parts-{number}", key, tokens=TOKENS)
        headers[PARTS_HEADER] = ",".join(f"{part}:250" for part in parts)
        url = f"{self.fleet.url(daemon)}/chat/{number}"
        try:
            async with self.fleet.session.post(
                url, headers=headers, data=f"body {number}".encode()
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError):
            return 0


@contextlib.asynccontextmanager
async def open_run(
    case: Case, *, seed: int, daemons: int = 3
) -> AsyncIterator[CrashingPartsRun]:
    """Opens an installation without engines for a run of a case."""
    async with (
        open_installation(
            engines=0, plain_services=0, daemons=daemons
        ) as fleet,
        open_task_set() as tasks,
    ):
        yield CrashingPartsRun(
            case=case, rng=random.Random(seed), fleet=fleet, tasks=tasks
        )


async def _measure(case: str, seed: int, seconds: float) -> None:
    async with open_run(CASES[case], seed=seed) as run:
        started_at = monotonic_s()
        report = await run.run(engine_count=12, seconds=seconds)
        calm_until = started_at + CALM_S
        later = started_at + CALM_S + 2 * STABILITY_WINDOW_S
        print(f"case {case}, seed {seed}, {seconds:g} s")
        for part, times in sorted(report.arrivals.items()):
            print(
                f"  {part}: {len(times)} arrivals, {report.late_arrivals(part)}"
                f" late ({ALLOWED_LATE_ARRIVALS} allowed)"
            )
        before = report.sound_share(started_at, calm_until)
        after = report.sound_share(later, started_at + seconds - 1)
        print(f"  crashes of engines: {len(report.crashes)}")
        print(f"  sound requests served: {before:.2f} -> {after:.2f}")


def main(case: str, seed: int = 1, seconds: float = 24.0) -> None:
    """Runs one case and prints what was seen.

    Args:
        case: Name of the case; see `CASES`.
        seed: Seed of the workload.
        seconds: Duration of the run.
    """
    asyncio.run(_measure(case, seed, seconds))


if __name__ == "__main__":
    fire.Fire(main)


__all__ = [
    "ALLOWED_LATE_ARRIVALS",
    "CASES",
    "CALM_S",
    "STABILITY_WINDOW_S",
    "CrashingPartsRun",
    "Report",
    "open_run",
]

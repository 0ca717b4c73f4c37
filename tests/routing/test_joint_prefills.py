"""Waves of long prompts on engines that read the newest part first.

The pattern: long prompts come faster than engines read them, all with the same
idle engines as helpers. Each new part goes before those that have begun, so
that the oldest joint reads stand still until they are given up.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from auburnswitch.clock import monotonic_s
from auburnswitch.routing.fleet_load import EndpointLoad
from auburnswitch.routing.placement_wait import wait_for_placement
from tests.routing.test_placement_wait import (
    TARGET_S,
    make_job,
    open_selector,
)
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from auburnswitch.routing.endpoint_selector import EndpointSelector

STEP_S = 0.005
ENGINES = 12
JOBS = 24
ARRIVAL_S = 0.35  # as much as the engines can read
LONGEST_S = 12.0


class NewestFirst:
    """Engines that read one part at a time, the newest one first.

    Attributes:
        parts: Time that each part still takes, the newest last, by engine.
    """

    def __init__(self) -> None:
        self.parts: dict[str, list[list[float]]] = {}

    async def run(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            for parts in self.parts.values():
                while parts and parts[-1][0] <= 0:
                    parts.pop()
                if parts:
                    parts[-1][0] -= STEP_S

    async def read(self, engines: list[str], part_s: float) -> None:
        """Returns once all engines have read their part."""
        mine = [[part_s] for _ in engines]
        for engine, part in zip(engines, mine, strict=True):
            self.parts.setdefault(engine, []).append(part)
        while any(part[0] > 0 for part in mine):
            await asyncio.sleep(STEP_S)


async def serve(selector: EndpointSelector, engines: NewestFirst, tokens: int):
    """Returns the time to the first token of one prompt, in seconds."""
    job = make_job(tokens)
    started_at = monotonic_s()
    placement = await wait_for_placement(selector, job)
    if placement is None:
        return LONGEST_S
    selector.start(job, placement)
    item = placement.item
    try:
        async with asyncio.timeout(LONGEST_S):
            await engines.read(
                [item.endpoint, *item.helpers], item.read_ms / 1000
            )
    except TimeoutError:
        return LONGEST_S
    finally:
        selector.end(placement)
    return monotonic_s() - started_at


async def wave() -> list[float]:
    """Returns the times to the first tokens of a wave of prompts."""
    selector, engines = open_selector(ENGINES), NewestFirst()
    running = asyncio.create_task(engines.run())
    rng = random.Random(3)
    tasks = []
    for _ in range(JOBS):
        tokens = rng.randint(120_000, 250_000)
        tasks.append(asyncio.create_task(serve(selector, engines, tokens)))
        await asyncio.sleep(ARRIVAL_S)
    times = await asyncio.gather(*tasks)
    running.cancel()
    return times


class WaveTest(unittest.TestCase):
    def test_reads_that_hold_up_only_what_stays_in_time(self):
        times = run_virtual(wave)
        with mock.patch.object(EndpointLoad, "joint_prefills", lambda *_: {}):
            shared = run_virtual(wave)
        self.assertEqual(_late(times), 0)
        self.assertGreater(_late(shared), 0)
        self.assertLess(sum(times), sum(shared))


def _late(times: list[float]) -> int:
    return sum(time > TARGET_S for time in times)


if __name__ == "__main__":
    unittest.main()

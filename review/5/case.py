"""A request that crashes its runners comes again after a rolling restart."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from runner import CRASHING_PATH
from small_system import (
    EXIT_BROKEN,
    EXIT_HELD,
    STABILITY_WINDOW_S,
    CaseError,
    Daemon,
    System,
    make_config,
    run_case,
)

CASE = Path(__file__).resolve().parent
ZONES = ("daejeon-a", "daejeon-b", "sejong-c")
CRASHES = 3
MAX_RETRIES = 3
COMES_AGAIN_S = 1.5
MAX_FIRST_S = 20.0
RESTART_GAP_S = 8.0
WATCHED_S = 55.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def come_again(system: System, stopped: set[Daemon]) -> None:
    """Sends the request to one daemon after the other until cancelled."""
    while True:
        for daemon in system.daemons:
            if daemon not in stopped:
                await system.request(daemon, CRASHING_PATH)
                await asyncio.sleep(COMES_AGAIN_S)


async def roll(system: System, stopped: set[Daemon]) -> None:
    """Stops and starts each daemon in turn.

    The request comes to a daemon again only once that is in touch.
    """
    for daemon in system.daemons:
        stopped.add(daemon)
        system.note(f"SIGTERM to {daemon.name}")
        await daemon.stop()
        system.note(f"{daemon.name} exited with {daemon.stop_status}")
        daemon.start(system.store.address)
        await daemon.wait_until_ready()
        system.note(f"{daemon.name} is ready again")
        await asyncio.sleep(STABILITY_WINDOW_S + 0.5)
        stopped.discard(daemon)
        await asyncio.sleep(RESTART_GAP_S)


async def play(system: System) -> int:
    """Plays the case and returns its exit status."""
    loop = asyncio.get_running_loop()
    system.store.put("config", "main", make_config(7))
    for number, zone in enumerate(ZONES, 1):
        runner = await system.add_runner(f"i-{number}", zone)
        runner.on_start = system.write_entry
    for number, zone in enumerate(ZONES, 1):
        await system.add_daemon(f"front-{number}", zone)
    for daemon in system.daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(2)

    stopped: set[Daemon] = set()
    caller = asyncio.create_task(come_again(system, stopped))
    ends_at = loop.time() + MAX_FIRST_S
    while len(system.runs) < CRASHES and loop.time() < ends_at:
        await asyncio.sleep(0.1)
    if len(system.runs) < CRASHES:
        raise CaseError("the request has not crashed three runners")
    counted_from = system.runs[CRASHES - 1].at + STABILITY_WINDOW_S
    system.note("the request has crashed the third runner")
    await asyncio.sleep(STABILITY_WINDOW_S + 1)

    ends_at = loop.time() + WATCHED_S
    if TROUBLE:
        await roll(system, stopped)
    await asyncio.sleep(max(0.0, ends_at - loop.time()))
    caller.cancel()
    await asyncio.gather(caller, return_exceptions=True)

    daemons = {daemon.name: daemon for daemon in system.daemons}
    counted = set()
    for run in system.runs:
        sender = daemons[system.sent_to[run.attempt]]
        if run.at > counted_from and sender.was_in_touch(run.at):
            counted.add(run.attempt)
    system.note(f"answers by status: {system.statuses}")
    broken = len(counted) > MAX_RETRIES
    result = (
        f"BUDGET {'broken' if broken else 'held'}: the request reached runners"
        f" in {len(counted)} retries through machines in touch, later than"
        f" {STABILITY_WINDOW_S:.0f} s after it had crashed the third"
    )
    print(result)
    system.note(result)
    return EXIT_BROKEN if broken else EXIT_HELD


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))

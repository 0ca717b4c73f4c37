"""A key is withdrawn while answers of the store are lost for a moment."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from small_system import (
    EXIT_BROKEN,
    EXIT_HELD,
    KEY,
    CaseError,
    System,
    make_config,
    run_case,
)

CASE = Path(__file__).resolve().parent
ZONES = ("daejeon-a", "daejeon-b", "sejong-c")
WITHDRAWN_KEY = "key-that-is-withdrawn"
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0
LOST_S = 0.5
WATCHED_S = 20.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def play(system: System) -> int:
    """Plays the case and returns its exit status."""
    store = system.store
    store.put("config", "main", make_config(7, (KEY, WITHDRAWN_KEY)))
    for number, zone in enumerate(ZONES, 1):
        await system.add_runner(f"i-{number}", zone)
    for number, zone in enumerate(ZONES, 1):
        await system.add_daemon(f"front-{number}", zone)
    for daemon in system.daemons:
        await daemon.wait_until_ready()
    senders = [
        asyncio.create_task(system.keep_sending(daemon, 0.2, WITHDRAWN_KEY))
        for daemon in system.daemons
    ]
    await asyncio.sleep(5)
    answered = store.answered
    store.put("config", "main", make_config(8, (KEY, WITHDRAWN_KEY)))
    system.note("config 8 is confirmed")
    await asyncio.sleep(2)

    if TROUBLE:
        store.lost_kind = "config"
    store.put("config", "main", make_config(9))
    withdrawn_at = asyncio.get_running_loop().time()
    system.note("config 9 is confirmed, without the key")
    await asyncio.sleep(LOST_S)
    store.lost_kind = ""
    await asyncio.sleep(2)
    system.note(
        f"the store has lost {store.lost} answers and given"
        f" {store.answered - answered} in 4.5 s"
    )
    await asyncio.sleep(WATCHED_S)
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*senders, return_exceptions=True)

    late_from = withdrawn_at + CONFIG_APPLY_S + MAX_STRETCH_S
    late = [
        run for run in system.runs if system.sent_at[run.attempt] > late_from
    ]
    system.note(f"answers by status: {system.statuses}")
    for daemon in system.daemons:
        mine = [r for r in late if system.sent_to[r.attempt] == daemon.name]
        last_s = max((r.at - withdrawn_at for r in mine), default=0)
        system.note(f"{daemon.name}: {len(mine)} late, last after {last_s:.1f}")
    if not any(run.at < withdrawn_at for run in system.runs):
        raise CaseError("nothing was served before the key was withdrawn")
    result = (
        f"CONFIG {'broken' if late else 'held'}: {len(late)} requests with the"
        f" withdrawn key ran that were sent later than"
        f" {CONFIG_APPLY_S + MAX_STRETCH_S:.0f} s after the confirmation"
    )
    print(result)
    system.note(result)
    return EXIT_BROKEN if late else EXIT_HELD


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))

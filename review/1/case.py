"""All daemons start again while the list holds an entry of another writer."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from metadata_store import NESTED
from small_system import (
    EXIT_BROKEN,
    EXIT_HELD,
    CaseError,
    System,
    make_config,
    run_case,
)

CASE = Path(__file__).resolve().parent
ZONES = ("daejeon-a", "daejeon-b", "sejong-c")
RECOVER_S = 12.0
DOWN_S = 0.6
MIN_SHARE = 0.25
WATCHED_S = 10.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The zone is no text.
ODD_ENTRY = {
    "Service": "booking-api",
    "Address": "127.0.0.1:9",
    "Zone": NESTED,
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 0,
}


async def play(system: System) -> int:
    """Plays the case and returns its exit status."""
    store = system.store
    store.put("config", "main", make_config(7))
    for number, zone in enumerate(ZONES, 1):
        await system.add_runner(f"i-{number}", zone)
    for number, zone in enumerate(ZONES, 1):
        await system.add_daemon(f"front-{number}", zone)
    for daemon in system.daemons:
        await daemon.wait_until_ready()
    senders = [
        asyncio.create_task(system.keep_sending(daemon, 0.1))
        for daemon in system.daemons
    ]
    await asyncio.sleep(5)
    if TROUBLE:
        store.put("servers", "i-other", ODD_ENTRY)
        system.note("another writer's entry is in the list")
    await asyncio.sleep(5)

    store.put("config", "main", make_config(8))
    system.note("config 8 is confirmed")
    killed_at = time.monotonic()
    for daemon in system.daemons:
        daemon.end()
    system.note("all daemons are killed")
    await asyncio.sleep(DOWN_S)
    for daemon in system.daemons:
        daemon.start(store.address)
    back_at = time.monotonic()
    system.note("all daemons are started again")
    system.statuses.clear()
    await asyncio.sleep(RECOVER_S + WATCHED_S)
    for daemon in system.daemons:
        status = await daemon.readiness()
        system.note(f"{daemon.name} answers the readiness check with {status}")
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*senders, return_exceptions=True)

    system.note(f"answers by status since then: {system.statuses}")
    system.note_logs("task_failed", "error")
    before = system.share_served(0.0, killed_at)
    after = system.share_served(back_at + RECOVER_S, time.monotonic() - 1)
    if before < MIN_SHARE:
        raise CaseError("too little was served before the daemons were killed")
    broken = after < MIN_SHARE
    result = (
        f"RECOVER {'broken' if broken else 'held'}: {before:.2f} of the"
        f" requests were served before the daemons were killed, {after:.2f} of"
        f" those that were sent later than {RECOVER_S:.0f} s after their return"
    )
    print(result)
    system.note(result)
    return EXIT_BROKEN if broken else EXIT_HELD


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))

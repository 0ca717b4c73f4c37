"""A zone is evacuated while the list holds an entry of another writer."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from small_system import (
    EXIT_BROKEN,
    EXIT_HELD,
    CaseError,
    System,
    make_config,
    run_case,
)

CASE = Path(__file__).resolve().parent
EVAC_S = 5.0
WATCHED_S = 12.0  # after the evacuation
ZONES = ("daejeon-a", "daejeon-b", "sejong-c")
# Slots is no count, and the service isn't one of the configuration.
ODD_ENTRY = {
    "Service": "another-service",
    "Address": "127.0.0.1:9",
    "Zone": "daejeon-a",
    "Version": "v1",
    "Slots": 1.7965e12,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 0,
}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def play(system: System) -> int:
    """Plays the case and returns its exit status."""
    store = system.store
    store.put("config", "main", make_config(7))
    for number, zone in enumerate(ZONES, 1):
        await system.add_runner(f"i-{number}", zone)
    for zone in ZONES:
        for number in (1, 2):
            await system.add_daemon(f"front-{zone}-{number}", zone)
    for daemon in system.daemons:
        await daemon.wait_until_ready()
    senders = [
        asyncio.create_task(system.keep_sending(daemon, 0.2))
        for daemon in system.daemons
    ]
    await asyncio.sleep(3)
    if TROUBLE:
        store.put("servers", "i-other", ODD_ENTRY)
        system.note("another writer's entry is in the list")
    await asyncio.sleep(4)

    store.put("evacuations", "daejeon-b", {})
    evacuated_at = asyncio.get_running_loop().time()
    system.note(f"daejeon-b is evacuated, revision {store.revision}")
    await asyncio.sleep(WATCHED_S)
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*senders, return_exceptions=True)

    late = [
        run
        for run in system.runs
        if run.zone == "daejeon-b" and run.at > evacuated_at + EVAC_S
    ]
    served = [run for run in system.runs if run.at > evacuated_at + EVAC_S]
    system.note(f"answers by status: {system.statuses}")
    for daemon in system.daemons:
        mine = [r for r in served if system.sent_to[r.attempt] == daemon.name]
        count = sum(run.zone == "daejeon-b" for run in mine)
        system.note(f"{daemon.name}: {count} of {len(mine)} ran there too late")
    system.note_logs("closed_zones_changed", "zones")
    system.note_logs("task_failed", "error")
    if not served:
        raise CaseError("nothing was served after the evacuation")
    result = (
        f"EVAC {'broken' if late else 'held'}: {len(late)} of {len(served)}"
        f" requests later than {EVAC_S:.0f} s after the evacuation ran in the"
        " evacuated zone"
    )
    print(result)
    system.note(result)
    return EXIT_BROKEN if late else EXIT_HELD


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))

"""A zone is evacuated after the store has come back from an older copy."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from small_system import (
    EXIT_BROKEN,
    EXIT_HELD,
    STABILITY_WINDOW_S,
    CaseError,
    System,
    make_config,
    run_case,
)

CASE = Path(__file__).resolve().parent
EVAC_S = 5.0
AWAY_S = 0.5
COPY_AGE_S = 4.0
WATCHED_S = 12.0  # after the evacuation
ZONES = ("daejeon-a", "daejeon-b", "sejong-c")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


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
    await asyncio.sleep(3)

    copy = store.copy_state()
    system.note(f"the store's copy is made, revision {store.revision}")
    await asyncio.sleep(0.5)
    store.put("evacuations", "daejeon-b", {})
    system.note(f"daejeon-b is evacuated, revision {store.revision}")
    await asyncio.sleep(1)
    store.put("config", "main", make_config(9))
    system.note(f"config 9 is written, revision {store.revision}")
    await asyncio.sleep(1)
    store.remove("evacuations", "daejeon-b")
    system.note(f"daejeon-b is taken back, revision {store.revision}")
    await asyncio.sleep(COPY_AGE_S - 2.5)

    if TROUBLE:
        system.note("the store is away")
        store.leave()
        await asyncio.sleep(AWAY_S)
        store.come_back(copy)
        system.note(f"the store is back, revision {store.revision}")
        store.put("config", "main", make_config(9))
        for runner in system.runners:
            system.write_entry(runner)
        system.note(f"config 9 is written again, revision {store.revision}")
    await asyncio.sleep(STABILITY_WINDOW_S + 2)

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

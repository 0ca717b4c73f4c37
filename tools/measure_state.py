"""Measures memory and time of a configuration by its number of objects.

Prints one JSON row per number of objects: memory of the state, time to join one
ticket, and size of the JSON snapshot.
"""

from __future__ import annotations

import json
import time
import tracemalloc
from typing import Final

from auburnswitch.configuration.state import ConfigState
from auburnswitch.schema.base import to_json
from auburnswitch.schema.objects import (
    AvailabilityZone,
    Change,
    Endpoint,
    ObjectKind,
    Service,
    Team,
    Ticket,
)

OBJECT_COUNTS: Final = (110, 220, 440, 880, 1760)
JOIN_REPEATS: Final = 20


def make_changes(object_count: int) -> list[Change]:
    """Returns changes with the mix of object kinds of the two-year size.

    Each 22 objects have one service, six teams and fifteen endpoints; zones
    replace the first five objects.
    """
    changes = [
        Change(
            kind=ObjectKind.AVAILABILITY_ZONE,
            name=f"zone-{number}",
            zone=AvailabilityZone(region="r"),
        )
        for number in range(5)
    ]
    while len(changes) < object_count:
        number = len(changes)
        changes.append(_make_change(number))
    return changes


def _make_change(number: int) -> Change:
    match number % 22:
        case 0:
            return Change(
                kind=ObjectKind.SERVICE,
                name=f"service-{number}",
                service=Service(),
            )
        case remainder if remainder < 7:
            team = Team(key_digests=[f"{number:064x}"])
            return Change(
                kind=ObjectKind.TEAM, name=f"team-{number}", team=team
            )
    endpoint = Endpoint(
        service=f"service-{22 * (number // 22)}",
        zone=f"zone-{number % 5}",
        host="10.0.0.1",
        port=8000,
    )
    return Change(
        kind=ObjectKind.ENDPOINT, name=f"engine-{number}", endpoint=endpoint
    )


def measure_state(object_count: int) -> dict[str, float]:
    """Measures a configuration with a given number of objects."""
    changes = make_changes(object_count)
    tracemalloc.start()
    state = ConfigState()
    state.join_ticket(Ticket(number=1, changes=make_changes(object_count)))
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_at = time.perf_counter()
    for number in range(2, JOIN_REPEATS + 2):
        state.join_ticket(Ticket(number=number, changes=changes[-1:]))
    join_s = (time.perf_counter() - started_at) / JOIN_REPEATS
    snapshot = json.dumps(to_json(state.snapshot()))
    return {
        "objects": object_count,
        "memory_kb": round(memory_bytes / 1024),
        "join_ms": round(1000 * join_s, 2),
        "snapshot_kb": round(len(snapshot) / 1024),
    }


if __name__ == "__main__":
    for size in OBJECT_COUNTS:
        print(json.dumps(measure_state(size)))

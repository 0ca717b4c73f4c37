"""Faults in which endpoints leave, or ask callers to come back later."""

from __future__ import annotations

import asyncio
import enum
import time
from typing import TYPE_CHECKING, Final

from auburnswitch.standins import installation_objects
from auburnswitch.standins.received_request import HTTP_DATE_FORMAT

if TYPE_CHECKING:
    import random

    from auburnswitch.soak.fleet import SoakFleet

LEAVING_RANGE_S: Final = (0.3, 1.5)
RENEWAL_RANGE_S: Final = (0.5, 4.0)  # until a process has written its entry
REFUSING_RANGE_S: Final = (0.1, 0.6)
LAPSE_SHARE: Final = 0.5  # of the entries of processes that left
DATE_DELAY_S: Final = 3
# Shorter than the wait for recovery; some of them mean nothing.
RETRY_AFTER_VALUES: Final = ("0.8", "1.5", "3", "soon", "-2", "date")


class EntryUpdate(enum.Enum):
    """When a leaving endpoint reports it in its entry."""

    BEFORE_RESPONSES = "before its responses do"
    AFTER_RESPONSES = "after its responses"
    NEVER = "never"


async def leave_endpoint(fleet: SoakFleet, rng: random.Random) -> None:
    """Lets an endpoint leave and start again under the same id."""
    name = rng.choice([*fleet.endpoints])
    update = rng.choice([*EntryUpdate])
    durations_s = [rng.uniform(*LEAVING_RANGE_S) for _ in range(2)]
    endpoint = fleet.endpoints[name]
    if endpoint.leaving:
        return
    if update is EntryUpdate.BEFORE_RESPONSES:
        fleet.put_endpoint(name, "draining")
        await asyncio.sleep(durations_s[0])
    endpoint.leaving = True
    await asyncio.sleep(durations_s[1])
    if update is EntryUpdate.AFTER_RESPONSES:
        fleet.put_endpoint(name, "draining")
        await asyncio.sleep(durations_s[0])
    endpoint.restart()
    fleet.put_endpoint(name)


async def leave_unlisted(fleet: SoakFleet, rng: random.Random) -> None:
    """Lets a process leave that answers before its entry names it.

    A sound process follows it, whose entry is late or lapses first.
    """
    name = rng.choice([*fleet.endpoints])
    renewal_s, leaving_s = (rng.uniform(*RENEWAL_RANGE_S) for _ in range(2))
    lapses = rng.random() < LAPSE_SHARE
    endpoint = fleet.endpoints[name]
    if endpoint.leaving:
        return
    endpoint.restart()
    endpoint.leaving = True
    await asyncio.sleep(renewal_s)
    fleet.put_endpoint(name)
    await asyncio.sleep(leaving_s)
    if lapses:
        installation_objects.remove_endpoint(fleet.store, name)
    endpoint.restart()
    await asyncio.sleep(renewal_s)
    fleet.put_endpoint(name)


async def defer_requests(fleet: SoakFleet, rng: random.Random) -> None:
    """Lets an endpoint refuse requests for a short time with a Retry-After."""
    endpoint = rng.choice([*fleet.endpoints.values()])
    value = rng.choice(RETRY_AFTER_VALUES)
    duration_s = rng.uniform(*REFUSING_RANGE_S)
    endpoint.retry_after = _http_date() if value == "date" else value
    await asyncio.sleep(duration_s)
    endpoint.retry_after = ""


def _http_date() -> str:
    return time.strftime(
        HTTP_DATE_FORMAT, time.gmtime(time.time() + DATE_DELAY_S)
    )


__all__ = ["EntryUpdate", "defer_requests", "leave_endpoint", "leave_unlisted"]

"""Stops a daemon: refuses new work, completes the rest, leaves the roster."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.observe.invariants import Invariant
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from auburnswitch.daemon.daemon import Daemon

DRAIN_POLL_INTERVAL_S: Final = 0.05
CUT_OFF_WAIT_S: Final = 0.5
EXIT_MARGIN_S: Final = 1.0  # for the clean-ups, the roster and the listeners
MAX_EXIT_MARGIN_SHARE: Final = 0.5  # of the grace time


async def drain(daemon: Daemon) -> None:
    """Refuses new work and leaves the roster when the rest is done.

    With a grace time, what is left at its end is cut off, so that callers see
    a broken connection and endpoints a cancelled request.
    """
    daemon.stopping = True
    log_event(EventId.DAEMON_STOPPING, member=daemon.member.id)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_wait_s(daemon)):
            await _wait_until_idle(daemon)
    if daemon.in_flight.count:
        await _cut_off(daemon)
    else:
        held = len(daemon.reservations.held)
        daemon.invariants.check(not held, Invariant.GRACEFUL_STOP, held=held)
    daemon.view.leaving = True
    await daemon.membership.hand_over_leases()
    await asyncio.sleep(daemon.settings.members.heartbeat_interval_s)
    await daemon.roster_manager.leave()


def _wait_s(daemon: Daemon) -> float | None:
    """Returns how long to wait for requests, in seconds; None for no limit."""
    grace_s = daemon.settings.daemon.stop_grace_s
    if not grace_s:
        return None
    margin_s = EXIT_MARGIN_S + daemon.settings.members.heartbeat_interval_s
    return grace_s - min(margin_s, grace_s * MAX_EXIT_MARGIN_SHARE)


async def _wait_until_idle(daemon: Daemon) -> None:
    await daemon.in_flight.idle.wait()
    while daemon.cleanup_tasks.tasks:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)


async def _cut_off(daemon: Daemon) -> None:
    log_event(EventId.REQUEST_UNFINISHED, in_flight=daemon.in_flight.count)
    daemon.caller_server.abort()
    with contextlib.suppress(TimeoutError):  # the rest ends with the process
        async with asyncio.timeout(CUT_OFF_WAIT_S):
            await _wait_until_idle(daemon)


__all__ = ["CUT_OFF_WAIT_S", "drain"]

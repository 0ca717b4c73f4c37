"""Handles the signals of the platform while the daemon runs and ends.

The handlers are not those of the event loop: these give way to the default
action, which ends the process, when the loop closes.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import TYPE_CHECKING, Final

from auburnswitch.entry.early_signals import EARLY_SIGNALS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


@contextlib.contextmanager
def stop_on_signal() -> Iterator[asyncio.Event]:
    """Yields an event that is set by the first SIGTERM or SIGINT.

    Further ones change nothing, up to the end of the process.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()

    def request_stop(*_: object) -> None:
        loop.call_soon_threadsafe(stop.set)

    for number in STOP_SIGNALS:
        signal.signal(number, request_stop)
    try:
        yield stop
    finally:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)


@contextlib.contextmanager
def reload_on_signal(reload: Callable[[], None]) -> Iterator[None]:
    """Calls a function at each SIGHUP, also for an early one.

    From the end of the context on SIGHUP is ignored.
    """
    loop = asyncio.get_running_loop()

    def schedule_reload(*_: object) -> None:
        loop.call_soon_threadsafe(reload)

    signal.signal(signal.SIGHUP, schedule_reload)
    if EARLY_SIGNALS.reload_requested:
        schedule_reload()
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


__all__ = ["reload_on_signal", "stop_on_signal"]

"""Handles signals that come before the daemon runs.

It is imported before all others, so it imports next to nothing.
"""

from __future__ import annotations

import signal
import sys


class EarlySignals:
    """Receives signals until the daemon handles them.

    Attributes:
        reload_requested: Whether SIGHUP has arrived.
    """

    __slots__ = ("reload_requested",)

    def __init__(self) -> None:
        self.reload_requested = False

    def listen(self) -> None:
        """Remembers SIGHUP and exits at SIGTERM, as no request is accepted."""
        signal.signal(signal.SIGHUP, self._remember_reload)
        signal.signal(signal.SIGTERM, _exit)

    def _remember_reload(self, *_: object) -> None:
        self.reload_requested = True


def _exit(*_: object) -> None:
    sys.exit(0)


EARLY_SIGNALS = EarlySignals()

__all__ = ["EARLY_SIGNALS", "EarlySignals"]

"""Remembers a reload signal that comes before the daemon can handle it.

It is imported before all others, so it imports next to nothing.
"""

from __future__ import annotations

import signal


class EarlyReload:
    """Receives SIGHUP until the daemon handles it.

    Attributes:
        requested: Whether a signal has arrived.
    """

    __slots__ = ("requested",)

    def __init__(self) -> None:
        self.requested = False

    def listen(self) -> None:
        """Starts to remember the signal instead of ending the process."""
        signal.signal(signal.SIGHUP, self._remember)

    def _remember(self, *_: object) -> None:
        self.requested = True


EARLY_RELOAD = EarlyReload()

__all__ = ["EARLY_RELOAD", "EarlyReload"]

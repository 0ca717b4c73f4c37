"""The daemon: creates, runs and stops all components."""

from __future__ import annotations

from auburnswitch.daemon.daemon import Daemon
from auburnswitch.daemon.run import open_daemon, run

__all__ = ["Daemon", "open_daemon", "run"]

"""Creates, runs and stops all components of the daemon."""

from __future__ import annotations

from auburnswitch.daemon.daemon import Daemon
from auburnswitch.daemon.run import open_daemon, run

__all__ = ["Daemon", "open_daemon", "run"]

"""Runs the daemon with ``python -m auburnswitch.daemon``."""

from __future__ import annotations

from auburnswitch.daemon.run import run

if __name__ == "__main__":
    run()

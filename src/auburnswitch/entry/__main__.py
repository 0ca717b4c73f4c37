"""Runs the entry daemon with ``python -m auburnswitch.entry``."""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)  # ignored during the slow imports

from auburnswitch.entry.run import run  # noqa: E402

if __name__ == "__main__":
    run()

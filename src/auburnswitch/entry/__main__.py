"""Runs the entry daemon with ``python -m auburnswitch.entry``."""

from __future__ import annotations

import gc
import signal

# A reload signal must not end the process during the slow imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
gc.disable()  # what the imports create stays in use

from auburnswitch.entry.run import run  # noqa: E402

if __name__ == "__main__":
    run()

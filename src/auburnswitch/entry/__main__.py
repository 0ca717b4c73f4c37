"""Runs the entry daemon with ``python -m auburnswitch.entry``."""

from __future__ import annotations

import gc

from auburnswitch.entry.early_signals import EARLY_SIGNALS

EARLY_SIGNALS.listen()  # before the slow imports
gc.disable()  # what the imports create stays in use

from auburnswitch.entry.run import run  # noqa: E402

if __name__ == "__main__":
    run()

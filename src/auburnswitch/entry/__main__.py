"""Runs the entry daemon with ``python -m auburnswitch.entry``."""

from __future__ import annotations

import gc

from auburnswitch.entry.early_reload import EARLY_RELOAD

# A reload signal must not end the process during the slow imports.
EARLY_RELOAD.listen()
gc.disable()  # what the imports create stays in use

from auburnswitch.entry.run import run  # noqa: E402

if __name__ == "__main__":
    run()

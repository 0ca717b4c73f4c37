"""Virtual time for tests; see the module that it comes from."""

from __future__ import annotations

from auburnswitch.experiments.virtual_time import (
    SimulatedConnector,
    open_session,
    run_virtual,
)

__all__ = ["SimulatedConnector", "open_session", "run_virtual"]

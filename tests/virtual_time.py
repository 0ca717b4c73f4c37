"""Virtual time for tests, from auburnswitch.experiments.virtual_time."""

from __future__ import annotations

import functools

from auburnswitch.experiments.virtual_time import (
    SimulatedConnector,
    open_session,
    run_virtual,
)


def in_virtual_loop(function):
    """Runs a synchronous test in an event loop with virtual time."""

    @functools.wraps(function)
    def test(self):
        async def run():
            function(self)

        run_virtual(run)

    return test


__all__ = [
    "SimulatedConnector",
    "in_virtual_loop",
    "open_session",
    "run_virtual",
]

"""Virtual time for tests; see `auburnswitch.experiments.virtual_time`."""

from __future__ import annotations

import functools
import inspect

from auburnswitch.experiments.virtual_time import (
    SimulatedConnector,
    open_session,
    run_virtual,
)


def in_virtual_loop(function):
    """Decorates a test to run inside a virtual-time event loop."""

    @functools.wraps(function)
    def test(self):
        async def run():
            result = function(self)
            if inspect.isawaitable(result):
                await result

        run_virtual(run)

    return test


__all__ = [
    "SimulatedConnector",
    "in_virtual_loop",
    "open_session",
    "run_virtual",
]

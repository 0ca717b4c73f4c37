"""Runs a daemon of a fleet as a simulated process."""

from __future__ import annotations

import asyncio
import contextvars
from typing import TYPE_CHECKING

from auburnswitch.daemon.stop import drain
from auburnswitch.experiments.process_context import PROCESS_NAME

if TYPE_CHECKING:
    import contextlib

    from auburnswitch.daemon import Daemon


class RunningDaemon:
    """Runs a daemon in a separate task.

    Attributes:
        process_name: Simulated process of the daemon's tasks, by which they can
            be frozen.
        daemon: The daemon; set once it has started.
        graceful: Whether to drain the daemon when it stops.
        stop_requested: Set to stop the daemon.
        task: The task that runs the daemon.
    """

    __slots__ = ("daemon", "graceful", "process_name", "stop_requested", "task")

    def __init__(self, *, process_name: str) -> None:
        self.process_name = process_name
        self.graceful = False
        self.stop_requested = asyncio.Event()

    async def start(
        self, daemon_context: contextlib.AbstractAsyncContextManager[Daemon]
    ) -> None:
        """Starts the daemon and waits until its listeners are open.

        Raises the error of a daemon that fails to start.
        """
        started = asyncio.get_running_loop().create_future()
        context = contextvars.copy_context()
        context.run(PROCESS_NAME.set, self.process_name)
        self.task = asyncio.create_task(
            self._run(daemon_context, started), context=context
        )
        await asyncio.wait(
            {self.task, started}, return_when=asyncio.FIRST_COMPLETED
        )
        if not started.done():
            await self.task  # raises the startup error
        self.daemon: Daemon = started.result()

    async def _run(
        self,
        daemon_context: contextlib.AbstractAsyncContextManager[Daemon],
        started: asyncio.Future[Daemon],
    ) -> None:
        async with daemon_context as daemon:
            started.set_result(daemon)
            await self.stop_requested.wait()
            if self.graceful:
                await drain(daemon)
            else:
                _abort(daemon)

    async def stop(self, *, graceful: bool) -> None:
        """Stops the daemon and waits until its task has ended."""
        self.graceful = graceful
        self.stop_requested.set()
        await self.task

    async def abort(self) -> None:
        """Closes the daemon's listeners and cancels its task in any state."""
        _abort(self.daemon)
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


def _abort(daemon: Daemon) -> None:
    for server in (daemon.caller_server, daemon.operator_server):
        if server is not None:
            server.abort()


__all__ = ["RunningDaemon"]

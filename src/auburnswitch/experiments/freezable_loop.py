"""Virtual-time event loop that can freeze, thaw and kill simulated processes.

A simulated process is named by a context variable that its tasks inherit. While
it is frozen none of its callbacks run, as in a process stopped by SIGSTOP: its
sockets stay open, received bytes stay unread, timers fire late, and the clock
advances.
"""

from __future__ import annotations

import asyncio
import collections
import contextvars
from typing import TYPE_CHECKING, Any

from async_solipsism.socket import ListenSocket

from auburnswitch.experiments.process_context import PROCESS_NAME
from auburnswitch.experiments.virtual_time import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Callable


DeferredTimer = tuple["Callable[[], None]", contextvars.Context]


class FreezableLoop(VirtualLoop):
    """Defers the callbacks of frozen simulated processes.

    Attributes:
        deferred_callbacks: Deferred callbacks, by name of the frozen process.
        deferred_timers: Timers that expired while frozen, by process name.
    """

    def __init__(self) -> None:
        super().__init__()
        self.deferred_callbacks: dict[
            str, collections.deque[asyncio.Handle]
        ] = {}
        self.deferred_timers: dict[str, list[DeferredTimer]] = {}

    def freeze(self, process_name: str) -> None:
        """Defers a process's callbacks and stops polling its sockets."""
        self.deferred_callbacks.setdefault(process_name, collections.deque())
        self._selector.suspend(
            process_name, lambda key: _belongs_to_process(key, process_name)
        )

    def kill(self, process_name: str) -> None:
        """Freezes a process forever and closes its sockets, like SIGKILL."""
        self.freeze(process_name)
        for key in self._selector.suspended_keys(process_name):
            handle = next(h for h in key.data if h is not None)
            transport = getattr(handle._callback, "__self__", None)
            if isinstance(transport, asyncio.Transport):
                transport.abort()
            elif isinstance(key.fd.socket, ListenSocket):
                self._stop_serving(key.fd.socket)

    def thaw(self, process_name: str) -> None:
        """Resumes a process: ready callbacks, then sockets, then timers.

        The loop of a real process resumes in this order, so bytes that arrived
        while it was frozen are read before an idle timeout fires.
        """
        self._ready.extend(self.deferred_callbacks.pop(process_name, ()))
        self._selector.resume(process_name)
        self.call_soon(self._resume_timers, process_name)

    def _resume_timers(self, process_name: str) -> None:
        for fire, context in self.deferred_timers.pop(process_name, ()):
            self.call_soon(fire, context=context)

    def _run_once(self) -> None:
        if self.deferred_callbacks:
            self._defer_callbacks()
        super()._run_once()

    def _defer_callbacks(self) -> None:
        for _ in range(len(self._ready)):
            handle = self._ready.popleft()
            deferred = self.deferred_callbacks.get(
                handle._context.get(PROCESS_NAME, "")
            )
            if deferred is None:
                self._ready.append(handle)
            else:
                deferred.append(handle)

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a callback; defers it while its process is frozen."""
        context = context or contextvars.copy_context()
        process_name = context.get(PROCESS_NAME, "")
        if not process_name:
            return super().call_at(when, callback, *args, context=context)

        def fire() -> None:
            if process_name in self.deferred_callbacks:
                deferred = self.deferred_timers.setdefault(process_name, [])
                deferred.append((fire, context))
            elif not timer.cancelled():
                callback(*args)

        timer = super().call_at(when, fire, context=context)
        return timer


def _belongs_to_process(key: Any, process_name: str) -> bool:
    return any(
        handle._context.get(PROCESS_NAME, "") == process_name
        for handle in key.data
        if handle is not None
    )


__all__ = ["FreezableLoop"]

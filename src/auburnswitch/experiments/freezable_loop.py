"""A virtual-time loop on which parts of a program can be frozen and thawed.

A part is named by a context variable that its tasks inherit. While the part is
frozen none of its callbacks run, as in a stopped process: sockets stay open,
bytes wait to be read, timers run late, and the clock has gone on at the thaw.
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
    """Holds back the callbacks of frozen parts.

    Attributes:
        deferred_callbacks: Callbacks held back, by the part's name.
        deferred_timers: Timers that have run out meanwhile, by the part's name.
    """

    def __init__(self) -> None:
        super().__init__()
        self.deferred_callbacks: dict[
            str, collections.deque[asyncio.Handle]
        ] = {}
        self.deferred_timers: dict[str, list[DeferredTimer]] = {}

    def freeze(self, process_name: str) -> None:
        """Stops a part."""
        self.deferred_callbacks.setdefault(process_name, collections.deque())
        self._selector.suspend(
            process_name, lambda key: _belongs(key, process_name)
        )

    def kill(self, process_name: str) -> None:
        """Ends a part as a killed process ends: its sockets are closed."""
        self.freeze(process_name)
        for key in self._selector.suspended_keys(process_name):
            handle = next(h for h in key.data if h is not None)
            owner = getattr(handle._callback, "__self__", None)
            if isinstance(owner, asyncio.Transport):
                owner.abort()
            elif isinstance(key.fd.socket, ListenSocket):
                self._stop_serving(key.fd.socket)

    def thaw(self, process_name: str) -> None:
        """Lets a part go on: what was ready, then sockets, then timers.

        That is the order in which the loop of a stopped process goes on, so
        bytes that came meanwhile are read before an idle timeout acts.
        """
        self._ready.extend(self.deferred_callbacks.pop(process_name, ()))
        self._selector.resume(process_name)
        self.call_soon(self._resume_timers, process_name)

    def _resume_timers(self, process_name: str) -> None:
        for fire, context in self.deferred_timers.pop(process_name, ()):
            self.call_soon(fire, context=context)

    def _run_once(self) -> None:
        if self.deferred_callbacks:
            self._hold_back()
        super()._run_once()

    def _hold_back(self) -> None:
        for _ in range(len(self._ready)):
            handle = self._ready.popleft()
            held = self.deferred_callbacks.get(
                handle._context.get(PROCESS_NAME, "")
            )
            if held is None:
                self._ready.append(handle)
            else:
                held.append(handle)

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a callback; a frozen part gets it after the thaw."""
        context = context or contextvars.copy_context()
        process_name = context.get(PROCESS_NAME, "")
        if not process_name:
            return super().call_at(when, callback, *args, context=context)

        def fire() -> None:
            if process_name in self.deferred_callbacks:
                late = self.deferred_timers.setdefault(process_name, [])
                late.append((fire, context))
            elif not timer.cancelled():
                callback(*args)

        timer = super().call_at(when, fire, context=context)
        return timer


def _belongs(key: Any, process_name: str) -> bool:
    return any(
        handle._context.get(PROCESS_NAME, "") == process_name
        for handle in key.data
        if handle is not None
    )


__all__ = ["FreezableLoop"]

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

from auburnswitch.experiments.parts import PART
from auburnswitch.experiments.virtual_time import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Callable


LateTimer = tuple["Callable[[], None]", contextvars.Context]


class FreezableLoop(VirtualLoop):
    """Holds back the callbacks of frozen parts.

    Attributes:
        frozen: Callbacks held back, by the part's name.
        late_timers: Timers that have run out meanwhile, by the part's name.
    """

    def __init__(self) -> None:
        super().__init__()
        self.frozen: dict[str, collections.deque[asyncio.Handle]] = {}
        self.late_timers: dict[str, list[LateTimer]] = {}

    def freeze(self, part: str) -> None:
        """Stops a part."""
        self.frozen.setdefault(part, collections.deque())
        self._selector.hold(part, lambda key: _belongs(key, part))

    def kill(self, part: str) -> None:
        """Ends a part as a killed process ends: its sockets are closed."""
        self.freeze(part)
        for key in self._selector.held(part):
            handle = next(h for h in key.data if h is not None)
            owner = getattr(handle._callback, "__self__", None)
            if isinstance(owner, asyncio.Transport):
                owner.abort()
            elif isinstance(key.fd.socket, ListenSocket):
                self._stop_serving(key.fd.socket)

    def thaw(self, part: str) -> None:
        """Lets a part go on: what was ready, then sockets, then timers.

        That is the order in which the loop of a stopped process goes on, so
        bytes that came meanwhile are read before an idle timeout acts.
        """
        self._ready.extend(self.frozen.pop(part, ()))
        self._selector.release(part)
        self.call_soon(self._resume_timers, part)

    def _resume_timers(self, part: str) -> None:
        for fire, context in self.late_timers.pop(part, ()):
            self.call_soon(fire, context=context)

    def _run_once(self) -> None:
        if self.frozen:
            self._hold_back()
        super()._run_once()

    def _hold_back(self) -> None:
        for _ in range(len(self._ready)):
            handle = self._ready.popleft()
            held = self.frozen.get(handle._context.get(PART, ""))
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
        part = context.get(PART, "")
        if not part:
            return super().call_at(when, callback, *args, context=context)

        def fire() -> None:
            if part in self.frozen:
                late = self.late_timers.setdefault(part, [])
                late.append((fire, context))
            elif not timer.cancelled():
                callback(*args)

        timer = super().call_at(when, fire, context=context)
        return timer


def _belongs(key: Any, part: str) -> bool:
    return any(
        handle._context.get(PART, "") == part
        for handle in key.data
        if handle is not None
    )


__all__ = ["FreezableLoop"]

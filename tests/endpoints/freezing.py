"""Stops and continues the tasks of one daemon within an event loop."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import types
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine, Generator, Iterator

_GROUP: contextvars.ContextVar[Freezer | None] = contextvars.ContextVar(
    "freezer", default=None
)


class Freezer:
    """Tasks that can be stopped together, as a stopped process is.

    Attributes:
        thawed: Done while the tasks run; None if they never were stopped.
    """

    def __init__(self) -> None:
        self.thawed: asyncio.Future[None] | None = None

    @property
    def frozen(self) -> bool:
        """Whether the tasks are stopped."""
        return self.thawed is not None and not self.thawed.done()

    def freeze(self) -> None:
        """Stops every step of the tasks."""
        self.thawed = asyncio.get_running_loop().create_future()

    def thaw(self) -> None:
        """Lets the tasks go on."""
        if self.thawed is not None and not self.thawed.done():
            self.thawed.set_result(None)

    @contextlib.contextmanager
    def joined(self) -> Iterator[None]:
        """Puts the tasks that are started in the context in the group."""
        token = _GROUP.set(self)
        try:
            yield
        finally:
            _GROUP.reset(token)


@types.coroutine
def _drive(
    coroutine: Coroutine[Any, Any, Any], group: Freezer
) -> Generator[Any, Any, Any]:
    error: BaseException | None = None
    while True:
        while group.frozen:
            try:
                yield from asyncio.shield(group.thawed).__await__()
            except asyncio.CancelledError as cancelled:
                error = cancelled  # delivered once the tasks go on
        try:
            waits_for = (
                coroutine.send(None)
                if error is None
                else coroutine.throw(error)
            )
        except StopIteration as stop:
            return stop.value
        error = None
        try:
            yield waits_for
        except BaseException as raised:
            error = raised


async def _run(coroutine: Coroutine[Any, Any, Any], group: Freezer) -> Any:
    return await _drive(coroutine, group)


def _make_task(
    loop: asyncio.AbstractEventLoop,
    coroutine: Coroutine[Any, Any, Any],
    context: contextvars.Context | None = None,
) -> asyncio.Task[Any]:
    group = _GROUP.get() if context is None else context.get(_GROUP, None)
    if group is not None:
        coroutine = _run(coroutine, group)
    return asyncio.Task(coroutine, loop=loop, context=context)


def install() -> None:
    """Makes the running loop start tasks in the freezer of their context."""
    asyncio.get_running_loop().set_task_factory(_make_task)


__all__ = ["Freezer", "install"]

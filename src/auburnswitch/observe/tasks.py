"""Runs background tasks and logs their unexpected errors."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine


class TaskSet:
    """A set of background tasks that are cancelled together.

    Attributes:
        tasks: Running tasks.
        errors: Unexpected errors that ended tasks.
    """

    __slots__ = ("errors", "tasks")

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()
        self.errors: list[BaseException] = []

    def start(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> asyncio.Task[Any]:
        """Starts a task and keeps a reference to it."""
        task = asyncio.create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        if error := task.exception():
            self.errors.append(error)
            log_event(
                EventId.TASK_FAILED, task=task.get_name(), error=repr(error)
            )

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def open_task_set() -> AsyncIterator[TaskSet]:
    """Yields a task set and cancels its tasks on exit."""
    tasks = TaskSet()
    try:
        yield tasks
    finally:
        await tasks.cancel()


__all__ = ["TaskSet", "open_task_set"]

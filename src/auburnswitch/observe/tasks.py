"""Runs background tasks and logs their unexpected errors."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

RESTART_DELAY_S: Final = 1.0
MAX_ERRORS: Final = 100


class TaskSet:
    """A set of background tasks that are cancelled together.

    Attributes:
        tasks: Running tasks.
        errors: Newest unexpected errors of tasks.
        cancelled: Whether the set has been cancelled; a task that is started
            later is cancelled before it runs.
    """

    __slots__ = ("cancelled", "errors", "tasks")

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()
        self.errors: list[BaseException] = []
        self.cancelled = False

    def start(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> asyncio.Task[Any]:
        """Starts a task and keeps a reference to it."""
        task = asyncio.create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        if self.cancelled:
            task.cancel()
        return task

    def supervise(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> asyncio.Task[None]:
        """Starts a task that begins again after each unexpected error."""
        return self.start(self._run_supervised(run, name), name)

    async def _run_supervised(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> None:
        while True:
            try:
                return await run()
            except Exception as error:
                self._record_error(name, error)
            await asyncio.sleep(RESTART_DELAY_S)

    def _record_error(self, name: str, error: BaseException) -> None:
        self.errors.append(error)
        del self.errors[:-MAX_ERRORS]
        log_event(EventId.TASK_FAILED, task=name, error=repr(error))

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        if error := task.exception():
            self._record_error(task.get_name(), error)

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        self.cancelled = True
        for task in list(self.tasks):
            task.cancel()
        while self.tasks:  # a task may start others while it ends
            await asyncio.gather(*self.tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def open_task_set(
    tasks: TaskSet | None = None,
) -> AsyncIterator[TaskSet]:
    """Yields a task set and cancels its tasks on exit.

    Args:
        tasks: The task set; None for a new one.
    """
    tasks = TaskSet() if tasks is None else tasks
    try:
        yield tasks
    finally:
        await tasks.cancel()


__all__ = ["RESTART_DELAY_S", "TaskSet", "open_task_set"]

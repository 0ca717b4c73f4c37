"""Collects internal errors that the daemons of this process log."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING, Final

from auburnswitch.experiments.process_context import PROCESS_NAME
from auburnswitch.observe.logs import LOGGER
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Iterator

FAILURE_EVENTS: Final = (EventId.TASK_FAILED, EventId.INVARIANT_VIOLATED)
DETAIL_FIELDS: Final = ("task", "error", "invariant", "details")


class FailureLogHandler(logging.Handler):
    """Collects log events of failed tasks and violated invariants.

    Attributes:
        problems: One line per log event.
    """

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.problems: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Adds a line for a failure event and ignores other events."""
        event = getattr(record, "event", 0)
        if event not in FAILURE_EVENTS:
            return
        details = {
            name: getattr(record, name)
            for name in DETAIL_FIELDS
            if hasattr(record, name)
        }
        name = EventId(event).name.lower()
        self.problems.append(f"{name}: {PROCESS_NAME.get('')} {details}")


@contextlib.contextmanager
def collect_failures() -> Iterator[FailureLogHandler]:
    """Yields a handler that collects failures until the context ends."""
    handler = FailureLogHandler()
    LOGGER.addHandler(handler)
    try:
        yield handler
    finally:
        LOGGER.removeHandler(handler)


__all__ = ["FailureLogHandler", "collect_failures"]

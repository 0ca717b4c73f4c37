"""Collects what daemons of this process log about faults of their own."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING, Final

from auburnswitch.experiments.parts import PART
from auburnswitch.observe.logs import LOGGER
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Iterator

FAULTS: Final = (EventId.TASK_FAILED, EventId.INVARIANT_VIOLATED)
DETAILS: Final = ("task", "error", "invariant", "details")


class FailureHandler(logging.Handler):
    """Keeps unexpected errors and violated invariants.

    Attributes:
        problems: One line for each.
    """

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.problems: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keeps one event."""
        event = getattr(record, "event", 0)
        if event not in FAULTS:
            return
        details = {
            name: getattr(record, name)
            for name in DETAILS
            if hasattr(record, name)
        }
        name = EventId(event).name.lower()
        self.problems.append(f"{name}: {PART.get('')} {details}")


@contextlib.contextmanager
def collect_failures() -> Iterator[FailureHandler]:
    """Yields a handler that collects until the context ends."""
    handler = FailureHandler()
    LOGGER.addHandler(handler)
    try:
        yield handler
    finally:
        LOGGER.removeHandler(handler)


__all__ = ["FailureHandler", "collect_failures"]

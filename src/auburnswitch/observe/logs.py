"""Writes structured logs with one JSON line per numbered event."""

from __future__ import annotations

import logging
import sys
from typing import Any, Final

from pythonjsonlogger.json import JsonFormatter

from auburnswitch.schema.events import EVENTID_INFO, EventId

LOGGER: Final = logging.getLogger("auburnswitch")
LOGGER.addHandler(logging.NullHandler())  # as a library, log nothing by default
_LEVELS: Final = {
    event: logging.getLevelNamesMapping()[info.options["level"].upper()]
    for event, info in EVENTID_INFO.items()
}


def configure_logs(level: str) -> None:
    """Logs events of a level and above to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    for logger in (LOGGER, logging.getLogger("uvicorn")):
        logger.handlers[:] = [handler]
        logger.propagate = False
    LOGGER.setLevel(level.upper())


def log_event(event: EventId, **fields: Any) -> None:
    """Logs one numbered event with its fields."""
    level = _LEVELS[event]
    if not LOGGER.isEnabledFor(level):
        return
    extra = {"event": int(event), "event_name": event.name.lower(), **fields}
    LOGGER.log(level, EVENTID_INFO[event].text, extra=extra)


__all__ = ["configure_logs", "log_event"]

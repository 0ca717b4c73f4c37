"""Splits a stream into server-sent events and compares their ids."""

from __future__ import annotations

import re
from typing import Final

_EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID: Final = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class SseEventSplitter:
    """Splits a byte stream into complete events.

    Attributes:
        buffer: Bytes of the last, still incomplete event.
    """

    __slots__ = ("buffer",)

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that data completes, each with its terminator."""
        self.buffer += data
        events = []
        start = 0
        for found in _EVENT_END.finditer(self.buffer):
            events.append(self.buffer[start : found.end()])
            start = found.end()
        self.buffer = self.buffer[start:]
        return events


def parse_event_id(event: bytes) -> str | None:
    """Returns the id of an event, or None if the event has none."""
    found = _EVENT_ID.search(event)
    return found[1].decode("latin-1").strip() if found else None


def is_newer_event(event: bytes, last_id: str | None) -> bool:
    """Returns whether an event is newer than the last one delivered.

    Numeric ids are compared as numbers; other ids only for equality. An
    event without an id counts as newer.
    """
    event_id = parse_event_id(event)
    if event_id is None or last_id is None:
        return True
    try:
        return int(event_id) > int(last_id)
    except ValueError:
        return event_id != last_id


__all__ = ["SseEventSplitter", "parse_event_id", "is_newer_event"]

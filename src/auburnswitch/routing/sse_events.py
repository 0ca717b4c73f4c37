"""Splits a stream into whole events and keeps their order."""

from __future__ import annotations

import re
from typing import Final

_EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID: Final = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class SseEventSplitter:
    """Cuts bytes into whole events.

    Attributes:
        buffer: Bytes of an event that is not whole yet.
    """

    __slots__ = ("buffer",)

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that are whole now, each with its end."""
        self.buffer += data
        events = []
        start = 0
        for found in _EVENT_END.finditer(self.buffer):
            events.append(self.buffer[start : found.end()])
            start = found.end()
        self.buffer = self.buffer[start:]
        return events


def parse_event_id(event: bytes) -> str | None:
    """Returns the id of an event, None if it has none."""
    found = _EVENT_ID.search(event)
    return found[1].decode("latin-1").strip() if found else None


def is_newer_event(event: bytes, last_id: str | None) -> bool:
    """Whether an event follows the last one that the caller has."""
    current = parse_event_id(event)
    if current is None or last_id is None:
        return True
    try:
        return int(current) > int(last_id)
    except ValueError:
        return current != last_id


__all__ = ["SseEventSplitter", "parse_event_id", "is_newer_event"]

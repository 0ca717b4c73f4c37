"""Splits a stream into server-sent events and compares their ids."""

from __future__ import annotations

import re
from typing import Final

MAX_EVENT_BYTES: Final = 2**20
_MAX_EVENT_END_BYTES: Final = 4
_EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_FIELD: Final = re.compile(rb"^[^:\r\n]", re.MULTILINE)
_EVENT_ID: Final = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventTooLargeError(Exception):
    """An event does not end within ``MAX_EVENT_BYTES``."""


class SseEventSplitter:
    """Splits a byte stream into complete events.

    Attributes:
        buffer: Bytes of the last, still incomplete event.
    """

    __slots__ = ("buffer",)

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that data completes, each with its terminator.

        Raises:
            EventTooLargeError: The incomplete event is too large.
        """
        searched_bytes = max(0, len(self.buffer) - _MAX_EVENT_END_BYTES + 1)
        self.buffer += data
        events = []
        start = 0
        for found in _EVENT_END.finditer(self.buffer, searched_bytes):
            events.append(bytes(self.buffer[start : found.end()]))
            start = found.end()
        del self.buffer[:start]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"an event is larger than {MAX_EVENT_BYTES} bytes"
            )
        return events


def has_fields(event: bytes) -> bool:
    """Returns whether an event is more than comments and empty lines.

    An endpoint may send such ones while it makes no progress.
    """
    return _FIELD.search(event) is not None


def parse_event_id(event: bytes) -> str | None:
    """Returns the id of an event, or None if the event has none."""
    found = _EVENT_ID.search(event)
    return found[1].decode("latin-1").strip() if found else None


def find_last_id(events: list[bytes], previous_id: str | None) -> str | None:
    """Returns the id of the last event that has one, else the previous id."""
    for event in reversed(events):
        event_id = parse_event_id(event)
        if event_id:
            return event_id
    return previous_id


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


__all__ = [
    "MAX_EVENT_BYTES",
    "EventTooLargeError",
    "SseEventSplitter",
    "find_last_id",
    "has_fields",
    "is_newer_event",
    "parse_event_id",
]

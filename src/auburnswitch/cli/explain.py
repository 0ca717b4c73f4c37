"""Merges the log events of one request from the logs of several daemons."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.cli.errors import EXIT_OK, EXIT_USAGE, CommandError

if TYPE_CHECKING:
    from collections.abc import Iterable

_OMITTED_FIELDS: Final = frozenset(
    {
        "time",
        "level",
        "message",
        "event",
        "event_name",
        "request",
        "request_id",
        "endpoint",
    }
)
# The entry daemon logs the first, the product's own daemon the second.
_REQUEST_FIELDS: Final = ("request", "request_id")
CONTEXT_EVENTS: Final = frozenset(
    {
        "endpoint_entry_changed",
        "endpoint_marked",
        "endpoint_mark_ended",
        "endpoint_suspected",
        "engine_load_differs",
        "crash_strike",
    }
)


@dataclass(slots=True, kw_only=True)
class LogLine:
    """One decoded line of a log file.

    Attributes:
        time: Time of day as logged.
        source: Log prefix before the JSON object, or name of the file.
        fields: All fields of the line.
    """

    time: str
    source: str
    fields: dict[str, Any]


def explain(request_id: str, log_files: Iterable[str]) -> int:
    """Prints the log events of a request and the related endpoint events.

    Args:
        request_id: Id of the request, or a prefix of the id.
        log_files: Logs of the daemons.

    Raises:
        CommandError: A file cannot be read, or no line refers to the request.
    """
    lines = [line for log_file in log_files for line in read_log(log_file)]
    request_lines = find_request_lines(request_id, lines)
    if not request_lines:
        raise CommandError(
            f"no log line refers to request {request_id}", EXIT_USAGE
        )
    for line in request_lines:
        print(format_line(line))
    return EXIT_OK


def read_log(log_file: str) -> list[LogLine]:
    """Returns the structured lines of a file; other lines are skipped.

    Raises:
        CommandError: The file cannot be read.
    """
    try:
        text = Path(log_file).read_text("utf-8", "replace")
    except OSError as error:
        reason = f"cannot read {log_file}: {error.strerror}"
        raise CommandError(reason, EXIT_USAGE) from error
    log_lines = []
    for raw in text.splitlines():
        start = raw.find("{")
        try:
            fields = json.loads(raw[start:]) if start >= 0 else None
        except ValueError:
            continue  # truncated, or written by another program
        if isinstance(fields, dict) and "event_name" in fields:
            source = raw[:start].strip() or Path(log_file).stem
            line = LogLine(
                time=str(fields.get("time", "")), source=source, fields=fields
            )
            log_lines.append(line)
    return log_lines


def find_request_lines(request_id: str, lines: list[LogLine]) -> list[LogLine]:
    """Returns a request's lines and related endpoint events, sorted by time.

    Related are the context events of the request's endpoints between the first
    and the last line of the request.
    """
    request_lines = [
        line
        for line in lines
        if any(
            str(line.fields.get(field, "")).startswith(request_id)
            for field in _REQUEST_FIELDS
        )
    ]
    if not request_lines:
        return []
    times = [line.time for line in request_lines]
    endpoints = {line.fields.get("endpoint") for line in request_lines} - {None}
    context = [
        line
        for line in lines
        if line.fields["event_name"] in CONTEXT_EVENTS
        and line.fields.get("endpoint") in endpoints
        and min(times) <= line.time <= max(times)
    ]
    return sorted([*request_lines, *context], key=lambda line: line.time)


def format_line(line: LogLine) -> str:
    """Returns a log line as text: time, source, event name and fields."""
    fields = line.fields
    parts = [line.time, line.source, str(fields["event_name"])]
    if "endpoint" in fields:
        parts.append(f"at {fields['endpoint']}")
    parts += [f"{k}={v}" for k, v in fields.items() if k not in _OMITTED_FIELDS]
    return " ".join(parts)


__all__ = ["explain", "find_request_lines", "read_log", "format_line"]

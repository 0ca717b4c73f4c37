"""Reads change tickets written in TOML."""

from __future__ import annotations

import tomllib
from typing import Any, Final

from auburnswitch.schema.base import SchemaError, from_json
from auburnswitch.schema.objects import Ticket

_TABLES: Final = {
    "teams": ("team", "team"),
    "zones": ("availability_zone", "zone"),
    "services": ("service", "service"),
    "endpoints": ("endpoint", "endpoint"),
}
_HEAD: Final = ("number", "author", "note")


def parse_ticket(text: str) -> Ticket:
    """Reads a ticket from TOML text.

    Raises:
        SchemaError: The text is not a ticket; the error names the place.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SchemaError("", f"not valid TOML: {error}") from error
    head = {name: data.pop(name) for name in _HEAD if name in data}
    changes: list[dict[str, Any]] = []
    for table, objects in data.items():
        if table not in _TABLES:
            raise SchemaError(table, "unknown field")
        if not isinstance(objects, dict):
            raise SchemaError(table, "must be a table")
        changes += [
            _change(table, name, value) for name, value in objects.items()
        ]
    return from_json(Ticket, head | {"changes": changes})


def _change(table: str, name: str, value: Any) -> dict[str, Any]:
    kind, field = _TABLES[table]
    change = {"kind": kind, "name": name}
    if not isinstance(value, dict):
        raise SchemaError(f"{table}.{name}", "must be a table")
    if value == {"deleted": True}:
        return change | {"deleted": True}
    return change | {field: value}


__all__ = ["parse_ticket"]

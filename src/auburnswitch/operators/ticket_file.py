"""Parses change tickets in TOML format."""

from __future__ import annotations

import tomllib
from typing import Any, Final

from auburnswitch.schema.base import SchemaError, from_json
from auburnswitch.schema.objects import Ticket

_KIND_AND_FIELD_BY_TABLE: Final = {
    "teams": ("team", "team"),
    "zones": ("availability_zone", "zone"),
    "services": ("service", "service"),
    "endpoints": ("endpoint", "endpoint"),
}
_HEAD_FIELDS: Final = ("number", "author", "note")


def parse_ticket(text: str) -> Ticket:
    """Parses a ticket from TOML text.

    Raises:
        SchemaError: The text is not a valid ticket; the error gives the path
            of the invalid field.
    """
    try:
        data = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise SchemaError("", f"not valid TOML: {error}") from error
    head = {name: data.pop(name) for name in _HEAD_FIELDS if name in data}
    changes: list[dict[str, Any]] = []
    for table_name, objects in data.items():
        if table_name not in _KIND_AND_FIELD_BY_TABLE:
            raise SchemaError(table_name, "unknown field")
        if not isinstance(objects, dict):
            raise SchemaError(table_name, "must be a table")
        changes += [
            _make_change(table_name, name, value)
            for name, value in objects.items()
        ]
    return from_json(Ticket, head | {"changes": changes})


def _make_change(table_name: str, name: str, value: Any) -> dict[str, Any]:
    kind, field = _KIND_AND_FIELD_BY_TABLE[table_name]
    change = {"kind": kind, "name": name}
    if not isinstance(value, dict):
        raise SchemaError(f"{table_name}.{name}", "must be a table")
    if value == {"deleted": True}:
        return change | {"deleted": True}
    return change | {field: value}


__all__ = ["parse_ticket"]

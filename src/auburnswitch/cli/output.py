"""Prints results as JSON or as tables."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence


def print_json(data: Any) -> None:
    """Prints indented JSON."""
    print(json.dumps(data, indent=2, sort_keys=True))


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Prints rows under their column names."""
    table = [list(columns)] + [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[column]) for row in table) for column in range(len(columns))
    ]
    for row in table:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        print("  ".join(cells).rstrip())


def print_fields(fields: dict[str, Any]) -> None:
    """Prints names and values, one pair per line."""
    for name, value in fields.items():
        text = ", ".join(map(str, value)) if isinstance(value, list) else value
        print(f"{name}: {text}")


__all__ = ["print_fields", "print_json", "print_table"]

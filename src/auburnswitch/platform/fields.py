"""Reads typed fields of decoded JSON objects."""

from __future__ import annotations

import math
from typing import Any, Final

MAX_INT32: Final = 2**31 - 1
MAX_INT64: Final = 2**63 - 1


class FieldError(ValueError):
    """A field is missing or does not have the type of the protocol."""


def text(data: Any, name: str) -> str:
    """Returns a string.

    Raises:
        FieldError: The field is missing or is no text.
    """
    value = _field(data, name)
    if not is_text(value):
        raise FieldError(f"{name} must be text")
    return value


def is_text(value: Any) -> bool:
    """Returns whether a value is a string that can be sent as UTF-8.

    JSON may name half of a surrogate pair, which cannot.
    """
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def number(data: Any, name: str, default: float | None = None) -> float:
    """Returns a finite number, the default if the field is missing.

    Raises:
        FieldError: The field is not a finite number, or is missing without a
            default.
    """
    value = _field(data, name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f"{name} must be a number")
    try:
        converted = float(value)
    except OverflowError as error:
        raise FieldError(f"{name} is too large") from error
    if not math.isfinite(converted):
        raise FieldError(f"{name} is not finite")
    return converted


def integer(
    data: Any,
    name: str,
    default: int | None = None,
    *,
    minimum: int = 0,
    maximum: int = MAX_INT32,
) -> int:
    """Returns an integer, the default if the field is missing.

    The bounds are those of the messages between daemons, which could not be
    sent otherwise.

    Args:
        data: The decoded object.
        name: Name of the field.
        default: Value if the field is missing, which may be out of bounds.
        minimum: Smallest value.
        maximum: Largest value.

    Raises:
        FieldError: The field is not a whole number within the bounds, or is
            missing without a default.
    """
    value = number(data, name, default)
    if not value.is_integer():
        raise FieldError(f"{name} must be a whole number")
    if value != default and not minimum <= value <= maximum:
        raise FieldError(f"{name} must be from {minimum} to {maximum}")
    return int(value)


def flag(data: Any, name: str) -> bool:
    """Returns a boolean, False if the field is missing.

    Raises:
        FieldError: The field is not a boolean.
    """
    value = _field(data, name, False)
    if not isinstance(value, bool):
        raise FieldError(f"{name} must be true or false")
    return value


def items(data: Any, name: str) -> list[Any]:
    """Returns a list, empty if the field is missing.

    Raises:
        FieldError: The field is not a list.
    """
    value = _field(data, name, [])
    if not isinstance(value, list):
        raise FieldError(f"{name} must be a list")
    return value


def child(data: Any, name: str) -> dict[str, Any] | None:
    """Returns a nested object, None if the field is missing.

    Raises:
        FieldError: The field is not an object.
    """
    value = data.get(name) if isinstance(data, dict) else None
    if value is not None and not isinstance(value, dict):
        raise FieldError(f"{name} must be an object")
    return value


def _field(data: Any, name: str, default: Any = None) -> Any:
    if not isinstance(data, dict):
        raise FieldError("must be an object")
    value = data.get(name)
    if value is None:
        value = default
    if value is None:
        raise FieldError(f"{name} is missing")
    return value


__all__ = [
    "MAX_INT32",
    "MAX_INT64",
    "FieldError",
    "child",
    "flag",
    "integer",
    "is_text",
    "items",
    "number",
    "text",
]

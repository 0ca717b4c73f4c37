"""Checks that an encoded message holds as many items as it claims.

The decoder reads a list of a type that takes no bytes as often as the list
says, which a message of a few bytes can make two billion times. So the
message is walked through first, by its own account of its types.
"""

from __future__ import annotations

import struct
from typing import Final

from thriftpy2.thrift import TType

MAX_NESTING_DEPTH: Final = 64
_FIXED_BYTES: Final = {
    TType.BOOL: 1,
    TType.BYTE: 1,
    TType.I16: 2,
    TType.I32: 4,
    TType.I64: 8,
    TType.DOUBLE: 8,
}
_FIELD_HEAD_BYTES: Final = 3  # type and number
_STRING: Final = int(TType.STRING)
_STRUCT: Final = int(TType.STRUCT)
_MAP: Final = int(TType.MAP)
_LISTS: Final = (int(TType.LIST), int(TType.SET))
_LENGTH: Final = struct.Struct(">i")
_LIST_HEAD: Final = struct.Struct(">Bi")
_MAP_HEAD: Final = struct.Struct(">BBi")


class MalformedMessageError(ValueError):
    """A message is cut short, or claims what it does not hold."""


def validate_message(data: bytes) -> None:
    """Checks a struct in thrift's binary protocol.

    Raises:
        MalformedMessageError: It is not a whole struct of known types.
    """
    try:
        _skip_struct(data, 0, MAX_NESTING_DEPTH)
    except (IndexError, struct.error) as error:
        raise MalformedMessageError("the message is cut short") from error


def _skip_struct(data: bytes, at: int, depth: int) -> int:
    """Returns the offset after a struct."""
    if depth == 0:
        raise MalformedMessageError("the message is nested too deep")
    while kind := data[at]:  # zero ends the struct
        if kind in _FIXED_BYTES:  # most fields are, so without a call
            at += _FIELD_HEAD_BYTES + _FIXED_BYTES[kind]
        else:
            at = _skip_value(data, at + _FIELD_HEAD_BYTES, kind, depth)
    return at + 1


def _skip_value(data: bytes, at: int, kind: int, depth: int) -> int:
    """Returns the offset after a value, which may lie beyond the end."""
    if kind == _STRING:
        (size,) = _LENGTH.unpack_from(data, at)
        return at + _LENGTH.size + _count(size)
    if kind == _STRUCT:
        return _skip_struct(data, at, depth - 1)
    if kind in _LISTS:
        item, size = _LIST_HEAD.unpack_from(data, at)
        at += _LIST_HEAD.size
        return _skip_items(data, at, (item,), _count(size), depth - 1)
    if kind == _MAP:
        key, value, size = _MAP_HEAD.unpack_from(data, at)
        at += _MAP_HEAD.size
        return _skip_items(data, at, (key, value), _count(size), depth - 1)
    if fixed := _FIXED_BYTES.get(kind):
        return at + fixed
    raise MalformedMessageError(f"unknown type {kind}")


def _skip_items(
    data: bytes, at: int, kinds: tuple[int, ...], count: int, depth: int
) -> int:
    """Returns the offset after the items of a list, a set or a map."""
    if depth == 0:
        raise MalformedMessageError("the message is nested too deep")
    if count == 0:
        return at
    sizes = [_FIXED_BYTES.get(kind) for kind in kinds]
    if None not in sizes:
        return at + count * sum(sizes)
    if count > len(data) - at:  # each item takes a byte at least
        raise MalformedMessageError("the message is cut short")
    for _ in range(count):
        for kind in kinds:
            at = _skip_value(data, at, kind, depth)
    return at


def _count(size: int) -> int:
    if size < 0:
        raise MalformedMessageError("a size is negative")
    return size


__all__ = ["MalformedMessageError", "validate_message"]

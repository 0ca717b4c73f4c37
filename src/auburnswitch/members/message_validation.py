"""Checks that an encoded message is as long as stated, and its strings UTF-8.

The decoder loops as often as a list's count states, even if its items take no
bytes, so a message of a few bytes can cause two billion iterations. Therefore
the message is first traversed by its encoded types and counts.
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
    """A message is truncated, too deep, or has a wrong type or size."""


def validate_message(data: bytes) -> None:
    """Checks a struct in thrift's binary protocol.

    Raises:
        MalformedMessageError: The data is not a complete struct of known
            types, or has a string that is no UTF-8.
    """
    try:
        _skip_struct(data, 0, MAX_NESTING_DEPTH)
    except (IndexError, struct.error) as error:
        raise MalformedMessageError("message is truncated") from error


def _skip_struct(data: bytes, offset: int, depth: int) -> int:
    """Returns the offset after a struct."""
    if depth == 0:
        raise MalformedMessageError("message is nested too deep")
    while type_code := data[offset]:  # zero ends the struct
        if type_code in _FIXED_BYTES:  # most fields: skipped without a call
            offset += _FIELD_HEAD_BYTES + _FIXED_BYTES[type_code]
        else:
            offset = _skip_value(
                data, offset + _FIELD_HEAD_BYTES, type_code, depth
            )
    return offset + 1


def _skip_value(data: bytes, offset: int, type_code: int, depth: int) -> int:
    """Returns the offset after a value, which may lie beyond the end."""
    if type_code == _STRING:
        (size,) = _LENGTH.unpack_from(data, offset)
        start = offset + _LENGTH.size
        end = start + _check_size(size)
        _check_text(data[start:end])
        return end
    if type_code == _STRUCT:
        return _skip_struct(data, offset, depth - 1)
    if type_code in _LISTS:
        item_type, size = _LIST_HEAD.unpack_from(data, offset)
        offset += _LIST_HEAD.size
        return _skip_items(
            data, offset, (item_type,), _check_size(size), depth - 1
        )
    if type_code == _MAP:
        key_type, value_type, size = _MAP_HEAD.unpack_from(data, offset)
        offset += _MAP_HEAD.size
        return _skip_items(
            data, offset, (key_type, value_type), _check_size(size), depth - 1
        )
    if fixed_size := _FIXED_BYTES.get(type_code):
        return offset + fixed_size
    raise MalformedMessageError(f"unknown thrift type {type_code}")


def _skip_items(
    data: bytes,
    offset: int,
    item_types: tuple[int, ...],
    count: int,
    depth: int,
) -> int:
    """Returns the offset after the items of a list, a set or a map."""
    if depth == 0:
        raise MalformedMessageError("message is nested too deep")
    if count == 0:
        return offset
    sizes = [_FIXED_BYTES.get(type_code) for type_code in item_types]
    if None not in sizes:
        return offset + count * sum(sizes)
    if count > len(data) - offset:  # each item takes at least a byte
        raise MalformedMessageError("message is truncated")
    for _ in range(count):
        for type_code in item_types:
            offset = _skip_value(data, offset, type_code, depth)
    return offset


def _check_text(text: bytes) -> None:
    """Checks a string, which the decoder leaves as bytes if it is no UTF-8."""
    try:
        text.decode()
    except UnicodeDecodeError as error:
        raise MalformedMessageError("a string is not UTF-8") from error


def _check_size(size: int) -> int:
    if size < 0:
        raise MalformedMessageError("size is negative")
    return size


__all__ = ["MalformedMessageError", "validate_message"]

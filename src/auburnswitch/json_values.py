"""Decodes JSON that others wrote, and that may be unreadable in part.

A document may hold values of many writers. One that nests too deep, has a
number of too many digits or text that is not UTF-8 must not cost the others.
"""

from __future__ import annotations

import enum
import json
import re
from typing import Any, Final

# The arrays and objects around a value in a list of events: the answer, the
# list, an event, its object, and the value that was stored.
MAX_SPLIT_DEPTH: Final = 5
_STRING: Final = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN: Final = re.compile(_STRING + rb"|[\[{]+|[\]}]+|,", re.DOTALL)
_MEMBER_NAME: Final = re.compile(rb"\s*(" + _STRING + rb")\s*:\s*", re.DOTALL)
_SPACE: Final = re.compile(rb"\s*")
_OPENING: Final = (b"[", b"{")
_CLOSING: Final = (b"]", b"}")
_COMMA: Final = b","
_OBJECT_START: Final = b"{"
_DECODE_ERRORS: Final = (ValueError, RecursionError)


class Unreadable(enum.Enum):
    """Stands for a value that cannot be read."""

    VALUE = "unreadable"


class JsonError(ValueError):
    """A document is not JSON."""


def decode_json(data: bytes | str) -> Any:
    """Decodes a document as a whole.

    Raises:
        JsonError: It is no JSON, nests too deep, or has a number of too many
            digits.
    """
    try:
        return json.loads(data)
    except _DECODE_ERRORS as error:
        raise JsonError(f"{type(error).__name__}: {error}") from error


def decode_readable_json(
    data: bytes, split_depth: int = MAX_SPLIT_DEPTH
) -> Any:
    """Decodes a document, with `Unreadable.VALUE` in place of what is not.

    Args:
        data: The document.
        split_depth: Number of nested arrays and objects that are decoded by
            parts if they cannot be decoded as a whole.

    Raises:
        JsonError: Nothing of the document can be read.
    """
    try:
        return decode_json(data)
    except JsonError as error:
        containers = _find_containers(data, split_depth)
        root = containers.get(_SPACE.match(data).end())
        if root is None or data[root.end :].strip():
            raise JsonError("neither an array nor an object") from error
    return _decode_parts(data, root, containers)


class _Container:
    """An array or an object within a document.

    Attributes:
        start: Offset of its opening bracket.
        end: Offset after its closing bracket.
        commas: Offsets of the commas between its items or members.
    """

    __slots__ = ("commas", "end", "start")

    def __init__(self, *, start: int) -> None:
        self.start = start
        self.end = start
        self.commas: list[int] = []


def _find_containers(data: bytes, max_depth: int) -> dict[int, _Container]:
    """Returns the outer arrays and objects by the offset of their start.

    Raises:
        JsonError: The outermost one does not end.
    """
    found: dict[int, _Container] = {}
    open_containers: list[_Container] = []
    depth = 0
    for match in _TOKEN.finditer(data):
        token, offset = match[0], match.start()
        if token[:1] in _OPENING:
            for _ in range(min(len(token), max_depth - depth)):
                found[offset] = container = _Container(start=offset)
                open_containers.append(container)
                offset += 1
            depth += len(token)
        elif token[:1] in _CLOSING:
            while open_containers and len(open_containers) > depth - len(token):
                container = open_containers.pop()
                level = len(open_containers) + 1
                container.end = offset + depth - level + 1
            depth -= len(token)
            if depth <= 0:
                return found
        elif token == _COMMA and depth == len(open_containers) > 0:
            open_containers[-1].commas.append(offset)
    raise JsonError("an array or object does not end")


def _decode_parts(
    data: bytes, container: _Container, containers: dict[int, _Container]
) -> Any:
    """Decodes the items of an array, or the members of an object."""
    is_object = data[container.start : container.start + 1] == _OBJECT_START
    members: dict[str, Any] = {}
    items: list[Any] = []
    start = container.start + 1
    for end in (*container.commas, container.end - 1):
        if is_object:
            name = _MEMBER_NAME.match(data, start, end)
            if name is not None:
                value = _decode_part(data, name.end(), end, containers)
                members[_decode_name(name[1])] = value
        elif container.commas or data[start:end].strip():
            value_start = _SPACE.match(data, start, end).end()
            items.append(_decode_part(data, value_start, end, containers))
        start = end + 1
    return members if is_object else items


def _decode_name(encoded: bytes) -> str:
    """Returns a member's name, with marks in place of unreadable characters."""
    try:
        return decode_json(encoded)
    except JsonError:
        return encoded.decode(errors="replace")


def _decode_part(
    data: bytes, start: int, end: int, containers: dict[int, _Container]
) -> Any:
    try:
        return decode_json(data[start:end])
    except JsonError:
        container = containers.get(start)
        if container is None:
            return Unreadable.VALUE
    return _decode_parts(data, container, containers)


__all__ = ["JsonError", "Unreadable", "decode_json", "decode_readable_json"]

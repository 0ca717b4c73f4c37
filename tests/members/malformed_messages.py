"""Encoded messages that claim more than they hold."""

from __future__ import annotations

import struct

from thriftpy2.thrift import TType

OVERSIZED_COUNT = 2_000_000_000
UNKNOWN_FIELD = 999
UNKNOWN_TYPES = (0, 1, 5, 7, 9, 16, 17, 255)
END = b"\0"


def list_of(item_type: int, count: int, kind: int = TType.LIST) -> bytes:
    head = struct.pack(">bhB", kind, UNKNOWN_FIELD, item_type)
    return head + struct.pack(">i", count) + END


def map_of(key_type: int, value_type: int, count: int) -> bytes:
    head = struct.pack(">bhBB", TType.MAP, UNKNOWN_FIELD, key_type, value_type)
    return head + struct.pack(">i", count) + END


def nested(depth: int) -> bytes:
    field = struct.pack(">bh", TType.STRUCT, UNKNOWN_FIELD)
    return field * depth + END * (depth + 1)


def oversized_size_messages() -> list[bytes]:
    """Returns messages of a few bytes that would take a decoder forever."""
    lists = [
        list_of(item, OVERSIZED_COUNT, kind)
        for item in UNKNOWN_TYPES
        for kind in (TType.LIST, TType.SET)
    ]
    known = [
        list_of(item, OVERSIZED_COUNT)
        for item in (TType.BOOL, TType.STRING, TType.STRUCT, TType.LIST)
    ]
    inner = struct.pack(">Bi", 1, OVERSIZED_COUNT)
    within = [list_of(TType.LIST, 1)[:-1] + inner + END]
    maps = [
        map_of(1, 1, OVERSIZED_COUNT),
        map_of(TType.I32, 0, OVERSIZED_COUNT),
    ]
    return [*lists, *known, *within, *maps, nested(10_000)]

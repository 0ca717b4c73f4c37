"""Encoded messages with wrong sizes, unknown types or deep nesting."""

from __future__ import annotations

import struct

from thriftpy2.thrift import TType

OVERSIZED_COUNT = 2_000_000_000
UNKNOWN_FIELD = 999
UNKNOWN_TYPES = (0, 1, 5, 7, 9, 16, 17, 255)
END = b"\0"


def encode_list(item_type: int, count: int, kind: int = TType.LIST) -> bytes:
    head = struct.pack(">bhB", kind, UNKNOWN_FIELD, item_type)
    return head + struct.pack(">i", count) + END


def encode_map(key_type: int, value_type: int, count: int) -> bytes:
    head = struct.pack(">bhBB", TType.MAP, UNKNOWN_FIELD, key_type, value_type)
    return head + struct.pack(">i", count) + END


def encode_nested_structs(depth: int) -> bytes:
    field = struct.pack(">bh", TType.STRUCT, UNKNOWN_FIELD)
    return field * depth + END * (depth + 1)


def oversized_count_messages() -> list[bytes]:
    """Returns messages that would keep a decoder busy for very long.

    Most state two billion items in a few bytes; one is nested too deeply.
    """
    unknown_item_types = [
        encode_list(item, OVERSIZED_COUNT, kind)
        for item in UNKNOWN_TYPES
        for kind in (TType.LIST, TType.SET)
    ]
    known_item_types = [
        encode_list(item, OVERSIZED_COUNT)
        for item in (TType.BOOL, TType.STRING, TType.STRUCT, TType.LIST)
    ]
    inner_list = struct.pack(">Bi", 1, OVERSIZED_COUNT)
    nested_lists = [encode_list(TType.LIST, 1)[:-1] + inner_list + END]
    maps = [
        encode_map(1, 1, OVERSIZED_COUNT),
        encode_map(TType.I32, 0, OVERSIZED_COUNT),
    ]
    return [
        *unknown_item_types,
        *known_item_types,
        *nested_lists,
        *maps,
        encode_nested_structs(10_000),
    ]

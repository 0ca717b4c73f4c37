"""Finds what of a message can be encoded, so that an item costs only itself."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final

from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.thrift import TDecodeException, TException
from thriftpy2.utils import serialize

from auburnswitch.observe.logs import log_event
from auburnswitch.schema.base import Struct
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from typing import Any

ENCODE_ERRORS: Final = (
    TDecodeException,
    TException,
    struct.error,
    AttributeError,
    OverflowError,
    TypeError,
    ValueError,
)
MAX_LOGGED_CHARS: Final = 200
_PROTOCOL: Final = TBinaryProtocolFactory()


def encodable_part(message: Struct) -> Struct | None:
    """Returns a copy of a message without what cannot be encoded.

    Items of lists and nested messages are left out, and logged. A message with
    another field that cannot be encoded has no such part.
    """
    if _is_encodable(message):
        return message
    fields = {
        name: _encodable_value(getattr(message, name))
        for name in message.field_names()
    }
    rest = message.replace(**fields)
    return rest if _is_encodable(rest) else None


def _encodable_value(value: Any) -> Any:
    match value:
        case Struct():
            return encodable_part(value)
        case list():
            items = [_encodable_item(item) for item in value]
            return [item for item in items if item is not None]
    return value


def _encodable_item(item: Any) -> Any:
    if not isinstance(item, Struct):
        return item
    rest = encodable_part(item)
    if rest is None:
        log_event(
            EventId.ITEM_NOT_ENCODED,
            kind=type(item).__name__,
            item=repr(item)[:MAX_LOGGED_CHARS],
        )
    return rest


def _is_encodable(message: Struct) -> bool:
    try:
        serialize(message, _PROTOCOL)
    except ENCODE_ERRORS:
        return False
    return True


__all__ = ["ENCODE_ERRORS", "encodable_part"]

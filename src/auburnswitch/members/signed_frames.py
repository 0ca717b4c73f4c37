"""Signs and verifies thrift messages independently of a connection.

A frame is a message authentication code (16 bytes), a compression flag (1
byte), and a message in thrift's binary protocol, which may be compressed. The
authentication code is verified before anything is decoded.
"""

from __future__ import annotations

import hmac
import zlib
from typing import TYPE_CHECKING, Final, TypeVar

from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.thrift import TDecodeException, TException
from thriftpy2.utils import deserialize, serialize

from auburnswitch.members.message_encoding import (
    ENCODE_ERRORS,
    encodable_part,
)
from auburnswitch.members.message_validation import validate_message

if TYPE_CHECKING:
    from auburnswitch.schema.base import Struct

MAC_BYTES: Final = 16
COMPRESSION_THRESHOLD_BYTES: Final = 300
MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024
_UNCOMPRESSED: Final = b"\0"
_COMPRESSED: Final = b"\1"
_COMPRESSION_LEVEL: Final = 1  # fastest
_PROTOCOL: Final = TBinaryProtocolFactory()
_DECODE_ERRORS: Final = (
    TDecodeException,
    TException,
    EOFError,
    MemoryError,
    zlib.error,
    TypeError,
    ValueError,
)

StructT = TypeVar("StructT", bound="Struct")


class SignedFrameError(Exception):
    """A frame is not signed with the shared key or cannot be decoded."""


def encode_signed(key: bytes, message: Struct) -> bytes:
    """Encodes and signs a message.

    Items of its lists that cannot be encoded are left out and logged.

    Raises:
        SignedFrameError: The message cannot be encoded without them either.
    """
    try:
        payload = serialize(message, _PROTOCOL)
    except ENCODE_ERRORS:
        payload = _encode_rest(message)
    if len(payload) < COMPRESSION_THRESHOLD_BYTES:
        payload = _UNCOMPRESSED + payload
    else:
        payload = _COMPRESSED + zlib.compress(payload, _COMPRESSION_LEVEL)
    return _mac(key, payload) + payload


def _encode_rest(message: Struct) -> bytes:
    """Encodes what can be encoded of a message."""
    rest = encodable_part(message)
    if rest is None:
        raise SignedFrameError("message cannot be encoded")
    return serialize(rest, _PROTOCOL)


def decode_signed(key: bytes, frame: bytes, message: StructT) -> StructT:
    """Verifies a frame and decodes it into an empty message.

    Raises:
        SignedFrameError: The frame has a wrong authentication code or cannot
            be decoded.
    """
    mac, payload = frame[:MAC_BYTES], frame[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(key, payload)):
        raise SignedFrameError("wrong message authentication code")
    try:
        encoded = _decompress(payload)
        validate_message(encoded)
        return deserialize(message, encoded, _PROTOCOL)
    except _DECODE_ERRORS as error:
        raise SignedFrameError("frame cannot be decoded") from error


def _decompress(payload: bytes) -> bytes:
    """Returns the encoded message of a payload.

    Raises:
        ValueError: The message is too long or truncated.
        zlib.error: The message is not compressed correctly.
    """
    if payload[:1] == _UNCOMPRESSED:
        return payload[1:]
    decompressor = zlib.decompressobj()
    message = decompressor.decompress(payload[1:], MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ValueError("message is too long or truncated")
    return message


def _mac(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, "sha256")[:MAC_BYTES]


__all__ = ["MAC_BYTES", "SignedFrameError", "encode_signed", "decode_signed"]

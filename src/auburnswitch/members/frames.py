"""Encodes and verifies authenticated thrift frames between daemons.

A frame is a length (4 bytes), a sequence number (8 bytes), a message
authentication code (16 bytes) and an envelope in thrift's binary protocol. The
key of a connection is derived from the shared key and a nonce of each side, and
the sequence number must increase by one with each frame, so modified and
replayed frames are rejected.
"""

from __future__ import annotations

import hmac
import io
import struct
from typing import TYPE_CHECKING, Final

from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.thrift import TDecodeException, TException
from thriftpy2.transport import TCyBufferedTransport
from thriftpy2.utils import serialize

from auburnswitch.members.message_validation import validate_message
from auburnswitch.schema.peers import (
    ClaimsReply,
    ClaimsRequest,
    Done,
    Envelope,
    HandoverRequest,
    Heartbeat,
    HeartbeatAck,
    Hello,
    KeyClaimReply,
    KeyClaimRequest,
    ProgressRequest,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
    StateReply,
    StateRequest,
)
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    import asyncio

    from auburnswitch.schema.base import Struct

_HEADER: Final = struct.Struct(">IQ16s")
_SEQUENCE: Final = struct.Struct(">Q")
_MAC_BYTES: Final = 16
_DECODE_ERRORS: Final = (
    TDecodeException,
    TException,
    EOFError,
    MemoryError,
    TypeError,
    ValueError,
)
_PROTOCOL: Final = TBinaryProtocolFactory()
_FIELD_BY_MESSAGE: Final[dict[type[Struct], str]] = {
    KeyClaimRequest: "key_claim",
    KeyClaimReply: "key_claim_reply",
    Heartbeat: "heartbeat",
    HeartbeatAck: "heartbeat_ack",
    ReserveRequest: "reserve",
    ReserveReply: "reserve_reply",
    ReleaseRequest: "release",
    ProgressRequest: "progress",
    StateRequest: "state_request",
    StateReply: "state_reply",
    HandoverRequest: "handover",
    Done: "done",
    Hello: "hello",
    ClaimsRequest: "claims",
    ClaimsReply: "claims_reply",
}


class FrameError(Exception):
    """A peer's frame or message is rejected.

    Attributes:
        code: Result code for the reason.
    """

    def __init__(self, code: ResultCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code


def wrap_message(
    message: Struct, *, call_id: int = 0, is_reply: bool = False
) -> Envelope:
    """Wraps a message in an envelope."""
    envelope = Envelope(call_id=call_id, is_reply=is_reply)
    setattr(envelope, _FIELD_BY_MESSAGE[type(message)], message)
    return envelope


def unwrap_message(envelope: Envelope) -> Struct:
    """Returns the message of an envelope.

    Raises:
        FrameError: The envelope has no message, or more than one.
    """
    messages = [
        message
        for name in _FIELD_BY_MESSAGE.values()
        if (message := getattr(envelope, name)) is not None
    ]
    if len(messages) != 1:
        raise FrameError(
            ResultCode.BAD_FRAME,
            "envelope does not contain exactly one message",
        )
    return messages[0]


def derive_session_key(shared_key: bytes, *nonces: str) -> bytes:
    """Derives the key of one direction of a connection."""
    text = "\0".join(nonces).encode()
    return hmac.digest(shared_key, text, "sha256")


class FrameWriter:
    """Signs and encodes the frames of one direction.

    Attributes:
        key: Session key of this direction.
        sequence: Sequence number of the next frame.
    """

    __slots__ = ("key", "sequence")

    def __init__(self, *, key: bytes) -> None:
        self.key = key
        self.sequence = 0

    def encode(self, envelope: Envelope) -> bytes:
        """Encodes an envelope as the next frame."""
        return self.encode_payload(serialize(envelope, _PROTOCOL))

    def encode_payload(self, payload: bytes) -> bytes:
        """Returns the next frame for an already encoded envelope."""
        mac = _mac(self.key, self.sequence, payload)
        frame = _HEADER.pack(len(payload), self.sequence, mac) + payload
        self.sequence += 1
        return frame


class FrameReader:
    """Reads and verifies the frames of one direction.

    Attributes:
        key: Session key of this direction.
        sequence: Sequence number that the next frame must have.
        max_bytes: Maximum payload size, in bytes.
    """

    __slots__ = ("key", "max_bytes", "sequence")

    def __init__(self, *, key: bytes, max_bytes: int) -> None:
        self.key = key
        self.sequence = 0
        self.max_bytes = max_bytes

    async def read(self, stream: asyncio.StreamReader) -> Envelope:
        """Reads the next frame.

        Raises:
            FrameError: The frame is too long, has a wrong authentication
                code, is out of sequence or cannot be decoded.
            asyncio.IncompleteReadError: The connection was closed.
        """
        header = await stream.readexactly(_HEADER.size)
        length, sequence, mac = _HEADER.unpack(header)
        if length > self.max_bytes:
            raise FrameError(
                ResultCode.BAD_FRAME,
                f"{length} bytes exceed the frame size limit",
            )
        payload = await stream.readexactly(length)
        expected = _mac(self.key, sequence, payload)
        if sequence != self.sequence or not hmac.compare_digest(mac, expected):
            raise FrameError(
                ResultCode.BAD_SIGNATURE,
                "wrong message authentication code or sequence number",
            )
        self.sequence += 1
        return _decode(payload)


def _mac(key: bytes, sequence: int, payload: bytes) -> bytes:
    signed = _SEQUENCE.pack(sequence) + payload
    return hmac.digest(key, signed, "sha256")[:_MAC_BYTES]


class _PayloadReader:
    """Reads a payload and fails at its end.

    The library's own buffer keeps reading beyond the end.
    """

    __slots__ = ("buffer",)

    def __init__(self, payload: bytes) -> None:
        self.buffer = io.BytesIO(payload)

    def read(self, size: int) -> bytes:
        """Returns at most ``size`` bytes.

        Raises:
            EOFError: The payload has been read to its end.
        """
        data = self.buffer.read(size)
        if not data:
            raise EOFError("payload is truncated")
        return data


def _decode(payload: bytes) -> Envelope:
    try:
        validate_message(payload)
        envelope = Envelope()
        transport = TCyBufferedTransport(_PayloadReader(payload))
        envelope.read(_PROTOCOL.get_protocol(transport))
    except _DECODE_ERRORS as error:
        raise FrameError(
            ResultCode.BAD_FRAME, "payload cannot be decoded"
        ) from error
    return envelope


__all__ = [
    "FrameError",
    "FrameReader",
    "FrameWriter",
    "unwrap_message",
    "wrap_message",
    "derive_session_key",
]

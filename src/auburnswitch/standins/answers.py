"""Generates deterministic answers that a checker can recompute.

Token `i` of an answer depends only on the complete prompt and on `i`. The
digest of a prompt can be extended segment by segment, so that an engine that
receives only the last segment of a long prompt generates the same answer as for
the complete prompt.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

BYTES_PER_TOKEN: Final = 4
EMPTY_DIGEST: Final = "0000000000000001"
_CRC_DIGITS: Final = 8
_TOKEN_MASK: Final = 0xFFF


def prompt_digest(prompt: str, previous: str = EMPTY_DIGEST) -> str:
    """Returns the digest of a prompt.

    Args:
        prompt: The prompt, or its next segment.
        previous: Digest of the preceding segments.

    Returns:
        Sixteen hexadecimal digits.
    """
    data = prompt.encode()
    crc = zlib.crc32(data, int(previous[:_CRC_DIGITS], 16))
    adler = zlib.adler32(data, int(previous[_CRC_DIGITS:], 16))
    return f"{crc:08x}{adler:08x}"


def answer_token(digest: str, index: int) -> str:
    """Returns one token, four ASCII characters, of an answer.

    Args:
        digest: Digest of the complete prompt.
        index: Position in the complete answer, from 0.
    """
    mixed = zlib.crc32(f"{digest}/{index}".encode())
    return f"{mixed & _TOKEN_MASK:03x} "


def answer_text(digest: str, count: int, first: int = 0) -> str:
    """Returns `count` tokens of an answer, starting at token `first`."""
    return "".join(answer_token(digest, first + i) for i in range(count))


def chat_prompt(messages: Sequence[dict[str, Any]]) -> str:
    """Returns the prompt that an engine builds from chat messages."""
    return "".join(
        f"{message.get('role', '')}: {message.get('content', '')}\n"
        for message in messages
    )


def count_tokens(text: str) -> int:
    """Returns the number of tokens in a text, counting a partial last token."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


__all__ = [
    "BYTES_PER_TOKEN",
    "EMPTY_DIGEST",
    "answer_text",
    "answer_token",
    "chat_prompt",
    "count_tokens",
    "prompt_digest",
]

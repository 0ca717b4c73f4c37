"""Decodes what the process at an endpoint's address says of itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.json_values import JsonError, decode_json
from auburnswitch.platform import fields, protocol
from auburnswitch.platform.fields import FieldError

if TYPE_CHECKING:
    from collections.abc import Mapping

_HTTP_OK: Final = 200
_HTTP_MISDIRECTED: Final = 421
_YES: Final = "1"
MAX_BOOT_MS: Final = 1 << 62  # fits into messages to peers


@dataclass(slots=True, kw_only=True)
class ProcessStatement:
    """What the process at an endpoint's address says of itself.

    Attributes:
        boot_ms: When it started, in milliseconds since the epoch; 0 if it does
            not say.
        leaving: Whether it is leaving.
        well: Whether it answers as a sound process does.
    """

    boot_ms: int
    leaving: bool
    well: bool = True


def decode_statement(
    endpoint: str, status: int, headers: Mapping[str, str], body: bytes
) -> ProcessStatement | None:
    """Returns what the response to a load report or a health check states.

    Args:
        endpoint: Id of the endpoint that was asked.
        status: HTTP status.
        headers: Headers by name in lower case.
        body: The whole body.

    Returns:
        The statement; None if the response is another endpoint's.
    """
    answering = headers.get(protocol.ENDPOINT_ID_HEADER, endpoint)
    if status == _HTTP_MISDIRECTED or answering != endpoint:
        return None
    return ProcessStatement(
        boot_ms=decode_boot_ms(body),
        leaving=is_leaving_stated(headers),
        well=status == _HTTP_OK,
    )


def is_leaving_stated(headers: Mapping[str, str]) -> bool:
    """Returns whether a response states that its process is leaving."""
    return headers.get(protocol.LEAVING_HEADER, "").strip() == _YES


def decode_boot_ms(body: bytes) -> int:
    """Returns when a process says that it started, 0 if it does not."""
    try:
        return fields.integer(
            decode_json(body), "born", 0, maximum=MAX_BOOT_MS - 1
        )
    except (FieldError, JsonError):
        return 0


__all__ = [
    "MAX_BOOT_MS",
    "ProcessStatement",
    "decode_boot_ms",
    "decode_statement",
    "is_leaving_stated",
]

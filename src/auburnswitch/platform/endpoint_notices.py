"""Decodes what endpoints state about their availability in any response."""

from __future__ import annotations

import datetime
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.object_store.retry_after import (
    parse_date,
    parse_retry_after_s,
)
from auburnswitch.platform import protocol
from auburnswitch.platform.process_statements import is_leaving_stated

if TYPE_CHECKING:
    from collections.abc import Mapping

_HTTP_MISDIRECTED: Final = 421
_HTTP_UNAVAILABLE: Final = 503
_DATE_HEADER: Final = "date"


class NoticeSource(enum.Enum):
    """What the response with a notice answers."""

    REQUEST = "request"
    ORDER = "order"
    LOAD_REPORT = "load report"
    PROBE = "probe"  # of the process that is there


@dataclass(slots=True, kw_only=True)
class EndpointNotice:
    """What an endpoint states about its availability.

    Attributes:
        leaving: Whether it is leaving and must get no new requests.
        retry_after_s: Time for which it wants no requests from this daemon, in
            seconds; 0 if it does not say.
        source: What the response with the notice answers.
    """

    leaving: bool
    retry_after_s: float
    source: NoticeSource


def decode_notice(
    status: int, headers: Mapping[str, str], source: NoticeSource
) -> EndpointNotice | None:
    """Returns the notice in a response; None if there is none.

    A misdirected request was answered by another endpoint than the addressed
    one, so such a response is no notice of the latter.

    Args:
        status: HTTP status.
        headers: Headers by name in lower case.
        source: What the response answers.
    """
    if status == _HTTP_MISDIRECTED:
        return None
    leaving = is_leaving_stated(headers)
    retry_after_s = 0.0
    if status == _HTTP_UNAVAILABLE:
        retry_after_s = _decode_retry_after_s(headers)
    if not leaving and not retry_after_s:
        return None
    return EndpointNotice(
        leaving=leaving, retry_after_s=retry_after_s, source=source
    )


def _decode_retry_after_s(headers: Mapping[str, str]) -> float:
    """Returns the delay by the endpoint's own clock if it sends its time."""
    value = headers.get(protocol.RETRY_AFTER_HEADER, "")
    if not value:
        return 0.0
    now = parse_date(headers.get(_DATE_HEADER, ""))
    return parse_retry_after_s(
        value, now or datetime.datetime.now(datetime.UTC)
    )


__all__ = ["EndpointNotice", "NoticeSource", "decode_notice"]

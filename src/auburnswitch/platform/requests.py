"""Decodes callers' requests and encodes requests to endpoints."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.platform import protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from auburnswitch.schema.installation import EndpointEntry

# Headers that apply to a single connection.
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
# Headers that this daemon evaluates or sets itself.
_NOT_FORWARDED: Final = frozenset(
    {
        protocol.DEADLINE_MS_HEADER,
        protocol.EXPECTED_ENDPOINT_HEADER,
        protocol.TEAM_HEADER,
        protocol.PREFILL_HELPERS_HEADER,
        protocol.AUTHORIZATION_HEADER,
        protocol.LAST_EVENT_ID_HEADER,
        "content-length",
    }
)
MAX_SHARED_PARTS: Final = 1000  # bounds the work for a request
MAX_TOKENS: Final = 2**40  # sums fit into messages to peers
_MS_PER_S: Final = 1000.0

Headers = list[tuple[str, str]]


@dataclass(slots=True, kw_only=True)
class PrefillHelper:
    """An endpoint that prefills a part of a prompt.

    Attributes:
        endpoint: The endpoint.
        reservation: Key of the endpoint's memory reservation for the part;
            None if the part is kept elsewhere.
    """

    endpoint: EndpointEntry
    reservation: str | None = None


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """A caller's request, decoded from its target and headers.

    Attributes:
        id: Id of this attempt of the caller, empty if none is given.
        method: HTTP method.
        target: Path and query as received.
        path: Path without the query.
        host: Host header in lower case, without the port.
        headers: Headers that are forwarded to the endpoint.
        caller_key: The caller's key, empty if none is given.
        deadline_s: Time until the caller's deadline, in seconds; None if not
            given.
        prompt_tokens: Number of prompt tokens, 0 if not given.
        answer_tokens: Expected number of answer tokens, 0 if not given.
        last_event_id: Id of the last event that the caller received, None if
            not given.
        shared_parts: Ids of the parts of the prompt that other requests may
            have as well, in order and each once; the first ones if there are
            very many.
    """

    id: str
    method: str
    target: str
    path: str
    host: str
    headers: Headers
    caller_key: str = ""
    deadline_s: float | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event_id: str | None = None
    shared_parts: tuple[str, ...] = ()


def decode_request(
    *, method: str, raw_path: bytes, query: bytes, headers: Headers
) -> CallerRequest:
    """Decodes a caller's request; header names must be in lower case."""
    by_name = dict(headers)
    path = raw_path.decode("latin-1")
    prompt_tokens, max_tokens = _parse_token_counts(
        by_name.get(protocol.TOKEN_COUNTS_HEADER)
    )
    length_hint = _parse_non_negative(
        by_name.get(protocol.LENGTH_HINT_HEADER, "")
    )
    return CallerRequest(
        id=by_name.get(protocol.ATTEMPT_ID_HEADER, ""),
        method=method,
        target=path + ("?" + query.decode("latin-1") if query else ""),
        path=path,
        host=_parse_host(by_name.get("host", "")),
        headers=_select_forwarded_headers(headers),
        caller_key=_parse_caller_key(
            by_name.get(protocol.AUTHORIZATION_HEADER, "")
        ),
        deadline_s=_parse_ms_as_s(by_name.get(protocol.DEADLINE_MS_HEADER)),
        prompt_tokens=prompt_tokens,
        answer_tokens=min(length_hint or max_tokens, max_tokens or length_hint),
        last_event_id=by_name.get(protocol.LAST_EVENT_ID_HEADER),
        shared_parts=_parse_shared_parts(headers),
    )


def _select_forwarded_headers(headers: Headers) -> Headers:
    excluded = HOP_BY_HOP_HEADERS | _NOT_FORWARDED
    for name, value in headers:
        if name == "connection":
            excluded = excluded | {
                part.strip().lower() for part in value.split(",")
            }
    return [(name, value) for name, value in headers if name not in excluded]


def _parse_host(value: str) -> str:
    return value.rsplit(":", 1)[0].lower() if ":" in value else value.lower()


def _parse_caller_key(value: str) -> str:
    if not value.lower().startswith(protocol.BEARER_PREFIX):
        return ""
    return value[len(protocol.BEARER_PREFIX) :].strip()


def _parse_ms_as_s(value: str | None) -> float | None:
    try:
        seconds = float(value) / _MS_PER_S if value is not None else math.nan
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None


def _parse_token_counts(value: str | None) -> tuple[int, int]:
    prompt, _, answer = (value or "").partition(",")
    return _parse_non_negative(prompt), _parse_non_negative(answer)


def _parse_shared_parts(headers: Headers) -> tuple[str, ...]:
    """Returns the ids of all parts but the last, which is the request's own."""
    values = [v for name, v in headers if name == protocol.PROMPT_PARTS_HEADER]
    if not values:
        return ()
    entries = ",".join(values).split(",")[:-1]
    ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    unique_ids = dict.fromkeys(part_id for part_id in ids if part_id)
    return tuple(itertools.islice(unique_ids, MAX_SHARED_PARTS))


def _parse_non_negative(value: str) -> int:
    try:
        return min(max(0, int(value.strip() or 0)), MAX_TOKENS)
    except ValueError:
        return 0


def encode_request_headers(
    request: CallerRequest,
    *,
    endpoint: EndpointEntry,
    team: str,
    time_left_s: float,
    helpers: Sequence[PrefillHelper] = (),
    last_event_id: str | None = None,
) -> Headers:
    """Returns the headers of a request to an endpoint.

    Args:
        request: The caller's request.
        endpoint: Endpoint that must run the request; any other refuses it.
        team: Team of the caller, empty if none is sent.
        time_left_s: Time until the caller's deadline, in seconds.
        helpers: Endpoints that prefill parts of the prompt.
        last_event_id: Id of the event after which a stream continues.
    """
    headers = [
        *request.headers,
        (protocol.EXPECTED_ENDPOINT_HEADER, endpoint.id),
        (
            protocol.DEADLINE_MS_HEADER,
            str(max(1, int(time_left_s * _MS_PER_S))),
        ),
    ]
    if team:
        headers.append((protocol.TEAM_HEADER, team))
    if helpers:
        encoded = ",".join(_encode_helper(helper) for helper in helpers)
        headers.append((protocol.PREFILL_HELPERS_HEADER, encoded))
    if last_event_id is not None:
        headers.append((protocol.LAST_EVENT_ID_HEADER, last_event_id))
    return headers


def _encode_helper(helper: PrefillHelper) -> str:
    address = f"{helper.endpoint.host}:{helper.endpoint.port}"
    if helper.reservation is None:
        return address
    return f"{address}/{helper.reservation}"


__all__ = [
    "HOP_BY_HOP_HEADERS",
    "MAX_SHARED_PARTS",
    "CallerRequest",
    "Headers",
    "PrefillHelper",
    "decode_request",
    "encode_request_headers",
]

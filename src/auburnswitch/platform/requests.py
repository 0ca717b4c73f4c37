"""Decodes callers' requests and encodes those to endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.platform import protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from auburnswitch.schema.installation import EndpointEntry

# Headers that concern one connection only.
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
_SET_HERE: Final = frozenset(
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
_MS_PER_S: Final = 1000.0

Headers = list[tuple[str, str]]


@dataclass(slots=True, kw_only=True)
class PrefillHelper:
    """An endpoint that reads a part of a prompt.

    Attributes:
        endpoint: The endpoint.
        reservation: Key of the memory reserved there for the part; None if
            the part is kept elsewhere.
    """

    endpoint: EndpointEntry
    reservation: str | None = None


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """What the headers of a caller's request say.

    Attributes:
        id: Id of this attempt of the caller.
        method: HTTP method.
        target: Path and query as they were sent.
        path: The path alone.
        host: Host that the request is for, in lower case, without a port.
        headers: All headers that are passed on.
        caller_key: The caller's key, empty if there is none.
        deadline_s: Time that the caller waits, None if it does not say.
        prompt_tokens: Tokens of the prompt, 0 if it does not say.
        answer_tokens: Tokens that the answer is expected to have.
        last_event_id: Last event that the caller has, None if none.
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


def decode_request(
    *, method: str, raw_path: bytes, query: bytes, headers: Headers
) -> CallerRequest:
    """Decodes a caller's request; header names are in lower case."""
    known = dict(headers)
    path = raw_path.decode("latin-1")
    prompt_tokens, most_tokens = _token_counts(
        known.get(protocol.TOKEN_COUNTS_HEADER)
    )
    hint = _whole(known.get(protocol.LENGTH_HINT_HEADER, ""))
    return CallerRequest(
        id=known.get(protocol.ATTEMPT_ID_HEADER, ""),
        method=method,
        target=path + ("?" + query.decode("latin-1") if query else ""),
        path=path,
        host=_host(known.get("host", "")),
        headers=_passed_on(headers),
        caller_key=_caller_key(known.get(protocol.AUTHORIZATION_HEADER, "")),
        deadline_s=_seconds(known.get(protocol.DEADLINE_MS_HEADER)),
        prompt_tokens=prompt_tokens,
        answer_tokens=min(hint or most_tokens, most_tokens or hint),
        last_event_id=known.get(protocol.LAST_EVENT_ID_HEADER),
    )


def _passed_on(headers: Headers) -> Headers:
    left_out = HOP_BY_HOP_HEADERS | _SET_HERE
    for name, value in headers:
        if name == "connection":
            left_out = left_out | {
                part.strip().lower() for part in value.split(",")
            }
    return [(name, value) for name, value in headers if name not in left_out]


def _host(value: str) -> str:
    return value.rsplit(":", 1)[0].lower() if ":" in value else value.lower()


def _caller_key(value: str) -> str:
    if not value.lower().startswith(protocol.BEARER_PREFIX):
        return ""
    return value[len(protocol.BEARER_PREFIX) :].strip()


def _seconds(value: str | None) -> float | None:
    try:
        return float(value) / _MS_PER_S if value is not None else None
    except ValueError:
        return None


def _token_counts(value: str | None) -> tuple[int, int]:
    prompt, _, answer = (value or "").partition(",")
    return _whole(prompt), _whole(answer)


def _whole(value: str) -> int:
    try:
        return max(0, int(value.strip() or 0))
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
    """Returns the headers with which a request is sent to an endpoint.

    Args:
        request: The caller's request.
        endpoint: Endpoint that is to run it; any other one refuses.
        team: Team of the caller, empty if it needs none.
        time_left_s: Time until the caller stops waiting, in seconds.
        helpers: Endpoints that read parts of the prompt.
        last_event_id: Event after which a stream goes on.
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
        listed = ",".join(_helper(helper) for helper in helpers)
        headers.append((protocol.PREFILL_HELPERS_HEADER, listed))
    if last_event_id is not None:
        headers.append((protocol.LAST_EVENT_ID_HEADER, last_event_id))
    return headers


def _helper(helper: PrefillHelper) -> str:
    address = f"{helper.endpoint.host}:{helper.endpoint.port}"
    if helper.reservation is None:
        return address
    return f"{address}/{helper.reservation}"


__all__ = [
    "HOP_BY_HOP_HEADERS",
    "CallerRequest",
    "Headers",
    "PrefillHelper",
    "decode_request",
    "encode_request_headers",
]

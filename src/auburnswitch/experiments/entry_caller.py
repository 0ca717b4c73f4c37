"""Streams answers from the operators' routes and measures their latency."""

from __future__ import annotations

import itertools
import os
from dataclasses import dataclass
from typing import Final

import aiohttp

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.caller import CallOutcome
from auburnswitch.routing.delivery.sse_events import SseEventSplitter
from auburnswitch.standins.caller_headers import is_signed, request_headers
from auburnswitch.standins.installation_objects import HOST

DEADLINE_MS: Final = 15_000
_HTTP_OK: Final = 200
_OUTCOME_UNKNOWN_STATUSES: Final = (502, 504)

_request_numbers = itertools.count(1)


@dataclass(slots=True, kw_only=True)
class StreamRequest:
    """A request whose response is a stream of server-sent events.

    Attributes:
        path: Path of the route.
        prompt_tokens: Length of the prompt, in tokens.
        answer_tokens: Length of the answer, in tokens.
        caller_key: The caller's key.
        host: Host name of the route.
    """

    path: str
    prompt_tokens: int
    answer_tokens: int
    caller_key: str
    host: str = HOST


async def stream_events(
    session: aiohttp.ClientSession, url: str, request: StreamRequest
) -> CallOutcome:
    """Sends one request and reads its event stream to the end.

    Args:
        session: HTTP client.
        url: Base URL of an entry daemon's listener for callers.
        request: The request.

    Returns:
        The outcome, which counts events as tokens; a broken connection has
        the result ``broken``.
    """
    outcome = CallOutcome(result="broken", ran="unknown")
    started_at = monotonic_s()
    headers = request_headers(
        f"load-{os.getpid()}-{next(_request_numbers)}",
        request.caller_key,
        deadline_ms=DEADLINE_MS,
        tokens=f"{request.prompt_tokens},{request.answer_tokens}",
    )
    headers["Host"] = request.host
    try:
        async with session.post(
            url + request.path, data=b"prompt", headers=headers
        ) as response:
            if response.status == _HTTP_OK and is_signed(response.headers):
                await _read_events(response, outcome, started_at)
            else:
                _record_refusal(outcome, response)
    except (aiohttp.ClientError, OSError):
        outcome.result = "broken"
    outcome.total_s = monotonic_s() - started_at
    return outcome


async def _read_events(
    response: aiohttp.ClientResponse, outcome: CallOutcome, started_at: float
) -> None:
    splitter = SseEventSplitter()
    async for data in response.content.iter_any():
        events = splitter.feed(data)
        if events and outcome.first_token_s is None:
            outcome.first_token_s = monotonic_s() - started_at
        outcome.tokens += len(events)
    outcome.result = "ok"
    outcome.ran = "yes"


def _record_refusal(
    outcome: CallOutcome, response: aiohttp.ClientResponse
) -> None:
    outcome.result = f"status {response.status}"
    outcome.ran = (
        "unknown" if response.status in _OUTCOME_UNKNOWN_STATUSES else "no"
    )
    if "Retry-After" in response.headers:
        outcome.retry_after_s = float(response.headers["Retry-After"])


__all__ = ["StreamRequest", "stream_events"]

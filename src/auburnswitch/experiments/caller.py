"""Streams completions as a caller and measures their latency."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(slots=True, kw_only=True)
class CallOutcome:
    """The outcome of one request as its caller observed it.

    Attributes:
        result: Name of the result code, ``ok`` for a complete answer.
        ran: Whether the request ran, as reported by the daemon: ``yes``,
            ``no`` or ``unknown``.
        first_token_s: Time to first token, in seconds; None if no token
            was received.
        total_s: Time to the end of the response, in seconds.
        text: Text of the answer.
        tokens: Number of tokens of a complete answer.
        retry_after_s: Retry delay that the daemon requested, in seconds.
    """

    result: str
    ran: str = "yes"
    first_token_s: float | None = None
    total_s: float = 0.0
    text: str = ""
    tokens: int = 0
    retry_after_s: float | None = None


async def stream_completion(
    session: aiohttp.ClientSession,
    url: str,
    body: Mapping[str, Any],
    headers: Mapping[str, str],
) -> CallOutcome:
    """Sends one completion request and reads its stream to the end.

    Args:
        session: HTTP client.
        url: Base URL of a daemon's listener for callers.
        body: The completion request; ``stream`` is added.
        headers: Request headers, including the caller key.

    Returns:
        The outcome; a broken connection has the result ``broken``.
    """
    outcome = CallOutcome(result="broken", ran="unknown")
    started_at = monotonic_s()
    try:
        async with session.post(
            url + "/v1/completions",
            json={**body, "stream": True},
            headers=headers,
        ) as response:
            if response.status != 200:
                _record_error(outcome, await response.json())
            else:
                await _read_stream(response, outcome, started_at)
    except (aiohttp.ClientError, OSError, ValueError):
        outcome.result = "broken"
    outcome.total_s = monotonic_s() - started_at
    return outcome


async def _read_stream(
    response: aiohttp.ClientResponse, outcome: CallOutcome, started_at: float
) -> None:
    texts: list[str] = []
    received_done = False
    async for line in response.content:
        payload = line.removeprefix(b"data: ").strip()
        if payload == b"[DONE]":
            received_done = True
        if not line.startswith(b"data: {"):
            continue
        event = json.loads(payload)
        if "error" in event:
            _record_error(outcome, event)
            break
        text = event["choices"][0].get("text") or ""
        if text and outcome.first_token_s is None:
            outcome.first_token_s = monotonic_s() - started_at
        texts.append(text)
        usage = event.get("usage") or {}
        outcome.tokens = usage.get("completion_tokens", outcome.tokens)
    outcome.text = "".join(texts)
    if received_done:
        outcome.result = "ok"
        outcome.ran = "yes"


def _record_error(outcome: CallOutcome, body: dict[str, Any]) -> None:
    error = body["error"]
    outcome.result = error["name"]
    outcome.ran = error["ran"]
    outcome.retry_after_s = error.get("retry_after_s")


__all__ = ["CallOutcome", "stream_completion"]

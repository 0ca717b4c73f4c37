"""Sends the calls of a randomised run and records their outcomes."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.caller import CallOutcome, stream_completion
from auburnswitch.standins.answers import answer_text, prompt_digest

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(slots=True, kw_only=True)
class CallRecord:
    """One call and its outcome.

    Attributes:
        id: The caller's request id, a prefix of the id that the daemon assigns.
        deadline_s: Deadline that the caller sets, relative to the call, in
            seconds.
        started_at: Loop time of the call, in seconds.
        key: Idempotency key of a plain call; empty if it has none.
        idempotent: Whether the call may run more than once.
        expected: Complete answer of a completion; empty for plain calls.
        daemon: Name of the called instance.
        outcome: Outcome of the call; None while it runs.
    """

    id: str
    deadline_s: float
    started_at: float
    daemon: str
    key: str = ""
    idempotent: bool = True
    expected: str = ""
    outcome: CallOutcome | None = None


class RecordingCaller:
    """Sends calls and keeps a record of each.

    Attributes:
        records: Every call, in the order of sending.
    """

    __slots__ = ("headers", "next_id", "records", "session")

    def __init__(
        self, *, session: aiohttp.ClientSession, caller_key: str
    ) -> None:
        self.session = session
        self.headers = {"Authorization": f"Bearer {caller_key}"}
        self.records: list[CallRecord] = []
        self.next_id = 1

    async def complete(
        self,
        url: str,
        daemon: str,
        *,
        model: str,
        prompt: str,
        tokens: int,
        deadline_s: float,
    ) -> CallRecord:
        """Streams a completion and returns its record."""
        record = self._new_record(daemon, deadline_s)
        record.expected = answer_text(prompt_digest(prompt), tokens)
        body = {"model": model, "prompt": prompt, "max_tokens": tokens}
        record.outcome = await stream_completion(
            self.session, url, body, self._headers(record)
        )
        return record

    async def call_plain(
        self,
        url: str,
        daemon: str,
        *,
        method: str,
        path: str,
        deadline_s: float,
        body: Any = None,
        key: str = "",
    ) -> CallRecord:
        """Calls a plain service and returns the record of the call."""
        record = self._new_record(daemon, deadline_s)
        record.key = key
        record.idempotent = method in ("GET", "HEAD")
        headers = self._headers(record)
        if key:
            headers["Idempotency-Key"] = key
        record.outcome = await _call_plain(
            self.session, url + path, method, headers, body
        )
        return record

    def _new_record(self, daemon: str, deadline_s: float) -> CallRecord:
        record = CallRecord(
            id=f"call-{self.next_id}",
            deadline_s=deadline_s,
            started_at=monotonic_s(),
            daemon=daemon,
        )
        self.next_id += 1
        self.records.append(record)
        return record

    def _headers(self, record: CallRecord) -> dict[str, str]:
        return self.headers | {
            "X-Request-Id": record.id,
            "X-Deadline-Seconds": str(record.deadline_s),
        }


async def _call_plain(
    session: aiohttp.ClientSession,
    url: str,
    method: str,
    headers: Mapping[str, str],
    body: Any,
) -> CallOutcome:
    started_at = monotonic_s()
    outcome = CallOutcome(result="broken", ran="unknown")
    try:
        async with session.request(
            method, url, json=body, headers=headers
        ) as response:
            text = await response.text()
        outcome.text = text
        outcome.result, outcome.ran = _plain_result(response, text)
    except (aiohttp.ClientError, OSError, ValueError):
        outcome.result = "broken"
    outcome.total_s = monotonic_s() - started_at
    return outcome


def _plain_result(
    response: aiohttp.ClientResponse, text: str
) -> tuple[str, str]:
    if response.status < 400:
        return "ok", "yes"
    try:
        error = json.loads(text)["error"]
        return error["name"], error["ran"]
    except (ValueError, LookupError, TypeError):
        return f"http_{response.status}", "yes"


__all__ = ["CallRecord", "RecordingCaller"]

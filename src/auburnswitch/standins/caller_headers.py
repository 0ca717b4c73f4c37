"""Builds callers' request headers and checks response headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.standins.installation_objects import HOST

if TYPE_CHECKING:
    from collections.abc import Mapping


def request_headers(
    request_id: str, key: str, *, deadline_ms: int = 3000, tokens: str = ""
) -> dict[str, str]:
    """Returns the headers of a caller's request.

    Args:
        request_id: Id of this attempt.
        key: The caller's API key.
        deadline_ms: Time that the caller waits, in milliseconds.
        tokens: Value of the `X-Token-Counts` header, which gives the prompt
            and answer tokens; empty for a plain request.
    """
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
    }
    if tokens:
        headers["X-Token-Counts"] = tokens
    return headers


def is_signed(headers: Mapping[str, str]) -> bool:
    """Returns whether response headers carry an endpoint's signature."""
    return "x-response-seal" in headers


def is_leaving(headers: Mapping[str, str]) -> bool:
    """Returns whether a response states that its endpoint is leaving."""
    return "server-leaving" in headers


__all__ = ["is_leaving", "is_signed", "request_headers"]

"""Parses and validates requests to an engine."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.standins.answers import chat_prompt

if TYPE_CHECKING:
    from starlette.requests import Request

DEFAULT_MAX_TOKENS: Final = 256
DIGEST_PATTERN: Final = re.compile("[0-9a-f]{16}")


class KvCacheRef:
    """Reference to the KV cache of an earlier segment at another engine.

    Attributes:
        url: Base URL of the engine that holds the cache.
        kv_id: Id of the cache, which ends with a digest.
        digest: Digest of the prompt up to the end of the segment.

    Raises:
        ValueError: The id does not end with a digest.
    """

    __slots__ = ("digest", "kv_id", "url")

    def __init__(self, *, url: str, kv_id: str) -> None:
        self.url = url
        self.kv_id = kv_id
        self.digest = kv_id.rpartition(".")[2]
        if not DIGEST_PATTERN.fullmatch(self.digest):
            raise ValueError(f"invalid KV cache id: {kv_id}")


class RequestIds:
    """Ids that identify a request, its attempt and the sending daemon."""

    __slots__ = ("attempt", "member_id", "request_id")

    def __init__(
        self, *, request_id: str, attempt: int, member_id: str
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.member_id = member_id


class EngineRequest:
    """The body of a completion or prefill request.

    Attributes:
        model: Model name; empty accepts any model.
        prompt: The prompt; for a chat, built from its messages.
        max_tokens: Number of tokens to decode.
        stream: Whether the answer is streamed.
        priority: Lower numbers run first.
        kv_chain: KV caches of the prompt's earlier segments.
        continue_text: Part of the answer that has already been delivered.
        chat: Whether the response has the chat completion format.
    """

    __slots__ = (
        "chat",
        "continue_text",
        "kv_chain",
        "max_tokens",
        "model",
        "priority",
        "prompt",
        "stream",
    )

    def __init__(
        self,
        *,
        model: str,
        prompt: str,
        max_tokens: int,
        stream: bool,
        priority: int,
        kv_chain: list[KvCacheRef],
        continue_text: str,
        chat: bool,
    ) -> None:
        self.model = model
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.stream = stream
        self.priority = priority
        self.kv_chain = kv_chain
        self.continue_text = continue_text
        self.chat = chat


async def read_json_object(request: Request) -> dict[str, Any]:
    """Reads a request body that must be a JSON object.

    Raises:
        ValueError: The body is not a JSON object.
    """
    body = json.loads(await request.body())
    if not isinstance(body, dict):
        raise ValueError("body must be an object")
    return body


def read_request_ids(request: Request, default_id: str) -> RequestIds:
    """Reads the ids from a request's headers.

    Raises:
        ValueError: The attempt is not a number.
    """
    headers = request.headers
    return RequestIds(
        request_id=headers.get("x-request-id") or default_id,
        attempt=int(headers.get("x-attempt", "0")),
        member_id=headers.get("x-member-id", ""),
    )


def read_prefill_request_ids(
    request: Request, body: dict[str, Any], default_id: str
) -> RequestIds:
    """Reads the ids of a prefill request, which its body may override.

    Raises:
        ValueError: An id has the wrong type.
    """
    ids = read_request_ids(request, default_id)
    ids.request_id = _read_field(body, "request_id", str, ids.request_id)
    ids.attempt = _read_field(body, "attempt", int, ids.attempt)
    return ids


def parse_request(body: dict[str, Any], *, chat: bool) -> EngineRequest:
    """Parses a completion or prefill request from its body.

    Raises:
        ValueError: A field has the wrong type or an invalid value.
    """
    if chat:
        prompt = chat_prompt(_parse_messages(body))
    else:
        prompt = _read_field(body, "prompt", str, "")
    if not prompt:
        raise ValueError("prompt must not be empty")
    max_tokens = _read_field(body, "max_tokens", int, DEFAULT_MAX_TOKENS)
    if max_tokens < 1:
        raise ValueError("max_tokens must be positive")
    return EngineRequest(
        model=_read_field(body, "model", str, ""),
        prompt=prompt,
        max_tokens=max_tokens,
        stream=_read_field(body, "stream", bool, False),
        priority=_read_field(body, "priority", int, 0),
        kv_chain=_parse_kv_chain(body),
        continue_text=_read_field(body, "continue_text", str, ""),
        chat=chat,
    )


def _read_field(
    body: dict[str, Any], name: str, expected_type: type, default: Any
) -> Any:
    value = body.get(name)
    if value is None:
        return default
    if type(value) is not expected_type:
        raise ValueError(f"{name} must be of type {expected_type.__name__}")
    return value


def _parse_messages(body: dict[str, Any]) -> list[dict[str, Any]]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise ValueError("messages must be a non-empty list")
    if not all(isinstance(message, dict) for message in messages):
        raise ValueError("messages must be objects")
    return messages


def _parse_kv_chain(body: dict[str, Any]) -> list[KvCacheRef]:
    kv_refs = []
    for item in _read_field(body, "kv_chain", list, []):
        if not isinstance(item, dict):
            raise ValueError("kv_chain must contain objects")
        url = _read_field(item, "url", str, "")
        kv_refs.append(
            KvCacheRef(url=url, kv_id=_read_field(item, "kv_id", str, ""))
        )
    return kv_refs


__all__ = [
    "RequestIds",
    "EngineRequest",
    "KvCacheRef",
    "parse_request",
    "read_request_ids",
    "read_json_object",
    "read_prefill_request_ids",
]

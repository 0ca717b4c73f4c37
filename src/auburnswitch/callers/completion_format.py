"""Formats answers as completion objects and stream chunks."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from auburnswitch.callers.request_parser import Completion
    from auburnswitch.configuration.state import ConfigState
    from auburnswitch.results import Refusal
    from auburnswitch.routing.dispatcher import AnswerEnd


def text_chunk(completion: Completion, text: str) -> bytes:
    """Returns the stream chunk for a part of the answer's text."""
    if completion.is_chat:
        choice = {"index": 0, "delta": {"content": text}}
    else:
        choice = {"index": 0, "text": text}
    choice["finish_reason"] = None
    return _encode_event(
        _common_fields(completion, is_chunk=True) | {"choices": [choice]}
    )


def final_chunk(completion: Completion, end: AnswerEnd) -> bytes:
    """Returns the final chunk and the end marker of a complete stream."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason}
    choice["delta" if completion.is_chat else "text"] = (
        {} if completion.is_chat else ""
    )
    body = _common_fields(completion, is_chunk=True) | {"choices": [choice]}
    return _encode_event(body | {"usage": end.usage}) + b"data: [DONE]\n\n"


def error_event(refused: Refusal) -> bytes:
    """Returns the event that ends a failed stream."""
    return b"event: error\n" + _encode_event(refused.to_json())


def completion_object(
    completion: Completion, text: str, end: AnswerEnd
) -> dict[str, Any]:
    """Returns a complete answer as one object."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason}
    if completion.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    base = _common_fields(completion, is_chunk=False)
    return base | {"choices": [choice], "usage": end.usage}


def model_list(state: ConfigState) -> dict[str, Any]:
    """Returns the list of served models."""
    models = sorted(
        {service.model or name for name, service in state.services.items()}
    )
    data = [{"id": model, "object": "model"} for model in models]
    return {"object": "list", "data": data}


def _common_fields(completion: Completion, *, is_chunk: bool) -> dict[str, Any]:
    kind = "text_completion"
    if completion.is_chat:
        kind = "chat.completion.chunk" if is_chunk else "chat.completion"
    return {
        "id": completion.request.id,
        "object": kind,
        "model": completion.model,
    }


def _encode_event(body: dict[str, Any]) -> bytes:
    return (
        b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n"
    )


__all__ = [
    "completion_object",
    "final_chunk",
    "error_event",
    "model_list",
    "text_chunk",
]

"""Validates callers' requests and converts them to routed requests."""

from __future__ import annotations

import hashlib
import math
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.json_values import JsonError, decode_json
from auburnswitch.results import RefusalError, refusal
from auburnswitch.routing.length_classes import (
    classify_length,
    default_deadline_s,
    estimate_tokens,
)
from auburnswitch.routing.request import RoutedRequest, compute_fingerprint
from auburnswitch.schema.objects import ServiceKind
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from starlette.datastructures import Headers
    from starlette.requests import Request

    from auburnswitch.configuration.state import ConfigState
    from auburnswitch.schema.objects import Service
    from auburnswitch.schema.settings import Settings

DEADLINE_HEADER: Final = "x-deadline-seconds"
REQUEST_ID_HEADER: Final = "x-request-id"
IDEMPOTENCY_HEADER: Final = "idempotency-key"
MAX_IDENTIFIER_CHARS: Final = 128


@dataclass(slots=True, kw_only=True)
class Caller:
    """The authenticated sender of a request.

    Attributes:
        team: Name of the team.
        weight: Weight of the team.
    """

    team: str
    weight: float


@dataclass(slots=True, kw_only=True)
class Completion:
    """A validated completion request.

    Attributes:
        request: The request to route.
        is_streamed: Whether the caller requested a streamed answer.
        is_chat: Whether it is a chat completion.
        model: Model name in the request.
    """

    request: RoutedRequest
    is_streamed: bool
    is_chat: bool
    model: str


class RequestParser:
    """Validates requests against the settings and the configuration.

    Attributes:
        settings: The validated settings.
        state: The configuration in force.
    """

    __slots__ = ("settings", "state")

    def __init__(self, *, settings: Settings, state: ConfigState) -> None:
        self.settings = settings
        self.state = state

    def authenticate(self, headers: Headers) -> Caller:
        """Returns the team and weight for the caller key in the headers.

        Raises:
            RefusalError: The key is missing or unknown.
        """
        scheme, _, key = headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        name = self.state.team_by_key_digest.get(digest)
        if scheme.lower() != "bearer" or not key or name is None:
            raise RefusalError(refusal(ResultCode.BAD_CALLER_KEY))
        return Caller(team=name, weight=self.state.teams[name].weight)

    def check_header_size(self, headers: Headers) -> None:
        """Checks the total size of the headers.

        Raises:
            RefusalError: The headers are too large.
        """
        limit_bytes = self.settings.callers.max_header_bytes
        size_bytes = sum(len(name) + len(value) for name, value in headers.raw)
        if size_bytes > limit_bytes:
            message = f"headers may have {limit_bytes} bytes"
            raise RefusalError(refusal(ResultCode.HEADER_TOO_LARGE, message))

    async def read_body(self, request: Request) -> bytes:
        """Reads the body, up to the configured limit.

        Raises:
            RefusalError: The body is too large.
        """
        limit_bytes = self.settings.callers.max_body_bytes
        too_large = refusal(
            ResultCode.BODY_TOO_LARGE, f"a body may have {limit_bytes} bytes"
        )
        declared = request.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > limit_bytes:
            raise RefusalError(too_large)
        chunks = []
        size_bytes = 0
        async for chunk in request.stream():
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                raise RefusalError(too_large)
            chunks.append(chunk)
        return b"".join(chunks)

    def parse_completion(
        self,
        caller: Caller,
        headers: Headers,
        raw_body: bytes,
        *,
        is_chat: bool,
    ) -> Completion:
        """Validates a completion request.

        Raises:
            RefusalError: The request is invalid or not allowed.
        """
        body = _parse_json_object(raw_body)
        model = _read_text_field(body, "model")
        service_name = self._find_model_service(caller, model)
        service = self.state.services[service_name]
        tokens = self._estimate_prompt_tokens(body, is_chat)
        answer_tokens = self._parse_answer_tokens(body)
        length_class = classify_length(tokens, self.settings.routing)
        deadline_s = self._parse_deadline_s(headers, service, length_class)
        request = RoutedRequest(
            id=_make_request_id(headers),
            team=caller.team,
            team_weight=caller.weight,
            service=service_name,
            deadline_at=monotonic_s() + deadline_s,
            prompt_tokens=tokens,
            answer_tokens=answer_tokens,
            length_class=length_class,
            fingerprint=compute_fingerprint(caller.team, raw_body),
            path="/v1/chat/completions" if is_chat else "/v1/completions",
            body=body,
            max_attempts=max(1, service.max_attempts),
            allow_continuation=service.allow_continuation,
        )
        is_streamed = body.get("stream", False) is True
        return Completion(
            request=request,
            is_streamed=is_streamed,
            is_chat=is_chat,
            model=model,
        )

    def parse_plain_request(
        self,
        caller: Caller,
        headers: Headers,
        raw_body: bytes,
        *,
        service_name: str,
        method: str,
        path: str,
    ) -> RoutedRequest:
        """Validates a request to a plain service.

        Raises:
            RefusalError: The request is invalid or not allowed.
        """
        service = self.state.services.get(service_name)
        if service is None or service.kind != ServiceKind.PLAIN:
            raise RefusalError(refusal(ResultCode.UNKNOWN_SERVICE))
        self._check_team(caller, service)
        tokens = max(1, math.ceil(len(raw_body) / 4))
        length_class = classify_length(tokens, self.settings.routing)
        deadline_s = self._parse_deadline_s(headers, service, length_class)
        fingerprint_input = f"{method} {path}\n".encode() + raw_body
        idempotent = method in service.idempotent_methods or any(
            path.startswith(prefix) for prefix in service.idempotent_paths
        )
        return RoutedRequest(
            id=_make_request_id(headers),
            team=caller.team,
            team_weight=caller.weight,
            service=service_name,
            deadline_at=monotonic_s() + deadline_s,
            prompt_tokens=tokens,
            answer_tokens=0,
            length_class=length_class,
            fingerprint=compute_fingerprint(caller.team, fingerprint_input),
            path=path,
            idempotent=idempotent,
            max_attempts=max(1, service.max_attempts) if idempotent else 1,
        )

    def parse_idempotency_key(self, headers: Headers) -> str:
        """Returns the validated idempotency key, empty if there is none.

        Raises:
            RefusalError: The key is invalid.
        """
        key = headers.get(IDEMPOTENCY_HEADER)
        if key is None:
            return ""
        if (
            not key
            or len(key) > MAX_IDENTIFIER_CHARS
            or not _is_valid_identifier(key)
        ):
            raise RefusalError(refusal(ResultCode.BAD_IDEMPOTENCY_KEY))
        return key

    def _find_model_service(self, caller: Caller, model: str) -> str:
        names = [
            name
            for name in self.state.services_for_model(model)
            if self.state.services[name].kind == ServiceKind.MODEL
        ]
        if not names:
            message = f"no service serves the model {model!r}"
            raise RefusalError(refusal(ResultCode.UNKNOWN_MODEL, message))
        self._check_team(caller, self.state.services[names[0]])
        return names[0]

    def _check_team(self, caller: Caller, service: Service) -> None:
        if service.teams and caller.team not in service.teams:
            raise RefusalError(refusal(ResultCode.TEAM_NOT_ALLOWED))

    def _estimate_prompt_tokens(
        self, body: dict[str, Any], is_chat: bool
    ) -> int:
        if not is_chat:
            prompt = _read_text_field(body, "prompt")
            return estimate_tokens(prompt, self.settings.routing)
        messages = body.get("messages")
        if not isinstance(messages, list) or not messages:
            raise _make_field_error("messages", "must be a list of messages")
        texts = [_read_message_text(message) for message in messages]
        return estimate_tokens("\n".join(texts), self.settings.routing)

    def _parse_answer_tokens(self, body: dict[str, Any]) -> int:
        tokens = body.get("max_tokens")
        if tokens is None:
            return self.settings.routing.default_answer_tokens
        if isinstance(tokens, bool) or not isinstance(tokens, int):
            raise _make_field_error("max_tokens", "must be a whole number")
        if not 1 <= tokens <= 1_000_000:
            raise _make_field_error("max_tokens", "must be from 1 to 1000000")
        return tokens

    def _parse_deadline_s(
        self,
        headers: Headers,
        service: Service,
        length_class,  # noqa: ANN001
    ) -> float:
        raw_deadline = headers.get(DEADLINE_HEADER)
        limit_s = self.settings.callers.max_deadline_s
        if raw_deadline is None:
            return min(default_deadline_s(service, length_class), limit_s)
        try:
            seconds = float(raw_deadline)
        except ValueError:
            seconds = math.nan
        if not 0 < seconds <= limit_s:
            message = f"{DEADLINE_HEADER} must be above 0 and at most {limit_s}"
            raise RefusalError(refusal(ResultCode.BAD_DEADLINE, message))
        return seconds


def _make_request_id(headers: Headers) -> str:
    caller_request_id = headers.get(REQUEST_ID_HEADER, "")
    if (
        caller_request_id
        and len(caller_request_id) <= MAX_IDENTIFIER_CHARS
        and _is_valid_identifier(caller_request_id)
    ):
        return f"{caller_request_id}.{secrets.token_hex(4)}"
    return secrets.token_hex(12)


def _is_valid_identifier(text: str) -> bool:
    return text.isascii() and text.isprintable() and "/" not in text


def _parse_json_object(raw_body: bytes) -> dict[str, Any]:
    try:
        body = decode_json(raw_body)
    except JsonError as error:
        raise RefusalError(refusal(ResultCode.BAD_JSON)) from error
    if not isinstance(body, dict):
        raise _make_field_error("body", "must be an object")
    return body


def _read_text_field(body: dict[str, Any], name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise _make_field_error(name, "must be text that is not empty")
    return value


def _read_message_text(message: Any) -> str:
    if not isinstance(message, dict):
        raise _make_field_error("messages", "must hold objects")
    content = message.get("content")
    if not isinstance(content, str):
        raise _make_field_error("messages", "must have text as content")
    return content


def _make_field_error(name: str, reason: str) -> RefusalError:
    return RefusalError(refusal(ResultCode.BAD_FIELD, f"{name} {reason}"))


__all__ = ["Caller", "Completion", "RequestParser"]

"""Provides the daemon's ASGI application for callers."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from auburnswitch.callers.completion_format import (
    completion_object,
    error_event,
    final_chunk,
    model_list,
    text_chunk,
)
from auburnswitch.callers.event_stream import EventStreamResponse
from auburnswitch.observe.logs import log_event
from auburnswitch.results import Refusal, RefusalError, refusal
from auburnswitch.routing.dispatcher import (
    AnswerEnd,
    AnswerFailed,
    AnswerPart,
    AnswerText,
)
from auburnswitch.routing.plain import PlainAnswer, PlainCall
from auburnswitch.schema.events import EventId
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from starlette.requests import Request

    from auburnswitch.callers.request_parser import Completion, RequestParser
    from auburnswitch.observe.metrics import Metrics
    from auburnswitch.routing.dispatcher import Dispatcher
    from auburnswitch.routing.plain import PlainRouter

PLAIN_SERVICE_METHODS = [
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
    "OPTIONS",
]


class CallerApp:
    """Serves completions and plain services.

    Attributes:
        parser: Validates requests.
        dispatcher: Runs completions.
        plain_router: Runs plain requests.
        metrics: Counts the requests by result code.
        get_admission_refusal: Returns why new work is refused, or None.
    """

    __slots__ = (
        "dispatcher",
        "get_admission_refusal",
        "metrics",
        "parser",
        "plain_router",
    )

    def __init__(
        self,
        *,
        parser: RequestParser,
        dispatcher: Dispatcher,
        plain_router: PlainRouter,
        metrics: Metrics,
        get_admission_refusal: Callable[[], Refusal | None],
    ) -> None:
        self.parser = parser
        self.dispatcher = dispatcher
        self.plain_router = plain_router
        self.metrics = metrics
        self.get_admission_refusal = get_admission_refusal

    def build(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/completions", self._completions, methods=["POST"]),
                Route(
                    "/v1/chat/completions",
                    self._chat_completions,
                    methods=["POST"],
                ),
                Route("/v1/models", self._models),
                Route(
                    "/services/{service}/{path:path}",
                    self._plain_service,
                    methods=PLAIN_SERVICE_METHODS,
                ),
            ],
            exception_handlers={
                RefusalError: self._on_refusal,
                404: self._on_unknown_path,
                405: self._on_bad_method,
                Exception: self._on_error,
            },
        )

    async def _completions(self, request: Request) -> Response:
        return await self._complete(request, is_chat=False)

    async def _chat_completions(self, request: Request) -> Response:
        return await self._complete(request, is_chat=True)

    async def _models(self, request: Request) -> Response:
        self.parser.authenticate(request.headers)
        return JSONResponse(model_list(self.parser.state))

    async def _complete(self, request: Request, *, is_chat: bool) -> Response:
        self._check_admission()
        self.parser.check_header_size(request.headers)
        caller = self.parser.authenticate(request.headers)
        raw_body = await self.parser.read_body(request)
        completion = self.parser.parse_completion(
            caller, request.headers, raw_body, is_chat=is_chat
        )
        parts = self.dispatcher.run(completion.request)
        first_part = await anext(parts)
        if isinstance(first_part, AnswerFailed):
            await parts.aclose()
            return self._refusal_response(
                first_part.refusal, completion.request.id
            )
        headers = {"X-Request-Id": completion.request.id}
        if completion.is_streamed:
            return self._event_stream(completion, first_part, parts, headers)
        return await self._completion_response(
            completion, first_part, parts, headers
        )

    def _event_stream(
        self,
        completion: Completion,
        first_part: AnswerPart,
        parts: AsyncGenerator[AnswerPart, None],
        headers: dict[str, str],
    ) -> Response:
        request_id = completion.request.id
        settings = self.parser.settings.callers
        return EventStreamResponse(
            chunks=self._encode_parts(completion, first_part, parts),
            headers=headers,
            write_timeout_s=settings.slow_caller_timeout_s,
            on_disconnect=lambda: self._record_result(
                ResultCode.CALLER_GONE, request_id
            ),
            on_write_timeout=lambda: self._record_result(
                ResultCode.CALLER_TOO_SLOW, request_id
            ),
        )

    async def _encode_parts(
        self,
        completion: Completion,
        first_part: AnswerPart,
        parts: AsyncGenerator[AnswerPart, None],
    ) -> AsyncGenerator[bytes, None]:
        async with contextlib.aclosing(parts):
            yield self._encode_part(completion, first_part)
            async for part in parts:
                yield self._encode_part(completion, part)

    def _encode_part(self, completion: Completion, part: AnswerPart) -> bytes:
        match part:
            case AnswerText(text=text):
                return text_chunk(completion, text)
            case AnswerEnd():
                self._record_result(ResultCode.OK, completion.request.id)
                return final_chunk(completion, part)
            case AnswerFailed(refusal=refused):
                self._record_result(refused.code, completion.request.id)
                return error_event(refused)

    async def _completion_response(
        self,
        completion: Completion,
        first_part: AnswerPart,
        parts: AsyncGenerator[AnswerPart, None],
        headers: dict[str, str],
    ) -> Response:
        request_id = completion.request.id
        texts: list[str] = []
        part = first_part
        async with contextlib.aclosing(parts):
            while isinstance(part, AnswerText):
                texts.append(part.text)
                part = await anext(parts)
            await anext(parts, None)  # lets the attempt finish its cleanup
        if isinstance(part, AnswerFailed):
            return self._refusal_response(part.refusal, request_id)
        self._record_result(ResultCode.OK, request_id)
        body = completion_object(completion, "".join(texts), part)
        return JSONResponse(body, headers=headers)

    async def _plain_service(self, request: Request) -> Response:
        self._check_admission()
        self.parser.check_header_size(request.headers)
        caller = self.parser.authenticate(request.headers)
        raw_body = await self.parser.read_body(request)
        path = _service_path(request)
        routed_request = self.parser.parse_plain_request(
            caller,
            request.headers,
            raw_body,
            service_name=request.path_params["service"],
            method=request.method,
            path=path,
        )
        call = PlainCall(
            method=request.method,
            path=path + (f"?{request.url.query}" if request.url.query else ""),
            body=raw_body,
            headers=_select_forwarded_headers(request),
            idempotency_key=self.parser.parse_idempotency_key(request.headers),
        )
        outcome = await self.plain_router.run(routed_request, call)
        match outcome:
            case PlainAnswer(status=status, body=body, headers=headers):
                self._record_result(ResultCode.OK, routed_request.id)
                headers = headers | {"X-Request-Id": routed_request.id}
                return Response(body, status_code=status, headers=headers)
            case Refusal():
                return self._refusal_response(outcome, routed_request.id)

    def _check_admission(self) -> None:
        refused = self.get_admission_refusal()
        if refused is not None:
            raise RefusalError(refused)

    def _refusal_response(
        self, refused: Refusal, request_id: str = ""
    ) -> Response:
        self._record_result(refused.code, request_id)
        headers = refused.headers()
        if request_id:
            headers["X-Request-Id"] = request_id
        return JSONResponse(
            refused.to_json(), status_code=refused.http_status, headers=headers
        )

    def _record_result(self, code: ResultCode, request_id: str) -> None:
        self.metrics.requests.add(1, {"code": code.name.lower()})
        event = EventId.REQUEST_FAILED if code else EventId.REQUEST_FINISHED
        log_event(event, request_id=request_id, code=int(code))

    async def _on_refusal(self, _: Request, error: Exception) -> Response:
        assert isinstance(error, RefusalError)
        return self._refusal_response(error.refusal)

    async def _on_unknown_path(self, _: Request, __: Exception) -> Response:
        return self._refusal_response(refusal(ResultCode.UNKNOWN_SERVICE))

    async def _on_bad_method(self, _: Request, __: Exception) -> Response:
        return self._refusal_response(refusal(ResultCode.BAD_METHOD))

    async def _on_error(self, _: Request, error: Exception) -> Response:
        log_event(EventId.TASK_FAILED, task="request", error=repr(error))
        return self._refusal_response(refusal(ResultCode.INTERNAL))


def _service_path(request: Request) -> str:
    """Returns the path after the service name, with its original encoding."""
    raw_path = request.scope["raw_path"].decode("ascii")
    return "/" + raw_path.split("/", 3)[3]


def _select_forwarded_headers(request: Request) -> dict[str, str]:
    names = ("content-type", "accept", "idempotency-key")
    return {
        name: request.headers[name] for name in names if name in request.headers
    }


__all__ = ["CallerApp"]

"""Serves the HTTP API of the engine stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from auburnswitch.standins.answers import (
    EMPTY_DIGEST,
    count_tokens,
    prompt_digest,
)
from auburnswitch.standins.control import control_routes
from auburnswitch.standins.engine_cache import block_hashes
from auburnswitch.standins.engine_job import (
    CRASH_MARKER,
    Completion,
    Job,
    PrefillSegment,
)
from auburnswitch.standins.engine_orders import parse_order
from auburnswitch.standins.engine_requests import (
    EngineRequest,
    KvCacheRef,
    RequestIds,
    parse_request,
    read_json_object,
    read_prefill_request_ids,
    read_request_ids,
)
from auburnswitch.standins.engine_responses import (
    SseResponse,
    completion_response,
)

if TYPE_CHECKING:
    from starlette.requests import Request

    from auburnswitch.standins.engine import EngineStandIn


class EngineApi:
    """Handles the HTTP requests to an engine.

    Attributes:
        engine: The engine.
    """

    __slots__ = ("engine",)

    def __init__(self, *, engine: EngineStandIn) -> None:
        self.engine = engine

    def routes(self) -> list[Route]:
        """Returns the routes of the API."""
        stream_path = "/v1/streams/{request_id}/{attempt:int}"
        kv_path = "/v1/kv/{kv_id}"
        return [
            Route("/v1/completions", self.complete, methods=["POST"]),
            Route("/v1/chat/completions", self.chat, methods=["POST"]),
            Route("/v1/streams", self.list_streams, methods=["GET"]),
            Route(stream_path, self.resume_stream, methods=["GET"]),
            Route(stream_path, self.cancel_stream, methods=["DELETE"]),
            Route("/v1/prefill", self.prefill, methods=["POST"]),
            Route("/v1/kv", self.list_kv, methods=["GET"]),
            Route(kv_path, self.free_kv, methods=["DELETE"]),
            Route("/load", self.load, methods=["GET"]),
            Route("/v1/cache/events", self.cache_events, methods=["GET"]),
            Route("/v1/orders", self.apply_order, methods=["POST"]),
            Route("/v1/orders", self.get_orders, methods=["GET"]),
        ]

    async def complete(self, request: Request) -> Response:
        """Serves a completion request."""
        return await self._complete(request, chat=False)

    async def chat(self, request: Request) -> Response:
        """Serves a chat completion request."""
        return await self._complete(request, chat=True)

    async def _complete(self, request: Request, *, chat: bool) -> Response:
        try:
            body = await read_json_object(request)
            parsed = parse_request(body, chat=chat)
            ids = read_request_ids(request, self._make_default_id())
        except ValueError as error:
            return _error_response(400, str(error))
        continued_tokens = count_tokens(parsed.continue_text)
        work = Completion(
            max_tokens=parsed.max_tokens,
            first_token=continued_tokens,
            chat=chat,
        )
        rejection = await self._find_rejection(
            parsed, work.max_tokens + continued_tokens
        )
        if rejection is None and self.engine.job_table.has_attempt(ids):
            rejection = _error_response(409, "this attempt already exists")
        if rejection is not None:
            return rejection
        job = self._make_job(parsed, ids, work)
        self.engine.submit(job)
        if parsed.stream:
            return self._stream_response(job, work, first=0)
        await job.wait_until_inactive()
        return JSONResponse(completion_response(job, work))

    def _make_default_id(self) -> str:
        return (
            f"{self.engine.boot_id}-"
            f"{self.engine.job_table.next_arrival_index()}"
        )

    async def _find_rejection(
        self, parsed: EngineRequest, extra_tokens: int
    ) -> Response | None:
        loaded = self.engine.order_state.model
        if loaded and parsed.model and parsed.model != loaded:
            return _error_response(404, f"model {parsed.model} is not loaded")
        needed_tokens = count_tokens(parsed.prompt) + extra_tokens
        if needed_tokens > self.engine.options.memory_tokens:
            return _error_response(
                400, "the request exceeds the engine's memory"
            )
        for kv_ref in parsed.kv_chain:
            if not await self._kv_exists(kv_ref):
                return _error_response(
                    409, f"KV cache {kv_ref.kv_id} does not exist"
                )
        return None

    async def _kv_exists(self, kv_ref: KvCacheRef) -> bool:
        if self.engine.session is None:
            return True
        url = f"{kv_ref.url}/v1/kv"
        try:
            async with self.engine.session.get(url) as response:
                caches = (await response.json())["caches"]
        except aiohttp.ClientError:
            return False
        return any(cache["kv_id"] == kv_ref.kv_id for cache in caches)

    def _make_job(
        self,
        parsed: EngineRequest,
        ids: RequestIds,
        work: Completion | PrefillSegment,
    ) -> Job:
        text = parsed.prompt + parsed.continue_text
        continued_tokens = count_tokens(parsed.continue_text)
        return Job(
            request_id=ids.request_id,
            attempt=ids.attempt,
            member_id=ids.member_id,
            priority=parsed.priority,
            arrival_index=self.engine.job_table.next_arrival_index(),
            work=work,
            prompt_tokens=count_tokens(parsed.prompt) + continued_tokens,
            digest=prompt_digest(parsed.prompt, _chain_digest(parsed)),
            blocks=[] if parsed.kv_chain else block_hashes(text),
            crashes_engine=CRASH_MARKER in parsed.prompt,
        )

    def _stream_response(
        self, job: Job, work: Completion, first: int
    ) -> Response:
        return SseResponse(
            job=job,
            work=work,
            first=first,
            history=self.engine.history,
            actor=self.engine.name,
        )

    async def list_streams(self, request: Request) -> Response:
        """Lists the streams that are active or can be resumed."""
        streams = [
            {
                "request_id": job.request_id,
                "attempt": job.attempt,
                "member_id": job.member_id,
                "tokens": job.memory_tokens if job.active else 0,
                "finished": not job.active,
            }
            for job in self.engine.job_table.list_streams()
        ]
        return JSONResponse({"streams": streams})

    def _find_stream(self, request: Request) -> Job | None:
        params = request.path_params
        return self.engine.job_table.find_stream(
            params["request_id"], params["attempt"]
        )

    async def resume_stream(self, request: Request) -> Response:
        """Streams an answer again, starting at a sequence number."""
        job = self._find_stream(request)
        if job is None:
            return _error_response(404, "no such stream")
        try:
            first = int(request.query_params.get("from", "0"))
        except ValueError as error:
            return _error_response(400, str(error))
        match job.work:
            case Completion() as work if first >= 0:
                return self._stream_response(job, work, first)
        return _error_response(400, "cannot resume from this sequence number")

    async def cancel_stream(self, request: Request) -> Response:
        """Cancels a stream."""
        job = self._find_stream(request)
        if job is None:
            return _error_response(404, "no such stream")
        self.engine.cancel(job)
        return JSONResponse({})

    async def prefill(self, request: Request) -> Response:
        """Prefills one segment and retains its KV cache."""
        try:
            body = await read_json_object(request)
            parsed = parse_request(body, chat=False)
            ids = read_prefill_request_ids(
                request, body, self._make_default_id()
            )
        except ValueError as error:
            return _error_response(400, str(error))
        rejection = await self._find_rejection(parsed, 0)
        if rejection is not None:
            return rejection
        tokens = count_tokens(parsed.prompt)
        digest = prompt_digest(parsed.prompt, _chain_digest(parsed))
        kv_id = self.engine.job_table.next_kv_id(
            self.engine.boot_id, tokens, digest
        )
        job = self._make_job(parsed, ids, PrefillSegment(kv_id=kv_id))
        self.engine.submit(job)
        await job.wait_until_inactive()
        if not job.kv_retained:
            return _error_response(409, "the KV cache has been freed")
        return JSONResponse({"kv_id": kv_id, "tokens": tokens})

    async def list_kv(self, request: Request) -> Response:
        """Lists the KV caches, including those still in prefill."""
        caches = [
            {
                "kv_id": kv_id,
                "request_id": job.request_id,
                "attempt": job.attempt,
                "member_id": job.member_id,
                "tokens": job.memory_tokens,
            }
            for kv_id, job in self.engine.job_table.kv_caches.items()
        ]
        return JSONResponse({"caches": caches})

    async def free_kv(self, request: Request) -> Response:
        """Frees a KV cache."""
        job = self.engine.job_table.kv_caches.get(request.path_params["kv_id"])
        if job is None:
            return _error_response(404, "no such KV cache")
        self.engine.cancel(job)
        return JSONResponse({})

    async def load(self, request: Request) -> Response:
        """Returns the load as it was `load_lag_s` ago."""
        return JSONResponse(self.engine.load.read().to_json())

    async def cache_events(self, request: Request) -> Response:
        """Lists cache events, starting at a sequence number."""
        try:
            since = int(request.query_params.get("since", "0"))
        except ValueError as error:
            return _error_response(400, str(error))
        events, next_sequence = self.engine.cache.feed.read(since)
        content = [event.to_json() for event in events]
        return JSONResponse({"events": content, "next": next_sequence})

    async def apply_order(self, request: Request) -> Response:
        """Applies an order, or responds 409 with the current fencing number."""
        try:
            order = parse_order(await read_json_object(request))
        except ValueError as error:
            return _error_response(400, str(error))
        if not self.engine.apply_order(order):
            fencing_number = self.engine.order_state.fencing_number
            return JSONResponse({"fencing_number": fencing_number}, 409)
        return JSONResponse({})

    async def get_orders(self, request: Request) -> Response:
        """Returns the state that orders have set."""
        return JSONResponse(self.engine.order_state.to_json())


def _chain_digest(parsed: EngineRequest) -> str:
    if not parsed.kv_chain:
        return EMPTY_DIGEST
    return parsed.kv_chain[-1].digest


def _error_response(status: int, text: str) -> Response:
    return JSONResponse({"error": text}, status)


def engine_app(engine: EngineStandIn) -> Starlette:
    """Returns an engine's API as an ASGI application."""
    api = EngineApi(engine=engine)
    return Starlette(routes=[*control_routes(engine), *api.routes()])


__all__ = ["EngineApi", "engine_app"]

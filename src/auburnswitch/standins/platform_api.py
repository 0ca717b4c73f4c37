"""Serves the HTTP API of the platform stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING, Any, Final

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from auburnswitch.standins.control import control_routes
from auburnswitch.standins.history import HistoryKind
from auburnswitch.standins.lost_response import LostResponse
from auburnswitch.standins.object_store import (
    CompactedError,
    PreconditionFailedError,
)
from auburnswitch.standins.token_bucket import TokenBucket, retry_after_header

if TYPE_CHECKING:
    from starlette.requests import Request

    from auburnswitch.standins.platform import PlatformStandIn

DEFAULT_WATCH_TIMEOUT_S: Final = 30.0
MAX_WATCH_TIMEOUT_S: Final = 300.0


class PlatformApi:
    """Handles the HTTP requests to the platform.

    Attributes:
        platform: The platform.
    """

    __slots__ = ("platform",)

    def __init__(self, *, platform: PlatformStandIn) -> None:
        self.platform = platform

    def routes(self) -> list[Route]:
        """Returns the routes of the API."""
        return [
            Route("/objects", self.list_objects, methods=["GET"]),
            Route("/objects/{key:path}", self.get, methods=["GET"]),
            Route("/objects/{key:path}", self.put, methods=["PUT"]),
            Route("/objects/{key:path}", self.delete, methods=["DELETE"]),
            Route("/watch", self.watch, methods=["GET"]),
            Route("/instances", self.list_instances, methods=["GET"]),
        ]

    async def get(self, request: Request) -> Response:
        """Returns one object."""
        platform = self.platform
        rejection = await self._admit_call("get", platform.read_limiter)
        if rejection is not None:
            return rejection
        found = platform.store.objects.get(request.path_params["key"])
        if found is None:
            return self._response({"error": "no such object"}, 404)
        return self._response(found.to_json())

    async def list_objects(self, request: Request) -> Response:
        """Lists the objects under a prefix."""
        platform = self.platform
        rejection = await self._admit_call("list", platform.read_limiter)
        if rejection is not None:
            return rejection
        prefix = request.query_params.get("prefix", "")
        found = platform.store.list_objects(prefix)
        items = [item.to_json() for item in found]
        revision = platform.store.revision
        return self._response({"items": items, "revision": revision})

    async def put(self, request: Request) -> Response:
        """Writes an object."""
        platform = self.platform
        body = await request.body()
        rejection = await self._admit_call("put", platform.write_limiter)
        if rejection is not None:
            return rejection
        if len(body) > platform.max_value_bytes:
            return self._response({"error": "the value is too large"}, 413)
        key = request.path_params["key"]
        try:
            value = json.loads(body)
            written = platform.store.put(key, value, _expected_version(request))
        except ValueError as error:
            return self._response({"error": str(error)}, 400)
        except PreconditionFailedError as error:
            return self._response({"version": error.version}, 412)
        return self._write_response("put", key, written.version)

    async def delete(self, request: Request) -> Response:
        """Deletes an object."""
        platform = self.platform
        rejection = await self._admit_call("delete", platform.write_limiter)
        if rejection is not None:
            return rejection
        key = request.path_params["key"]
        try:
            existed = platform.store.delete(key, _expected_version(request))
        except ValueError as error:
            return self._response({"error": str(error)}, 400)
        except PreconditionFailedError as error:
            return self._response({"version": error.version}, 412)
        if not existed:
            return self._response({"error": "no such object"}, 404)
        return self._write_response("delete", key, platform.store.revision)

    async def watch(self, request: Request) -> Response:
        """Waits for and returns the changes under a prefix after a revision."""
        rejection = await self._admit_call("watch", self.platform.read_limiter)
        if rejection is not None:
            return rejection
        query = request.query_params
        try:
            since = int(query.get("since", "0"))
            timeout_s = float(query.get("timeout", DEFAULT_WATCH_TIMEOUT_S))
        except ValueError as error:
            return self._response({"error": str(error)}, 400)
        prefix = query.get("prefix", "")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(timeout_s, MAX_WATCH_TIMEOUT_S)):
                await self._wait_for_events(prefix, since)
        return await self._watch_response(prefix, since)

    async def _wait_for_events(self, prefix: str, since: int) -> None:
        platform = self.platform
        while not platform.outage:
            try:
                found = platform.store.events_after(prefix, since)
            except CompactedError:
                return
            if found and not platform.watch_broken:
                return
            await platform.store.wait_for_change(prefix)

    async def _watch_response(self, prefix: str, since: int) -> Response:
        platform = self.platform
        await platform.wait_until_not_silent()
        if platform.outage:
            return self._response({"error": "outage"}, 503)
        if platform.watch_broken:
            return self._response({"events": [], "revision": since})
        try:
            found = platform.store.events_after(prefix, since)
        except CompactedError:
            return self._response({"error": "compacted"}, 410)
        events = [event.to_json() for event in found]
        revision = platform.store.revision
        return self._response({"events": events, "revision": revision})

    async def list_instances(self, request: Request) -> Response:
        """Lists the instances as they were `lag_s` ago."""
        rejection = await self._admit_call(
            "instances", self.platform.read_limiter
        )
        if rejection is not None:
            return rejection
        entries = [e.to_json() for e in self.platform.instances.read()]
        return self._response({"instances": entries})

    async def _admit_call(
        self, kind: str, limiter: TokenBucket
    ) -> Response | None:
        platform = self.platform
        platform.calls[kind] += 1
        if platform.delay_s:
            await asyncio.sleep(platform.delay_s)
        await platform.wait_until_not_silent()
        if platform.outage:
            return self._response({"error": "outage"}, 503)
        wait_s = limiter.take()
        if wait_s:
            return self._response({}, 429, retry_after_header(wait_s))
        return None

    def _response(
        self,
        content: dict[str, Any],
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> Response:
        self.platform.statuses[status] += 1
        return JSONResponse(content, status, headers)

    def _write_response(
        self, operation: str, key: str, version: int
    ) -> Response:
        platform = self.platform
        history, name = platform.history, platform.name
        history.add(
            name,
            HistoryKind.WRITE_ACCEPTED,
            operation=operation,
            key=key,
            version=version,
        )
        if platform.lose_answers > 0:
            platform.lose_answers -= 1
            history.add(name, HistoryKind.ANSWER_LOST, key=key, version=version)
            return LostResponse(
                listener=platform.listener, hang=platform.hang_lost
            )
        return self._response({"key": key, "version": version})


def _expected_version(request: Request) -> int | None:
    if request.headers.get("if-none-match") == "*":
        return 0
    version = request.headers.get("if-match")
    return int(version.strip('"')) if version is not None else None


def platform_app(platform: PlatformStandIn) -> Starlette:
    """Returns the platform's API as an ASGI application."""
    api = PlatformApi(platform=platform)
    return Starlette(routes=[*control_routes(platform), *api.routes()])


__all__ = ["PlatformApi", "platform_app"]

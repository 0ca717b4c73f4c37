"""Sends requests to endpoints and reads their responses."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import aiohttp

from auburnswitch.http_client import read_json
from auburnswitch.json_values import decode_json

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from auburnswitch.schema.objects import Endpoint
    from auburnswitch.schema.settings import EndpointsSettings

    SendGuard = Callable[[], None]

_DATA_PREFIX: Final = b"data: "
_END_MARKER: Final = b"[DONE]"
_MAX_LINE_BYTES: Final = 2**20


@dataclass(slots=True, kw_only=True)
class StreamFrame:
    """One frame of an engine's stream.

    Attributes:
        sequence: Number of the frame in its stream, from 0.
        text: Text that the frame appends to the answer.
        finish_reason: Why the answer ended, empty before its end.
        usage: Token counts, in the last frame.
    """

    sequence: int
    text: str
    finish_reason: str = ""
    usage: dict[str, int] | None = None


@dataclass(slots=True, kw_only=True)
class MisroutedFrame:
    """A frame that belongs to another request or attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt to run a request on an endpoint."""

    request_id: str
    number: int
    member_id: str

    def headers(self) -> dict[str, str]:
        """Returns the headers that identify the attempt."""
        return {
            "X-Request-Id": self.request_id,
            "X-Attempt": str(self.number),
            "X-Member-Id": self.member_id,
        }


class EndpointFailureError(Exception):
    """An endpoint did not return a complete response.

    Attributes:
        sent: Whether part of the request may have reached the endpoint.
        lost: Whether the endpoint refused or dropped the connection.
        status: HTTP status of the error response, 0 if there is none.
    """

    def __init__(
        self, reason: str, *, sent: bool, lost: bool, status: int = 0
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.lost = lost
        self.status = status


def _guard_trace() -> aiohttp.TraceConfig:
    """Returns a trace that calls a request's guard before its first byte.

    The guard is called once the connection is ready, with no ``await``
    between the guard and the write of the request's header.
    """
    trace = aiohttp.TraceConfig()
    # aiohttp calls this right before it sends the headers.
    trace.on_request_headers_sent.append(_call_guard)
    trace.freeze()
    return trace


async def _call_guard(_: Any, context: Any, __: Any) -> None:
    guard = context.trace_request_ctx
    if guard is not None:
        guard()


class EndpointClient:
    """Calls endpoints over HTTP.

    Attributes:
        session: HTTP session of the calls.
        settings: Timeouts of the calls.
    """

    __slots__ = ("session", "settings")

    def __init__(
        self, *, session: aiohttp.ClientSession, settings: EndpointsSettings
    ) -> None:
        self.session = session
        self.settings = settings
        session.trace_configs.append(_guard_trace())

    @contextlib.asynccontextmanager
    async def request(
        self,
        spec: Endpoint,
        method: str,
        path: str,
        *,
        guard: SendGuard | None = None,
        **options: Any,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Sends a request and yields the response.

        Args:
            spec: The endpoint.
            method: HTTP method.
            path: Path at the endpoint.
            guard: Called right before the first byte is sent; may raise.
            **options: Further options of the HTTP call.

        Raises:
            EndpointFailureError: The connection failed or was lost, or the
                call timed out.
        """
        url = f"http://{spec.host}:{spec.port}{path}"
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self.settings.connect_timeout_s,
            sock_read=None,  # callers of this class set their own read timeouts
        )
        try:
            async with self.session.request(
                method,
                url,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=guard,
                **options,
            ) as response:
                yield response
        except aiohttp.ClientConnectorError as error:
            raise EndpointFailureError(
                str(error), sent=False, lost=True
            ) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise EndpointFailureError(
                str(error), sent=False, lost=True
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            reason = str(error) or type(error).__name__
            lost = not isinstance(error, TimeoutError)
            raise EndpointFailureError(reason, sent=True, lost=lost) from error

    async def stream(
        self,
        spec: Endpoint,
        path: str,
        body: Any,
        attempt: Attempt,
        guard: SendGuard | None = None,
    ) -> AsyncIterator[list[StreamFrame | MisroutedFrame]]:
        """Runs a completion and yields its frames as they arrive.

        Args:
            spec: The endpoint.
            path: Path at the endpoint.
            body: JSON body.
            attempt: Identifies the attempt.
            guard: Called right before the first byte is sent; may raise.

        Raises:
            EndpointFailureError: The endpoint reported an error, or the stream
                ended without its end marker.
        """
        headers = attempt.headers()
        async with self.request(
            spec, "POST", path, guard=guard, json=body, headers=headers
        ) as response:
            await _check_status(response)
            async for frames in _read_frames(response, attempt):
                yield frames

    async def resume(
        self, spec: Endpoint, attempt: Attempt, sequence: int
    ) -> AsyncIterator[list[StreamFrame | MisroutedFrame]]:
        """Resumes the stream of an attempt from a sequence number.

        Raises:
            EndpointFailureError: The endpoint no longer has the stream, or the
                stream ended without its end marker.
        """
        path = f"/v1/streams/{attempt.request_id}/{attempt.number}"
        async with self.request(
            spec, "GET", path, params={"from": sequence}
        ) as response:
            await _check_status(response)
            async for frames in _read_frames(response, attempt):
                yield frames

    async def read_boot_id(self, spec: Endpoint) -> str:
        """Returns an endpoint's current boot id, empty if it can't be read."""
        with contextlib.suppress(
            EndpointFailureError, TimeoutError, ValueError, LookupError
        ):
            async with (
                asyncio.timeout(self.settings.connect_timeout_s),
                self.request(spec, "GET", "/load") as response,
            ):
                return str((await read_json(response))["boot_id"])
        return ""

    async def free_kv_caches(self, spec: Endpoint, attempt: Attempt) -> bool:
        """Frees the KV caches of an attempt; returns whether all are freed."""
        with contextlib.suppress(
            EndpointFailureError, TimeoutError, ValueError, LookupError
        ):
            async with (
                asyncio.timeout(self.settings.connect_timeout_s),
                self.request(spec, "GET", "/v1/kv") as response,
            ):
                caches = (await read_json(response))["caches"]
            attempt_key = (attempt.request_id, attempt.number)
            freed = [
                await self.delete(spec, f"/v1/kv/{cache['kv_id']}")
                for cache in caches
                if (cache["request_id"], cache["attempt"]) == attempt_key
            ]
            return all(freed)
        return False

    async def cancel(self, spec: Endpoint, attempt: Attempt) -> bool:
        """Cancels an attempt, so that the endpoint frees its memory.

        Returns:
            Whether the endpoint no longer runs the attempt.
        """
        path = f"/v1/streams/{attempt.request_id}/{attempt.number}"
        return await self.delete(spec, path)

    async def delete(self, spec: Endpoint, path: str) -> bool:
        """Deletes a resource of an endpoint; returns whether it is deleted."""
        with contextlib.suppress(EndpointFailureError, TimeoutError):
            async with (
                asyncio.timeout(self.settings.connect_timeout_s),
                self.request(spec, "DELETE", path) as response,
            ):
                return response.status in (200, 204, 404)
        return False


async def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    text = (await response.content.read(500)).decode("utf-8", "replace")
    raise EndpointFailureError(
        f"HTTP status {response.status}: {text}",
        sent=True,
        lost=False,
        status=response.status,
    )


async def _read_frames(
    response: aiohttp.ClientResponse, attempt: Attempt
) -> AsyncIterator[list[StreamFrame | MisroutedFrame]]:
    partial_line = b""
    while chunk := await response.content.readany():
        lines = (partial_line + chunk).split(b"\n")
        partial_line = lines.pop()
        if len(partial_line) > _MAX_LINE_BYTES:
            raise EndpointFailureError(
                f"a line is longer than {_MAX_LINE_BYTES} bytes",
                sent=True,
                lost=False,
            )
        frames = []
        for line in lines:
            if not line.startswith(_DATA_PREFIX):
                continue
            payload = line[len(_DATA_PREFIX) :].strip()
            if payload == _END_MARKER:
                if frames:
                    yield frames
                await response.content.readany()  # the end, in most cases
                return
            frames.append(_parse_frame(payload, attempt))
        if frames:
            yield frames
    raise EndpointFailureError(
        "the stream ended without its end mark", sent=True, lost=True
    )


def _parse_frame(
    payload: bytes, attempt: Attempt
) -> StreamFrame | MisroutedFrame:
    try:
        data = decode_json(payload)
        if (
            data["id"] != attempt.request_id
            or data["attempt"] != attempt.number
        ):
            return MisroutedFrame(
                request_id=data["id"], attempt=data["attempt"]
            )
        choice = data["choices"][0]
        text = choice.get("text")
        if text is None:
            text = (choice.get("delta") or {}).get("content") or ""
        return StreamFrame(
            sequence=data["sequence"],
            text=text,
            finish_reason=choice.get("finish_reason") or "",
            usage=data.get("usage"),
        )
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        raise EndpointFailureError(
            "the endpoint sent a frame that cannot be read",
            sent=True,
            lost=False,
        ) from error


__all__ = [
    "Attempt",
    "EndpointClient",
    "EndpointFailureError",
    "MisroutedFrame",
    "StreamFrame",
]

"""Reads the streams and KV caches in an engine's memory."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from auburnswitch.endpoints.client import EndpointClient, EndpointFailureError
from auburnswitch.http_client import read_json

if TYPE_CHECKING:
    from auburnswitch.schema.objects import Endpoint


@dataclass(slots=True, kw_only=True, frozen=True)
class AttemptKey:
    """Identifies one attempt and the daemon that sent it."""

    member_id: str
    request_id: str
    attempt: int


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineWork:
    """A stream or a KV cache in an engine's memory.

    Attributes:
        key: Attempt that it belongs to.
        path: Path of the resource whose deletion frees it.
        tokens: Memory in use, in tokens.
    """

    key: AttemptKey
    path: str
    tokens: int


async def read_engine_work(
    client: EndpointClient, spec: Endpoint
) -> list[EngineWork]:
    """Reads an engine's running streams and its KV caches.

    Raises:
        EndpointFailureError: The engine returned no usable response.
        TimeoutError: The engine did not respond in time.
    """
    streams = await _read(client, spec, "/v1/streams")
    caches = await _read(client, spec, "/v1/kv")
    try:
        work_items = [
            _parse_stream(item)
            for item in streams["streams"]
            if _is_running(item)
        ]
        return work_items + [_parse_cache(item) for item in caches["caches"]]
    except (LookupError, TypeError, ValueError) as error:
        raise EndpointFailureError(
            "the engine's stream or KV cache list is malformed",
            sent=True,
            lost=False,
        ) from error


async def _read(client: EndpointClient, spec: Endpoint, path: str) -> Any:
    async with (
        asyncio.timeout(client.settings.connect_timeout_s),
        client.request(spec, "GET", path) as response,
    ):
        if response.status != 200:
            raise EndpointFailureError(
                f"HTTP status {response.status}", sent=True, lost=False
            )
        return await read_json(response)


def _is_running(item: dict[str, Any]) -> bool:
    return not item["finished"]


def _parse_stream(item: dict[str, Any]) -> EngineWork:
    key = _parse_key(item)
    request_id = quote(key.request_id, safe="")
    path = f"/v1/streams/{request_id}/{key.attempt}"
    return EngineWork(key=key, path=path, tokens=int(item["tokens"]))


def _parse_cache(item: dict[str, Any]) -> EngineWork:
    return EngineWork(
        key=_parse_key(item),
        path=f"/v1/kv/{quote(item['kv_id'], safe='')}",
        tokens=int(item["tokens"]),
    )


def _parse_key(item: dict[str, Any]) -> AttemptKey:
    return AttemptKey(
        member_id=str(item["member_id"]),
        request_id=str(item["request_id"]),
        attempt=int(item["attempt"]),
    )


__all__ = ["EngineWork", "AttemptKey", "read_engine_work"]

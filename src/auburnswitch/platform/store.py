"""Client of the platform's object store."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from expression import Error, Ok, Result

from auburnswitch.http_client import send_once

if TYPE_CHECKING:
    from auburnswitch.schema.settings import PlatformSettings

ABSENT: Final = 0  # version of an object that does not exist
_WATCH_GRACE_S: Final = 5.0


@dataclass(slots=True, kw_only=True)
class StoredObject:
    """One object of the store."""

    key: str
    version: int
    value: Any


@dataclass(slots=True, kw_only=True)
class Listing:
    """All objects under a prefix at one revision."""

    items: list[StoredObject]
    revision: int


@dataclass(slots=True, kw_only=True)
class WatchEvent:
    """One change seen by a watch."""

    deleted: bool
    object: StoredObject


@dataclass(slots=True, kw_only=True)
class WatchBatch:
    """Changes up to a revision."""

    events: list[WatchEvent]
    revision: int


@dataclass(slots=True, kw_only=True)
class Instance:
    """One entry of the platform's lagging list of instances."""

    name: str
    zone: str
    leaving: bool


@dataclass(slots=True, kw_only=True)
class StoreUnavailable:
    """The store gave no usable answer.

    Attributes:
        reason: What happened.
        outcome_unknown: A write may have taken effect.
        retry_after_s: When the store asked to be called again, in seconds.
    """

    reason: str
    outcome_unknown: bool = False
    retry_after_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class VersionConflict:
    """A conditional write found another version."""

    version: int


@dataclass(slots=True, kw_only=True)
class ValueTooLarge:
    """A value is larger than the store holds."""

    limit_bytes: int


@dataclass(slots=True, kw_only=True)
class RevisionExpired:
    """The store no longer keeps the changes after a revision."""


StoreError = StoreUnavailable | VersionConflict | ValueTooLarge
WatchError = StoreUnavailable | RevisionExpired


@dataclass(slots=True, kw_only=True)
class _Reply:
    status: int
    body: Any
    headers: Any = field(default_factory=dict)


class ObjectStore:
    """Calls the platform's object API.

    Attributes:
        settings: Address and bounds of the calls.
        session: HTTP session the calls go through.
        calls: Calls made so far.
        last_success_at: Loop time of the last answer, in seconds.
    """

    __slots__ = ("calls", "last_success_at", "semaphore", "session", "settings")

    def __init__(
        self, *, settings: PlatformSettings, session: aiohttp.ClientSession
    ) -> None:
        self.settings = settings
        self.session = session
        self.semaphore = asyncio.Semaphore(settings.max_concurrency)
        self.calls = 0
        self.last_success_at = float("-inf")

    def size_bytes(self, value: Any) -> int:
        """Returns the size at which the store would count a value."""
        return len(json.dumps(value).encode())

    async def get(
        self, key: str
    ) -> Result[StoredObject | None, StoreUnavailable]:
        """Reads an object; an absent one is None."""
        match await self._call("GET", f"/objects/{key}"):
            case _Reply(status=200, body=body):
                return Ok(_stored(body))
            case _Reply(status=404):
                return Ok(None)
            case _Reply() as reply:
                return Error(_unavailable(reply, write=False))
            case error:
                return Error(error)

    async def put(
        self, key: str, value: Any, *, expected_version: int | None = None
    ) -> Result[int, StoreError]:
        """Writes an object.

        Args:
            key: The object's key.
            value: Any JSON value.
            expected_version: Version that the object must have; ``ABSENT``
                creates it; None writes unconditionally.

        Returns:
            The new version.
        """
        headers = _condition(expected_version)
        reply = await self._call(
            "PUT", f"/objects/{key}", headers=headers, json=value
        )
        match reply:
            case _Reply(status=200, body=body):
                return Ok(body["version"])
            case _Reply(status=412, body=body):
                return Error(VersionConflict(version=body["version"]))
            case _Reply(status=413):
                limit = self.settings.max_value_bytes
                return Error(ValueTooLarge(limit_bytes=limit))
            case _Reply():
                return Error(_unavailable(reply, write=True))
            case error:
                return Error(error)

    async def delete(
        self, key: str, *, expected_version: int | None = None
    ) -> Result[None, StoreError]:
        """Deletes an object; an absent one counts as deleted."""
        headers = _condition(expected_version)
        reply = await self._call("DELETE", f"/objects/{key}", headers=headers)
        match reply:
            case _Reply(status=200 | 404):
                return Ok(None)
            case _Reply(status=412, body=body):
                return Error(VersionConflict(version=body["version"]))
            case _Reply():
                return Error(_unavailable(reply, write=True))
            case error:
                return Error(error)

    async def list(self, prefix: str) -> Result[Listing, StoreUnavailable]:
        """Reads all objects under a prefix."""
        reply = await self._call("GET", "/objects", params={"prefix": prefix})
        match reply:
            case _Reply(status=200, body=body):
                items = [_stored(item) for item in body["items"]]
                return Ok(Listing(items=items, revision=body["revision"]))
            case _Reply():
                return Error(_unavailable(reply, write=False))
            case error:
                return Error(error)

    async def watch(
        self, prefix: str, revision: int
    ) -> Result[WatchBatch, WatchError]:
        """Waits for changes under a prefix after a revision."""
        wait_s = self.settings.watch_timeout_s
        params = {"prefix": prefix, "since": revision, "timeout": wait_s}
        reply = await self._send(
            "GET", "/watch", wait_s + _WATCH_GRACE_S, params=params
        )
        match reply:
            case _Reply(status=200, body=body):
                events = [_watch_event(event) for event in body["events"]]
                return Ok(WatchBatch(events=events, revision=body["revision"]))
            case _Reply(status=410):
                return Error(RevisionExpired())
            case _Reply():
                return Error(_unavailable(reply, write=False))
            case error:
                return Error(error)

    async def instances(self) -> Result[list[Instance], StoreUnavailable]:
        """Reads the platform's lagging list of instances."""
        match await self._call("GET", "/instances"):
            case _Reply(status=200, body=body):
                return Ok([_instance(item) for item in body["instances"]])
            case _Reply() as reply:
                return Error(_unavailable(reply, write=False))
            case error:
                return Error(error)

    async def _call(
        self, method: str, path: str, **options: Any
    ) -> _Reply | StoreUnavailable:
        async with self.semaphore:
            timeout_s = self.settings.call_timeout_s
            return await self._send(method, path, timeout_s, **options)

    async def _send(
        self, method: str, path: str, timeout_s: float, **options: Any
    ) -> _Reply | StoreUnavailable:
        self.calls += 1
        url = self.settings.url.rstrip("/") + path
        middlewares = () if method == "GET" else (send_once,)
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.session.request(
                    method, url, middlewares=middlewares, **options
                ) as response,
            ):
                body = await response.json()
        except (aiohttp.ClientConnectorError, ConnectionRefusedError) as error:
            return StoreUnavailable(reason=str(error))
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
        ) as error:
            reason = str(error) or type(error).__name__
            unknown = method != "GET"
            return StoreUnavailable(reason=reason, outcome_unknown=unknown)
        if response.status < 500 and response.status != 429:
            self.last_success_at = asyncio.get_running_loop().time()
        return _Reply(
            status=response.status, body=body, headers=response.headers
        )


def _condition(expected_version: int | None) -> dict[str, str]:
    match expected_version:
        case None:
            return {}
        case 0:
            return {"If-None-Match": "*"}
        case version:
            return {"If-Match": str(version)}


def _stored(body: dict[str, Any]) -> StoredObject:
    return StoredObject(
        key=body["key"], version=body["version"], value=body.get("value")
    )


def _watch_event(body: dict[str, Any]) -> WatchEvent:
    return WatchEvent(deleted=body["kind"] == "delete", object=_stored(body))


def _instance(body: dict[str, Any]) -> Instance:
    return Instance(
        name=body["name"],
        zone=body["zone"],
        leaving=body["state"] == "leaving",
    )


def _unavailable(reply: _Reply, *, write: bool) -> StoreUnavailable:
    refused = reply.status in (429, 503)
    retry_after_s = float(reply.headers.get("Retry-After", 0) or 0)
    return StoreUnavailable(
        reason=f"HTTP status {reply.status}",
        outcome_unknown=write and not refused,
        retry_after_s=retry_after_s,
    )


__all__ = [
    "ABSENT",
    "Instance",
    "Listing",
    "ObjectStore",
    "RevisionExpired",
    "StoreError",
    "StoreUnavailable",
    "StoredObject",
    "ValueTooLarge",
    "VersionConflict",
    "WatchBatch",
    "WatchError",
    "WatchEvent",
]

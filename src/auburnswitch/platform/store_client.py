"""Calls the platform's object store for the entry daemon."""

from __future__ import annotations

import asyncio
import json
import urllib.parse
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.body_budget import BodyBudget
from auburnswitch.http_exchange import (
    ConnectError,
    ExchangeError,
    open_exchange,
)
from auburnswitch.json_values import decode_readable_json
from auburnswitch.platform import fields
from auburnswitch.platform.protocol import (
    CLOSED_ZONES_KIND,
    OBJECTS_PATH,
    STORE_GENERATION_HEADER,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    import h11

    from auburnswitch.schema.entry import StoreSettings

_HTTP_OK: Final = 200
_HTTP_CREATED: Final = 201
_HTTP_WRITTEN: Final = (_HTTP_OK, _HTTP_CREATED)
_HTTP_NOT_FOUND: Final = 404
_HTTP_CONFLICT: Final = 409
_HTTP_GONE: Final = 410
_MS_PER_S: Final = 1000
_INCOMPLETE: Final = "the answer is incomplete"
_OUTDATED: Final = "the store has come back from a copy since"
CONNECT_TIMEOUT_S: Final = 0.6
MAX_RESPONSE_BYTES: Final = 16 * 2**20  # a page has about 1 MB
MAX_BUFFERED_BYTES: Final = 4 * MAX_RESPONSE_BYTES  # one for each kind
MAX_REVISION: Final = 2**63 - 1  # fits into messages to peers
MAX_GENERATION_DIGITS: Final = 18
_JSON_HEADER: Final = ("content-type", "application/json")


@dataclass(slots=True, kw_only=True)
class StoredObject:
    """An object of the store.

    Attributes:
        name: Name of the object, unique within its kind.
        body: Value that the writer stored.
        deleted: Whether the object is deleted or marked for deletion.
    """

    name: str
    body: Any
    deleted: bool = False


@dataclass(slots=True, kw_only=True)
class Listing:
    """Objects of a kind as of a revision: all, or only the changed ones.

    Attributes:
        revision: Revision of the store, from which a watch continues.
        objects: The objects.
        generation: Generation of the store that the revision belongs to, 0 if
            the store does not say.
    """

    revision: int
    objects: list[StoredObject]
    generation: int = 0


@dataclass(slots=True, kw_only=True)
class RevisionExpired:
    """The store no longer keeps the changes that a watch requested."""


@dataclass(slots=True, kw_only=True)
class Conflict:
    """The object exists already or was changed concurrently."""


@dataclass(slots=True, kw_only=True)
class StoreFailure:
    """A call got no usable response; a write may have taken effect.

    Attributes:
        reason: Description of the failure.
        is_missing: Whether the object does not exist.
    """

    reason: str
    is_missing: bool = False


@dataclass(slots=True, kw_only=True)
class _Answer:
    """A complete answer of the store.

    Attributes:
        status: HTTP status.
        body: The decoded body, empty if there is none.
        generation: Generation of the store that answered, 0 if unknown.
    """

    status: int
    body: dict[str, Any]
    generation: int


class PlatformStoreClient:
    """Calls the store, each call on its own connection and without retries.

    A store that comes back from an older copy gives its revisions out again.
    It is then in its next generation, which every answer states.

    Attributes:
        call_count: Number of calls made.
        generation: Newest known generation of the store, 0 if unknown.
            Answers of an older one count as failures.
        generation_listeners: Called with the last known generation and with
            where the new one was seen, after each change.
    """

    __slots__ = (
        "_body_budget",
        "call_count",
        "generation",
        "generation_listeners",
        "settings",
    )

    def __init__(self, *, settings: StoreSettings) -> None:
        self.settings = settings
        self.call_count = 0
        self.generation = 0
        self.generation_listeners: list[Callable[[int, str], None]] = []
        self._body_budget = BodyBudget(
            max_body_bytes=MAX_RESPONSE_BYTES,
            max_total_bytes=MAX_BUFFERED_BYTES,
        )

    def observe_generation(self, generation: int, source: str) -> None:
        """Notes that the store is in a generation, whoever tells it."""
        if generation <= self.generation:
            return
        previous, self.generation = self.generation, generation
        for listener in self.generation_listeners:
            listener(previous, source)

    async def list_kind(self, kind: str) -> Listing | StoreFailure:
        """Reads all objects of a kind, page by page."""
        listing: Listing | None = None
        query = ""
        while True:
            result = await self._call("GET", f"/{kind}{query}")
            match result:
                case StoreFailure():
                    return result
                case _Answer(status=status) if status != _HTTP_OK:
                    return StoreFailure(reason=f"status {status}")
            body = result.body
            page = _decode_objects(body.get("Items"))
            revision = _decode_revision(body)
            if revision is None:
                return StoreFailure(reason=_INCOMPLETE)
            if listing is None:  # its objects may have changed since
                listing = Listing(
                    revision=revision, objects=[], generation=result.generation
                )
            if result.generation != listing.generation:
                return StoreFailure(reason=_OUTDATED)
            listing.objects += page
            if not body.get("HasMore"):
                return listing
            if not page:
                return StoreFailure(reason=_INCOMPLETE)
            after_name = urllib.parse.quote(page[-1].name, safe="")
            query = f"?AfterRev={after_name}"  # takes a name, not a revision

    async def watch(
        self, kind: str, revision: int, *, wait_s: float | None = None
    ) -> Listing | RevisionExpired | StoreFailure:
        """Waits for changes of a kind after a revision.

        Args:
            kind: Kind of the objects.
            revision: Revision of the state that is known.
            wait_s: Longest wait for a change, in seconds; None for the one in
                the settings.

        Returns:
            The changes, empty if there were none during the wait.
        """
        if wait_s is None:
            wait_s = self.settings.watch_wait_s
        query = f"?Watch={revision}&WaitMs={int(wait_s * _MS_PER_S)}"
        result = await self._call("GET", f"/{kind}{query}", wait_s=wait_s)
        match result:
            case StoreFailure():
                return result
            case _Answer(status=status) if status == _HTTP_GONE:
                return RevisionExpired()
            case _Answer(status=status) if status != _HTTP_OK:
                return StoreFailure(reason=f"status {status}")
        new_revision = _decode_revision(result.body)
        if new_revision is None:
            return StoreFailure(reason=_INCOMPLETE)
        return Listing(
            revision=new_revision,
            objects=_decode_events(result.body.get("events")),
            generation=result.generation,
        )

    async def probe(self) -> Listing | StoreFailure:
        """Returns the closed zones, and thereby the store's newest revision."""
        return await self.list_kind(CLOSED_ZONES_KIND)

    async def create(
        self, kind: str, name: str, body: Any
    ) -> StoredObject | Conflict | StoreFailure:
        """Creates an object; fails if its name is in use."""
        data = {"Metadata": {"Name": name}, "Spec": body}
        return await self._write("POST", f"/{kind}", name, data)

    async def replace(
        self, kind: str, name: str, body: Any
    ) -> StoredObject | Conflict | StoreFailure:
        """Replaces an object unconditionally."""
        data = {"Metadata": {"Name": name}, "Spec": body}
        return await self._write("PUT", f"/{kind}/{name}", name, data)

    async def delete(
        self, kind: str, name: str
    ) -> StoredObject | Conflict | StoreFailure:
        """Deletes an object."""
        return await self._write("DELETE", f"/{kind}/{name}", name, None)

    async def _write(
        self, method: str, path: str, name: str, data: Any
    ) -> StoredObject | Conflict | StoreFailure:
        result = await self._call(method, path, data=data)
        match result:
            case StoreFailure():
                return result
            case _Answer(status=status) if status in _HTTP_WRITTEN:
                return StoredObject(name=name, body=data and data["Spec"])
            case _Answer(status=status) if status == _HTTP_CONFLICT:
                return Conflict()
            case _Answer(status=status):
                return StoreFailure(
                    reason=f"status {status}",
                    is_missing=status == _HTTP_NOT_FOUND,
                )

    async def _call(
        self, method: str, path: str, *, data: Any = None, wait_s: float = 0
    ) -> _Answer | StoreFailure:
        self.call_count += 1
        host, _, port = self.settings.address.rpartition(":")
        body = b"" if data is None else json.dumps(data).encode()
        try:
            async with (
                asyncio.timeout(wait_s + self.settings.call_timeout_s),
                open_exchange(
                    host,
                    int(port),
                    connect_timeout_s=CONNECT_TIMEOUT_S,
                    body_budget=self._body_budget,
                ) as exchange,
            ):
                exchange.send(
                    method=method,
                    target=OBJECTS_PATH + path,
                    headers=[_JSON_HEADER] if body else [],
                    body=body,
                )
                head = await exchange.read_head()
                generation = self._check_generation(head)
                response_body = await exchange.read_all()
            return _Answer(
                status=head.status_code,
                body=_decode_body(response_body),
                generation=generation,
            )
        except _OutdatedAnswerError:
            return StoreFailure(reason=_OUTDATED)
        except TimeoutError:
            return StoreFailure(reason="the call timed out")
        except (ConnectError, ExchangeError, ValueError) as error:
            return StoreFailure(reason=repr(error))

    def _check_generation(self, head: h11.Response) -> int:
        """Returns the generation of the store that an answer comes from.

        Raises:
            _OutdatedAnswerError: The store has come back from a copy since.
        """
        generation = _decode_generation(head) or self.generation
        if generation < self.generation:
            raise _OutdatedAnswerError
        self.observe_generation(generation, "store")
        return generation


class _OutdatedAnswerError(Exception):
    """An answer is of an older generation of the store."""


def _decode_generation(head: h11.Response) -> int:
    """Returns the generation in the head of an answer, 0 if it has none."""
    value = dict(head.headers).get(STORE_GENERATION_HEADER.encode(), b"")
    if not value.isdigit() or len(value) > MAX_GENERATION_DIGITS:
        return 0
    return int(value)


def _decode_body(body: bytes) -> dict[str, Any]:
    """Decodes the body of an answer.

    Raises:
        JsonError: Nothing of it can be read.
    """
    data = decode_readable_json(body) if body.strip() else {}
    return data if isinstance(data, dict) else {}


def _decode_revision(body: dict[str, Any]) -> int | None:
    """Returns the revision of an answer, None if the answer is incomplete."""
    revision = body.get("AsOf")
    is_revision = isinstance(revision, int) and 0 <= revision <= MAX_REVISION
    return revision if is_revision else None


def _decode_objects(items: Any) -> list[StoredObject]:
    if not isinstance(items, list):
        return []
    decoded = [_decode_object(item) for item in items]
    return [item for item in decoded if item is not None]


def _decode_events(events: Any) -> list[StoredObject]:
    changed = []
    for event in events if isinstance(events, list) else []:
        decoded = (
            _decode_object(event.get("Object"))
            if isinstance(event, dict)
            else None
        )
        if decoded is not None:
            decoded.deleted = decoded.deleted or bool(event.get("Deleted"))
            changed.append(decoded)
    return changed


def _decode_object(item: Any) -> StoredObject | None:
    meta = item.get("Metadata") if isinstance(item, dict) else None
    name = meta.get("Name") if isinstance(meta, dict) else None
    if not fields.is_text(name):
        return None  # an object without a usable name cannot be used
    return StoredObject(
        name=name, body=item.get("Spec"), deleted=bool(meta.get("Deleting"))
    )


__all__ = [
    "Conflict",
    "RevisionExpired",
    "Listing",
    "PlatformStoreClient",
    "StoreFailure",
    "StoredObject",
]

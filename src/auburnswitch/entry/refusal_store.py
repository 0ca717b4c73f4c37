"""Keeps the refusals of requests and prompt parts in the platform's store.

Daemons that start must know which requests and parts crash endpoints before
these have crashed some more, also if all daemons have ended at once. The
store's copy may be out of date: a daemon that knows an answer with the parts
doesn't adopt it.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from typing import TYPE_CHECKING, Final

from auburnswitch.observe.logs import log_event
from auburnswitch.platform.protocol import REFUSALS_KIND
from auburnswitch.platform.store_client import Conflict, StoreFailure
from auburnswitch.routing.crashes.crash_registry import RETENTION_S
from auburnswitch.routing.crashes.part_refusal import (
    decode_refusal,
    encode_refusal,
)
from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import PartRefusal, RequestRefusal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.platform.store_client import (
        PlatformStoreClient,
        StoredObject,
    )
    from auburnswitch.routing.crashes.part_evidence import Parts
    from auburnswitch.routing.crashes.part_refusal import Refusal

    AnyRefusal = Refusal | RequestRefusal

INITIAL_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 10.0
BACKOFF_FACTOR: Final = 2.0
MAX_WRITE_ATTEMPTS: Final = 20
REQUEST_PREFIX: Final = "request-"  # of the names of refused requests
_NAME_BYTES: Final = 12
_MS_PER_S: Final = 1000.0


class RefusalStore:
    """Reads and writes the refusals.

    Attributes:
        store: Client of the platform's store.
        tasks: The running writes.
        adopt: Puts a refusal that was read into force.
        adopt_request: Puts the refusal of a request that was read into force,
            given its age in seconds.
        wanted: The newest refusal to be written, None to delete it, by the name
            of its object.
    """

    __slots__ = (
        "_writing",
        "adopt",
        "adopt_request",
        "store",
        "tasks",
        "wanted",
    )

    def __init__(
        self,
        *,
        store: PlatformStoreClient,
        tasks: TaskSet,
        adopt: Callable[[Refusal], None],
        adopt_request: Callable[[RequestRefusal, float], None],
    ) -> None:
        self.store = store
        self.tasks = tasks
        self.adopt = adopt
        self.adopt_request = adopt_request
        self.wanted: dict[str, AnyRefusal | None] = {}
        self._writing: set[str] = set()

    async def load(self) -> None:
        """Reads all refusals, and retries with backoff until that succeeds."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            listing = await self.store.list_kind(REFUSALS_KIND)
            if not isinstance(listing, StoreFailure):
                break
            log_event(EventId.PARTS_NOT_STORED, reason=listing.reason)
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)
        for stored in listing.objects:
            if stored.deleted:
                continue
            if stored.name.startswith(REQUEST_PREFIX):
                self._adopt_request(stored)
            elif (refusal := _decode(stored)) is not None:
                self.adopt(refusal)

    def _adopt_request(self, stored: StoredObject) -> None:
        """Adopts the refusal of a request, or deletes one that has ended."""
        try:
            refusal = from_json(RequestRefusal, stored.body)
        except SchemaError as error:
            log_event(EventId.PARTS_NOT_STORED, reason=str(error))
            return
        age_s = time.time() - refusal.stored_at_ms / _MS_PER_S
        if age_s >= RETENTION_S:
            self._write_later(stored.name, None)
        else:
            self.adopt_request(refusal, age_s)

    def update_request(self, fingerprint: str, crashes: list[str]) -> None:
        """Writes that a request is refused; without crashes that it isn't."""
        refusal = RequestRefusal(request=fingerprint, crashes=crashes)
        self._write_later(
            REQUEST_PREFIX + fingerprint, refusal if crashes else None
        )

    def update(self, before: Refusal | None, after: Refusal | None) -> None:
        """Writes a refusal that has changed, and deletes the one before it."""
        if before is not None and before is not after:
            self._write_later(object_name(before.parts), None)
        if after is not None:
            self._write_later(object_name(after.parts), after)

    def restore(
        self,
        refusals: Iterable[Refusal],
        requests: Mapping[str, list[str]],
    ) -> None:
        """Writes the refusals in force again, which the store may have lost.

        Args:
            refusals: Refusals of prompt parts.
            requests: Crashes of refused requests by fingerprint.
        """
        for refusal in refusals:
            self._write_later(object_name(refusal.parts), refusal)
        for fingerprint, crashes in requests.items():
            self.update_request(fingerprint, crashes)

    def _write_later(self, name: str, refusal: AnyRefusal | None) -> None:
        self.wanted[name] = refusal
        if name not in self._writing:
            self._writing.add(name)
            self.tasks.start(self._write(name), "store a refusal")

    async def _write(self, name: str) -> None:
        """Writes an object as wanted, also if that changes meanwhile."""
        backoff_s = INITIAL_BACKOFF_S
        try:
            for _ in range(MAX_WRITE_ATTEMPTS):
                refusal = self.wanted[name]
                failure = await self._try_write(name, refusal)
                if failure is not None:
                    log_event(EventId.PARTS_NOT_STORED, reason=failure.reason)
                    await asyncio.sleep(backoff_s)
                    backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)
                elif self.wanted[name] is refusal:
                    return
        finally:
            self._writing.discard(name)
            del self.wanted[name]

    async def _try_write(
        self, name: str, refusal: AnyRefusal | None
    ) -> StoreFailure | None:
        if refusal is None:
            result = await self.store.delete(REFUSALS_KIND, name)
            is_gone = isinstance(result, StoreFailure) and result.is_missing
            return None if is_gone else _failure(result)
        if isinstance(refusal, RequestRefusal):
            encoded = refusal
        else:
            encoded = encode_refusal(refusal)
        encoded.stored_at_ms = int(time.time() * _MS_PER_S)
        body = to_json(encoded)
        result = await self.store.create(REFUSALS_KIND, name, body)
        if isinstance(result, Conflict):  # another daemon has written it
            result = await self.store.replace(REFUSALS_KIND, name, body)
        return _failure(result)


def object_name(parts: Parts) -> str:
    """Returns the name of the object of a refusal."""
    joined = ",".join(sorted(parts)).encode()
    return hashlib.blake2b(joined, digest_size=_NAME_BYTES).hexdigest()


def _failure(
    result: StoredObject | Conflict | StoreFailure,
) -> StoreFailure | None:
    match result:
        case StoreFailure():
            return result
        case Conflict():
            return StoreFailure(reason="changed concurrently")
    return None


def _decode(stored: StoredObject) -> Refusal | None:
    try:
        encoded = from_json(PartRefusal, stored.body)
    except SchemaError as error:
        log_event(EventId.PARTS_NOT_STORED, reason=str(error))
        return None
    if not encoded.parts:
        return None
    age_s = time.time() - encoded.stored_at_ms / _MS_PER_S
    return decode_refusal(encoded, age_s)


__all__ = ["RefusalStore", "object_name"]

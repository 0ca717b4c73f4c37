"""Discovers the other entry daemons through the store."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.observe.logs import log_event
from auburnswitch.platform.protocol import DAEMONS_KIND
from auburnswitch.platform.store_client import Conflict, StoreFailure
from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import DaemonRecord

if TYPE_CHECKING:
    from auburnswitch.platform.store_client import (
        PlatformStoreClient,
        StoredObject,
    )

SHARED_KEY_OBJECT_NAME: Final = "peer-key"
SHARED_KEY_BYTES: Final = 32
INITIAL_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 1.0
BACKOFF_FACTOR: Final = 1.6
MAX_PORT: Final = 65_535


@dataclass(slots=True, kw_only=True)
class SharedKey:
    """The key that all daemons share.

    Attributes:
        key: The key.
        generation: Generation of the store in which it was created, 0 if
            unknown. Of two keys the one of the older generation is in use.
    """

    key: bytes
    generation: int


class EntryDirectory:
    """Registers this daemon and reads the records of the others.

    Attributes:
        local_record: This daemon's record.
        store: Client of the platform's store.
        shared_key: The key that the daemons share, None until it is known.
        registered_generation: Generation of the store in which this daemon was
            registered, 0 if unknown.
    """

    __slots__ = (
        "_registered",
        "local_record",
        "registered_generation",
        "shared_key",
        "store",
    )

    def __init__(
        self, *, local_record: DaemonRecord, store: PlatformStoreClient
    ) -> None:
        self.local_record = local_record
        self.store = store
        self._registered = False
        self.shared_key: SharedKey | None = None
        self.registered_generation = 0

    async def join(self) -> tuple[bytes, list[DaemonRecord]]:
        """Registers this daemon, retrying with backoff until that succeeds.

        Returns:
            The shared key and the records of the other daemons.
        """
        backoff_s = INITIAL_BACKOFF_S
        self._registered = False
        while True:
            outcome = await self._try_join()
            if not isinstance(outcome, str):
                log_event(EventId.DIRECTORY_JOINED, others=len(outcome[1]))
                return outcome
            log_event(EventId.DIRECTORY_FAILED, reason=outcome)
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)

    async def unregister(self, instance: str) -> None:
        """Deletes the record of a daemon that will not return."""
        await self.store.delete(DAEMONS_KIND, instance)

    async def restore(
        self, records: list[DaemonRecord]
    ) -> list[DaemonRecord] | str:
        """Writes records and the shared key again if the store lacks them.

        A store that comes back from an older copy has lost what was written
        last. Daemons that started meanwhile may have created another key.

        Args:
            records: Records of running daemons.

        Returns:
            The records of other daemons that the store has; the reason as text
            if a call failed.
        """
        listing = await self.store.list_kind(DAEMONS_KIND)
        if isinstance(listing, StoreFailure):
            return f"list: {listing.reason}"
        by_name = {stored.name: stored for stored in listing.objects}
        restored = []
        for record in records:
            name, body = record.instance, to_json(record)
            stored = by_name.get(name)
            if stored is None or stored.body != body:
                failure = await self._put(name, body, exists=stored is not None)
                if failure is not None:
                    return failure
                restored.append(name)
        if restored:
            log_event(EventId.DIRECTORY_RESTORED, restored=restored)
        failure = await self._agree_on_key(
            by_name.pop(SHARED_KEY_OBJECT_NAME, None)
        )
        return failure or _decode_others(by_name, self.local_record.instance)

    async def _agree_on_key(self, stored: StoredObject | None) -> str | None:
        """Takes the stored key over, or replaces a newer one by this one's."""
        own_key, stored_key = self.shared_key, _decode_key(stored)
        if own_key is None or stored_key == own_key:
            return None
        is_older = stored_key is not None and (
            stored_key.generation <= own_key.generation
        )
        if is_older:
            self.shared_key = stored_key
            log_event(EventId.SHARED_KEY_CHANGED, restored=False)
            return None
        log_event(EventId.SHARED_KEY_CHANGED, restored=True)
        return await self._put(
            SHARED_KEY_OBJECT_NAME,
            _encode_key(own_key),
            exists=stored is not None,
        )

    async def _put(
        self, name: str, body: dict[str, Any], *, exists: bool
    ) -> str | None:
        """Writes an object; returns what failed."""
        if exists:
            result = await self.store.replace(DAEMONS_KIND, name, body)
        else:
            result = await self.store.create(DAEMONS_KIND, name, body)
        match result:
            case StoreFailure(reason=reason):
                return f"{name}: {reason}"
            case Conflict():
                return f"{name}: written meanwhile"
        return None

    async def _try_join(self) -> tuple[bytes, list[DaemonRecord]] | str:
        """Makes one attempt; returns the reason as text if it fails.

        The record is written before the others are read, so that of two
        daemons that start together at least one finds the other.
        """
        body = to_json(self.local_record)
        name = self.local_record.instance
        if not self._registered:
            created = await self.store.create(DAEMONS_KIND, name, body)
            if isinstance(created, StoreFailure):
                return f"record: {created.reason}"
            self._registered = True
            self.registered_generation = self.store.generation
        listing = await self.store.list_kind(DAEMONS_KIND)
        if isinstance(listing, StoreFailure):
            return f"list: {listing.reason}"
        by_name = {stored.name: stored for stored in listing.objects}
        own_object = by_name.get(name)
        if own_object is None or own_object.body != body:
            replaced = await self.store.replace(DAEMONS_KIND, name, body)
            if isinstance(replaced, StoreFailure):
                return f"record: {replaced.reason}"
        self.shared_key = (
            _decode_key(by_name.pop(SHARED_KEY_OBJECT_NAME, None))
            or await self._create_key()
        )
        if self.shared_key is None:
            return "shared key not available yet"
        return self.shared_key.key, _decode_others(by_name, name)

    async def _create_key(self) -> SharedKey | None:
        key = SharedKey(
            key=secrets.token_bytes(SHARED_KEY_BYTES),
            generation=self.store.generation,
        )
        created = await self.store.create(
            DAEMONS_KIND, SHARED_KEY_OBJECT_NAME, _encode_key(key)
        )
        match created:
            case Conflict() | StoreFailure():
                return None  # another daemon may have created it: retry
        return key


def _encode_key(key: SharedKey) -> dict[str, Any]:
    return {"key": key.key.hex(), "generation": key.generation}


def _decode_key(stored: StoredObject | None) -> SharedKey | None:
    if stored is None:
        return None
    try:
        key = bytes.fromhex(stored.body["key"])
        generation = int(stored.body.get("generation", 0))
    except (KeyError, TypeError, ValueError, OverflowError):
        return None
    return SharedKey(key=key, generation=generation)


def _decode_others(
    by_name: dict[str, StoredObject], own_name: str
) -> list[DaemonRecord]:
    """Returns the valid records of the daemons but one."""
    records = [
        _decode_record(stored)
        for name, stored in by_name.items()
        if name != own_name
    ]
    return [record for record in records if record is not None]


def _decode_record(stored: StoredObject) -> DaemonRecord | None:
    try:
        record = from_json(DaemonRecord, stored.body)
        if not 0 < record.port <= MAX_PORT:
            raise SchemaError("port", f"must be from 1 to {MAX_PORT}")
        return record
    except SchemaError as error:
        log_event(
            EventId.DAEMON_RECORD_REJECTED,
            instance=stored.name,
            reason=str(error),
        )
        return None


__all__ = ["EntryDirectory", "SharedKey"]

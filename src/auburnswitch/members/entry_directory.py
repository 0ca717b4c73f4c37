"""Finds the other entry daemons through the store."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Final

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


class EntryDirectory:
    """Registers this daemon and reads the records of the others.

    Attributes:
        local_record: This daemon's record.
        store: The store.
    """

    __slots__ = ("local_record", "store")

    def __init__(
        self, *, local_record: DaemonRecord, store: PlatformStoreClient
    ) -> None:
        self.local_record = local_record
        self.store = store

    async def join(self) -> tuple[bytes, list[DaemonRecord]]:
        """Waits until this daemon is registered.

        Returns:
            The key that all daemons share, and the records of the others.
        """
        pause_s = INITIAL_BACKOFF_S
        while True:
            joined = await self._try_join()
            if not isinstance(joined, str):
                log_event(EventId.DIRECTORY_JOINED, others=len(joined[1]))
                return joined
            log_event(EventId.DIRECTORY_FAILED, reason=joined)
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * BACKOFF_FACTOR, MAX_BACKOFF_S)

    async def unregister(self, instance: str) -> None:
        """Deletes the record of a daemon that is gone for good."""
        await self.store.delete(DAEMONS_KIND, instance)

    async def _try_join(self) -> tuple[bytes, list[DaemonRecord]] | str:
        """Tries once; returns what went wrong, if anything did.

        The record is written before the others are read, so that of two
        daemons that start together at least one finds the other.
        """
        body = to_json(self.local_record)
        name = self.local_record.instance
        created = await self.store.create(DAEMONS_KIND, name, body)
        if isinstance(created, StoreFailure):
            return f"record: {created.reason}"
        listing = await self.store.list_kind(DAEMONS_KIND)
        if isinstance(listing, StoreFailure):
            return f"list: {listing.reason}"
        by_name = {stored.name: stored for stored in listing.objects}
        mine = by_name.pop(name, None)
        if mine is None or mine.body != body:
            replaced = await self.store.replace(DAEMONS_KIND, name, body)
            if isinstance(replaced, StoreFailure):
                return f"record: {replaced.reason}"
        key = (
            _key(by_name.pop(SHARED_KEY_OBJECT_NAME, None))
            or await self._make_key()
        )
        if key is None:
            return "the key is not known yet"
        others = [_record(stored) for stored in by_name.values()]
        return key, [record for record in others if record is not None]

    async def _make_key(self) -> bytes | None:
        key = secrets.token_bytes(SHARED_KEY_BYTES)
        made = await self.store.create(
            DAEMONS_KIND, SHARED_KEY_OBJECT_NAME, {"key": key.hex()}
        )
        match made:
            case Conflict() | StoreFailure():
                return None  # another daemon made it, or may have: read again
        return key


def _key(stored: StoredObject | None) -> bytes | None:
    if stored is None:
        return None
    try:
        return bytes.fromhex(stored.body["key"])
    except (KeyError, TypeError, ValueError):
        return None


def _record(stored: StoredObject) -> DaemonRecord | None:
    try:
        return from_json(DaemonRecord, stored.body)
    except SchemaError as error:
        log_event(
            EventId.DAEMON_RECORD_REJECTED,
            instance=stored.name,
            reason=str(error),
        )
        return None


__all__ = ["EntryDirectory"]

"""Discovers the other entry daemons through the store."""

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
        store: Client of the platform's store.
    """

    __slots__ = ("_registered", "local_record", "store")

    def __init__(
        self, *, local_record: DaemonRecord, store: PlatformStoreClient
    ) -> None:
        self.local_record = local_record
        self.store = store
        self._registered = False

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
        listing = await self.store.list_kind(DAEMONS_KIND)
        if isinstance(listing, StoreFailure):
            return f"list: {listing.reason}"
        by_name = {stored.name: stored for stored in listing.objects}
        own_object = by_name.pop(name, None)
        if own_object is None or own_object.body != body:
            replaced = await self.store.replace(DAEMONS_KIND, name, body)
            if isinstance(replaced, StoreFailure):
                return f"record: {replaced.reason}"
        key = (
            _decode_key(by_name.pop(SHARED_KEY_OBJECT_NAME, None))
            or await self._create_key()
        )
        if key is None:
            return "shared key not available yet"
        others = [_decode_record(stored) for stored in by_name.values()]
        return key, [record for record in others if record is not None]

    async def _create_key(self) -> bytes | None:
        key = secrets.token_bytes(SHARED_KEY_BYTES)
        created = await self.store.create(
            DAEMONS_KIND, SHARED_KEY_OBJECT_NAME, {"key": key.hex()}
        )
        match created:
            case Conflict() | StoreFailure():
                return None  # another daemon may have created it: retry
        return key


def _decode_key(stored: StoredObject | None) -> bytes | None:
    if stored is None:
        return None
    try:
        return bytes.fromhex(stored.body["key"])
    except (KeyError, TypeError, ValueError):
        return None


def _decode_record(stored: StoredObject) -> DaemonRecord | None:
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

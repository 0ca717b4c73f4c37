"""Implements the in-memory object store of the platform stand-in."""

from __future__ import annotations

import asyncio
import collections
from typing import Any, Final

DEFAULT_KEPT_EVENTS: Final = 1_000


class StoredObject:
    """A versioned object."""

    __slots__ = ("key", "value", "version")

    def __init__(self, *, key: str, version: int, value: Any) -> None:
        self.key = key
        self.version = version
        self.value = value

    def to_json(self) -> dict[str, Any]:
        """Returns the object in the API's JSON form."""
        return {"key": self.key, "version": self.version, "value": self.value}


class StoreEvent:
    """A change of one object; `kind` is `put` or `delete`."""

    __slots__ = ("changed", "kind")

    def __init__(self, *, kind: str, changed: StoredObject) -> None:
        self.kind = kind
        self.changed = changed

    def to_json(self) -> dict[str, Any]:
        """Returns the event in the API's JSON form."""
        return {"kind": self.kind, **self.changed.to_json()}


class PreconditionFailedError(Exception):
    """A conditional write expected another version than the current one.

    Attributes:
        version: Current version, 0 if the object does not exist.
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"current version is {version}")
        self.version = version


class CompactedError(Exception):
    """Some events after the requested revision are no longer retained."""


class ObjectStore:
    """Versioned objects with conditional writes and a bounded event history.

    Attributes:
        revision: Revision of the last write.
        objects: Current objects by key.
    """

    __slots__ = (
        "_compacted_through",
        "_events",
        "_kept_events",
        "_waiters",
        "objects",
        "revision",
    )

    def __init__(self, *, kept_events: int = DEFAULT_KEPT_EVENTS) -> None:
        self.revision = 0
        self.objects: dict[str, StoredObject] = {}
        self._kept_events = kept_events
        self._events: collections.deque[StoreEvent] = collections.deque()
        self._compacted_through = 0
        self._waiters: dict[asyncio.Future[None], str] = {}

    def version(self, key: str) -> int:
        """Returns an object's version, 0 if it does not exist."""
        current = self.objects.get(key)
        return current.version if current is not None else 0

    def put(
        self, key: str, value: Any, expected_version: int | None = None
    ) -> StoredObject:
        """Writes an object.

        Args:
            key: The object's key.
            value: The new value, of JSON types.
            expected_version: Required current version, 0 for absent, None for
                any.

        Returns:
            The object as written.

        Raises:
            PreconditionFailedError: The object has another version.
        """
        self._check(key, expected_version)
        self.revision += 1
        written = StoredObject(key=key, version=self.revision, value=value)
        self.objects[key] = written
        self._publish(StoreEvent(kind="put", changed=written))
        return written

    def delete(self, key: str, expected_version: int | None = None) -> bool:
        """Deletes an object.

        Args:
            key: The object's key.
            expected_version: Required current version, None for any.

        Returns:
            Whether the object existed.

        Raises:
            PreconditionFailedError: The object has another version.
        """
        if key not in self.objects:
            return False
        self._check(key, expected_version)
        self.revision += 1
        del self.objects[key]
        tombstone = StoredObject(key=key, version=self.revision, value=None)
        self._publish(StoreEvent(kind="delete", changed=tombstone))
        return True

    def list_objects(self, prefix: str) -> list[StoredObject]:
        """Returns the objects whose keys start with a prefix, sorted by key."""
        keys = sorted(key for key in self.objects if key.startswith(prefix))
        return [self.objects[key] for key in keys]

    def events_after(self, prefix: str, since: int) -> list[StoreEvent]:
        """Returns the changes under a prefix after a revision.

        Raises:
            CompactedError: Some of the changes may no longer be retained.
        """
        if since < self._compacted_through:
            raise CompactedError
        return [
            event
            for event in self._events
            if event.changed.version > since
            and event.changed.key.startswith(prefix)
        ]

    async def wait_for_change(self, prefix: str) -> None:
        """Returns after a change under the prefix or `notify_all_waiters`."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = prefix
        try:
            await waiter
        finally:
            del self._waiters[waiter]

    def notify_all_waiters(self) -> None:
        """Wakes all waiters although no object has changed."""
        self._wake("")

    def _check(self, key: str, expected_version: int | None) -> None:
        version = self.version(key)
        if expected_version is not None and expected_version != version:
            raise PreconditionFailedError(version)

    def _publish(self, event: StoreEvent) -> None:
        self._events.append(event)
        if len(self._events) > self._kept_events:
            dropped = self._events.popleft()
            self._compacted_through = dropped.changed.version
        self._wake(event.changed.key)

    def _wake(self, key: str) -> None:
        for waiter, prefix in self._waiters.items():
            matches = not key or key.startswith(prefix)
            if matches and not waiter.done():
                waiter.set_result(None)


__all__ = [
    "CompactedError",
    "PreconditionFailedError",
    "ObjectStore",
    "StoreEvent",
    "StoredObject",
]

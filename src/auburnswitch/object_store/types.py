"""Defines the values and errors that calls to the store return."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

ABSENT: Final = 0  # version of an object that does not exist


@dataclass(slots=True, kw_only=True)
class StoredObject:
    """An object of the store."""

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
    """A change that a watch reports."""

    deleted: bool
    object: StoredObject


@dataclass(slots=True, kw_only=True)
class WatchBatch:
    """The changes up to a revision."""

    events: list[WatchEvent]
    revision: int


@dataclass(slots=True, kw_only=True)
class Instance:
    """An entry of the platform's list of instances, which may be outdated."""

    name: str
    zone: str
    leaving: bool


@dataclass(slots=True, kw_only=True)
class StoreUnavailable:
    """The store gave no usable response.

    Attributes:
        reason: Description of the failure.
        outcome_unknown: Whether a write may have taken effect.
        retry_after_s: Delay before the next call, in seconds; 0 if not given.
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
    """A value exceeds the size limit of the store."""

    limit_bytes: int


@dataclass(slots=True, kw_only=True)
class RevisionExpired:
    """The store no longer keeps the changes after a revision."""


StoreError = StoreUnavailable | VersionConflict | ValueTooLarge
WatchError = StoreUnavailable | RevisionExpired


__all__ = [
    "ABSENT",
    "Instance",
    "Listing",
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

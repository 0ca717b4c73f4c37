"""Allocates fencing numbers for orders in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from auburnswitch.object_store.client import (
    ABSENT,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
)
from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.objects import FencingRecord

if TYPE_CHECKING:
    from auburnswitch.object_store.client import ObjectStoreClient

FENCING_PREFIX: Final = "fencing/"


class FencingNumberAllocator:
    """Allocates unique numbers by conditional updates of the store.

    Attributes:
        store: The platform's store.
        member_id: This daemon's incarnation.
    """

    __slots__ = ("member_id", "store")

    def __init__(self, *, store: ObjectStoreClient, member_id: str) -> None:
        self.store = store
        self.member_id = member_id

    async def allocate(
        self, endpoint: str, *, last_seen: int = 0
    ) -> Result[int, str]:
        """Allocates the next number of an endpoint.

        Args:
            endpoint: The endpoint's name.
            last_seen: Last number that the engine reported, 0 if none.

        Returns:
            The number, or the reason why none was allocated.
        """
        key = FENCING_PREFIX + endpoint
        match await self.store.get(key):
            case Result(tag="ok", ok=stored):
                record, version = _decode(stored)
            case Result(error=error):
                return Error(error.reason)
        number = max(record.number, last_seen) + 1
        new = FencingRecord(number=number, member_id=self.member_id)
        put = await self.store.put(key, to_json(new), expected_version=version)
        match put:
            case Result(tag="ok"):
                return Ok(number)
            case Result(error=VersionConflict()):
                return Error("another daemon allocated a number")
            case Result(error=StoreUnavailable(outcome_unknown=True)):
                return await self._read_back(key, number)
            case _:
                return Error("the store is unavailable")

    async def _read_back(self, key: str, number: int) -> Result[int, str]:
        match await self.store.get(key):
            case Result(tag="ok", ok=stored):
                record, _ = _decode(stored)
                is_own = record.member_id == self.member_id
                if is_own and record.number == number:
                    return Ok(number)
        return Error("the outcome of the allocation is unknown")


def _decode(stored: StoredObject | None) -> tuple[FencingRecord, int]:
    if stored is None:
        return FencingRecord(), ABSENT
    try:
        return from_json(FencingRecord, stored.value), stored.version
    except SchemaError:
        return FencingRecord(), stored.version


__all__ = ["FENCING_PREFIX", "FencingNumberAllocator"]

"""Polls published tickets and folds them into a snapshot."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from expression import Result

from auburnswitch.configuration.state import ConfigState
from auburnswitch.configuration.tickets import PUBLISHED_PREFIX, SNAPSHOT_KEY
from auburnswitch.object_store.client import ABSENT, CallPriority, StoredObject
from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.objects import Snapshot, Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.configuration.tickets import TicketStore
    from auburnswitch.object_store.client import Listing, ObjectStoreClient

POLL_INTERVAL_S: Final = 2.0
COMPACTION_MIN_TICKETS: Final = 32


class TicketPoller:
    """Polls the published tickets from one of the daemons.

    Polling finds a ticket that watches miss after the daemon that accepted it
    has terminated; the other daemons receive it from their peers. When there
    are many published tickets, they are folded into the snapshot.

    Attributes:
        store: Client of the platform's store.
        tickets: Joins the tickets that are read.
        is_poller: Returns whether this daemon has to poll.
    """

    __slots__ = ("is_poller", "store", "tickets")

    def __init__(
        self,
        *,
        store: ObjectStoreClient,
        tickets: TicketStore,
        is_poller: Callable[[], bool],
    ) -> None:
        self.store = store
        self.tickets = tickets
        self.is_poller = is_poller

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.is_poller():
                await self.poll()

    async def poll(self) -> None:
        """Joins the published tickets, and folds them if there are many."""
        match await self.store.list(PUBLISHED_PREFIX):
            case Result(tag="ok", ok=listing):
                for item in listing.items:
                    self.tickets.handle_ticket(item)
                if len(listing.items) >= COMPACTION_MIN_TICKETS:
                    await self.compact(listing)

    async def compact(self, listing: Listing) -> bool:
        """Folds tickets into the stored snapshot, then deletes them.

        Only tickets that the conditionally written snapshot includes are
        deleted. A ticket that is published later, whatever its number, is not
        in the listing and remains for the next compaction.

        Returns:
            Whether the snapshot was written.
        """
        match await self.store.get(SNAPSHOT_KEY):
            case Result(tag="ok", ok=stored):
                folded = _fold(stored, listing.items)
            case _:
                return False
        if folded is None:
            return False
        version = stored.version if stored is not None else ABSENT
        put = await self.store.put(
            SNAPSHOT_KEY,
            to_json(folded),
            expected_version=version,
            priority=CallPriority.BACKGROUND,
        )
        if put.is_error():
            return False  # the next poll retries
        for item in listing.items:
            await self.store.delete(
                item.key,
                expected_version=item.version,
                priority=CallPriority.BACKGROUND,
            )
        return True


def _fold(
    stored: StoredObject | None, items: list[StoredObject]
) -> Snapshot | None:
    state = ConfigState()
    included = 0
    try:
        if stored is not None:
            snapshot = from_json(Snapshot, stored.value)
            included = snapshot.included_through
            state.join_snapshot(snapshot)
        for item in items:
            ticket = from_json(Ticket, item.value)
            included = max(included, ticket.number)
            state.join_ticket(ticket)
    except SchemaError:
        return None  # never delete tickets that cannot be decoded
    folded = state.snapshot()
    folded.included_through = included
    return folded


__all__ = ["TicketPoller"]

"""Stores change tickets and reads them back.

A ticket is stored permanently under its number; its creation there decides
which content the number has. It is then published under a prefix that all
daemons watch; published tickets are folded into a snapshot and deleted. A
ticket that is published again after that has the same content, and joining it
has no effect.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from expression import Error, Ok, Result

from auburnswitch.configuration.state import ticket_digest
from auburnswitch.object_store.client import (
    ABSENT,
    CallPriority,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)
from auburnswitch.object_store.watcher import CONFIG_PREFIX
from auburnswitch.observe.logs import log_event
from auburnswitch.results import Refusal, refusal
from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.events import EventId
from auburnswitch.schema.objects import Snapshot, Ticket
from auburnswitch.schema.results import Ran, ResultCode

if TYPE_CHECKING:
    from auburnswitch.configuration.state import ConfigState
    from auburnswitch.object_store.client import ObjectStoreClient, StoredObject

TICKETS_PREFIX: Final = "tickets/"
PUBLISHED_PREFIX: Final = CONFIG_PREFIX + "tickets/"
SNAPSHOT_KEY: Final = CONFIG_PREFIX + "snapshot"
MAX_WRITE_ATTEMPTS: Final = 3
RETRY_DELAY_S: Final = 0.3


def ticket_key(number: int) -> str:
    """Returns the key under which a ticket is stored."""
    return f"{TICKETS_PREFIX}{number:010d}"


def published_key(number: int) -> str:
    """Returns the key under which a ticket is published."""
    return f"{PUBLISHED_PREFIX}{number:010d}"


class TicketStore:
    """Stores and publishes tickets and joins published ones into the state.

    Attributes:
        store: Client of the platform's store.
        state: The configuration in force.
    """

    __slots__ = ("state", "store")

    def __init__(self, *, store: ObjectStoreClient, state: ConfigState) -> None:
        self.store = store
        self.state = state

    def handle_ticket(self, item: StoredObject) -> None:
        """Joins a published ticket into the state."""
        ticket = _decode(Ticket, item)
        if ticket is not None and self.state.join_ticket(ticket):
            log_event(
                EventId.STATE_CHANGED,
                number=ticket.number,
                digest=self.state.digest,
            )

    def handle_snapshot(self, item: StoredObject) -> None:
        """Joins the stored snapshot into the state."""
        snapshot = _decode(Snapshot, item)
        if snapshot is not None and self.state.join_snapshot(snapshot):
            log_event(EventId.STATE_CHANGED, digest=self.state.digest)

    async def accept(self, ticket: Ticket) -> Result[Ticket, Refusal]:
        """Accepts a ticket: stores it under its number and publishes it.

        A ticket that is already stored with the same content is accepted
        unchanged and published again.

        Returns:
            The ticket as stored.
        """
        ticket.before = self.state.superseded_entries(ticket)
        value = to_json(ticket)
        size_bytes = self.store.size_bytes(value)
        if size_bytes > self.store.settings.max_value_bytes:
            return Error(self._too_large(size_bytes))
        match await self._store_ticket(ticket, value, size_bytes):
            case Result(tag="ok", ok=stored):
                return await self._publish(stored)
            case Result(error=refused):
                return Error(refused)

    async def _store_ticket(
        self, ticket: Ticket, value: Any, size_bytes: int
    ) -> Result[Ticket, Refusal]:
        put = await self.store.put(
            ticket_key(ticket.number),
            value,
            expected_version=ABSENT,
            priority=CallPriority.TICKET,
        )
        match put:
            case Result(tag="ok"):
                return Ok(ticket)
            case Result(error=VersionConflict()):
                return await self._compare_stored(ticket)
            case Result(error=ValueTooLarge()):
                return Error(self._too_large(size_bytes))
            case Result(error=StoreUnavailable(outcome_unknown=True)):
                return await self._compare_stored(ticket)
            case Result(error=error):
                return Error(_unavailable(error, Ran.NO))

    async def _publish(self, ticket: Ticket) -> Result[Ticket, Refusal]:
        value = to_json(ticket.replace(before=[]))
        error = StoreUnavailable(reason="")
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_DELAY_S)
            put = await self.store.put(
                published_key(ticket.number),
                value,
                expected_version=ABSENT,
                priority=CallPriority.TICKET,
            )
            match put:
                case Result(tag="ok") | Result(error=VersionConflict()):
                    self.state.join_ticket(ticket)
                    log_event(EventId.TICKET_ACCEPTED, number=ticket.number)
                    return Ok(ticket)
                case Result(error=StoreUnavailable() as error):
                    continue
        refused = _unavailable(error, Ran.UNKNOWN)
        refused.message += (
            "; the ticket is stored: apply it again to publish it"
        )
        return Error(refused)

    async def read(self, number: int) -> Result[Ticket, Refusal]:
        """Reads a stored ticket."""
        match await self.store.get(
            ticket_key(number), priority=CallPriority.TICKET
        ):
            case Result(tag="ok", ok=None):
                message = f"no ticket has number {number}"
                return Error(refusal(ResultCode.TICKET_NOT_FOUND, message))
            case Result(tag="ok", ok=item):
                return Ok(from_json(Ticket, item.value))
            case Result(error=error):
                return Error(_unavailable(error, Ran.NO))

    async def list(self) -> Result[list[Ticket], Refusal]:
        """Reads all stored tickets, sorted by number."""
        match await self.store.list(TICKETS_PREFIX):
            case Result(tag="ok", ok=listing):
                items = [from_json(Ticket, i.value) for i in listing.items]
                return Ok(sorted(items, key=lambda ticket: ticket.number))
            case Result(error=error):
                return Error(_unavailable(error, Ran.NO))

    async def _compare_stored(self, ticket: Ticket) -> Result[Ticket, Refusal]:
        match await self.read(ticket.number):
            case Result(tag="ok", ok=stored):
                if ticket_digest(stored) == ticket_digest(ticket):
                    return Ok(stored)
                message = f"ticket {ticket.number} exists with other content"
                return Error(refusal(ResultCode.TICKET_CONFLICT, message))
            case Result(error=error):
                message = "the store did not respond; apply the ticket again"
                return Error(
                    refusal(
                        ResultCode.STORE_UNAVAILABLE,
                        message,
                        ran=Ran.UNKNOWN,
                        retry_after_s=error.retry_after_s or 1.0,
                    )
                )

    def _too_large(self, size_bytes: int) -> Refusal:
        limit = self.store.settings.max_value_bytes
        message = (
            f"the ticket and the previous versions of its objects take "
            f"{size_bytes} bytes, more than the {limit} bytes allowed for a "
            f"stored value"
        )
        return refusal(ResultCode.TICKET_TOO_LARGE, message)


def _decode(kind: type[Any], item: StoredObject) -> Any:
    try:
        return from_json(kind, item.value)
    except SchemaError as error:
        log_event(EventId.TICKET_REFUSED, key=item.key, reason=str(error))
        return None


def _unavailable(error: StoreUnavailable, ran: Ran) -> Refusal:
    return refusal(
        ResultCode.STORE_UNAVAILABLE,
        f"the platform's store is unavailable: {error.reason}",
        ran=ran,
        retry_after_s=max(1.0, error.retry_after_s),
    )


__all__ = [
    "PUBLISHED_PREFIX",
    "SNAPSHOT_KEY",
    "TICKETS_PREFIX",
    "TicketStore",
    "published_key",
    "ticket_key",
]

"""Stores change tickets and reads them back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from auburnswitch.observe.logs import log_event
from auburnswitch.platform.state import ticket_digest
from auburnswitch.platform.store import (
    ABSENT,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)
from auburnswitch.platform.watcher import CONFIG_PREFIX
from auburnswitch.results import Refusal, refusal
from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.events import EventId
from auburnswitch.schema.objects import Ticket
from auburnswitch.schema.results import Ran, ResultCode

if TYPE_CHECKING:
    from auburnswitch.platform.state import ConfigState
    from auburnswitch.platform.store import ObjectStore, StoredObject

TICKETS_PREFIX: Final = CONFIG_PREFIX + "tickets/"


def ticket_key(number: int) -> str:
    """Returns the store key of a ticket."""
    return f"{TICKETS_PREFIX}{number:010d}"


class TicketStore:
    """Accepts tickets into the store.

    Attributes:
        store: The platform's store.
        state: The configuration in force.
    """

    __slots__ = ("state", "store")

    def __init__(self, *, store: ObjectStore, state: ConfigState) -> None:
        self.store = store
        self.state = state

    def handle_object(self, item: StoredObject) -> None:
        """Joins a stored ticket into the state."""
        try:
            ticket = from_json(Ticket, item.value)
        except SchemaError as error:
            log_event(EventId.TICKET_REFUSED, key=item.key, reason=str(error))
            return
        if self.state.join_ticket(ticket):
            log_event(
                EventId.STATE_CHANGED,
                number=ticket.number,
                digest=self.state.digest,
            )

    async def accept(self, ticket: Ticket) -> Result[Ticket, Refusal]:
        """Accepts a ticket: creates its object, which no other may have.

        The same ticket again is accepted, unchanged.

        Returns:
            The ticket as stored.
        """
        key = ticket_key(ticket.number)
        put = await self.store.put(
            key, to_json(ticket), expected_version=ABSENT
        )
        match put:
            case Result(tag="ok"):
                self.state.join_ticket(ticket)
                log_event(EventId.TICKET_ACCEPTED, number=ticket.number)
                return Ok(ticket)
            case Result(error=VersionConflict()):
                return await self._compare_stored(ticket)
            case Result(error=ValueTooLarge(limit_bytes=limit)):
                message = f"the ticket is larger than {limit} bytes"
                return Error(refusal(ResultCode.TICKET_TOO_LARGE, message))
            case Result(error=StoreUnavailable(outcome_unknown=True)):
                return await self._compare_stored(ticket)
            case Result(error=error):
                return Error(_unavailable(error, Ran.NO))

    async def read(self, number: int) -> Result[Ticket, Refusal]:
        """Reads a stored ticket."""
        match await self.store.get(ticket_key(number)):
            case Result(tag="ok", ok=None):
                message = f"no ticket has number {number}"
                return Error(refusal(ResultCode.TICKET_NOT_FOUND, message))
            case Result(tag="ok", ok=stored):
                return Ok(from_json(Ticket, stored.value))
            case Result(error=error):
                return Error(_unavailable(error, Ran.NO))

    async def list(self) -> Result[list[Ticket], Refusal]:
        """Reads all stored tickets, in order of number."""
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
                    self.state.join_ticket(stored)
                    return Ok(stored)
                message = f"ticket {ticket.number} exists with other content"
                return Error(refusal(ResultCode.TICKET_CONFLICT, message))
            case Result(error=error):
                if error.code is ResultCode.STORE_UNAVAILABLE:
                    error.ran = Ran.UNKNOWN
                return Error(error)


def _unavailable(error: StoreUnavailable, ran: Ran) -> Refusal:
    return refusal(
        ResultCode.STORE_UNAVAILABLE,
        f"the platform's store is unavailable: {error.reason}",
        ran=ran,
        retry_after_s=max(1.0, error.retry_after_s),
    )


__all__ = ["TICKETS_PREFIX", "TicketStore", "ticket_key"]

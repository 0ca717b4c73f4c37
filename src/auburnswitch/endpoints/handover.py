"""Hands what an owner knows to its successors."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.schema.peers import HandoverRequest


class Handover:
    """Fills and takes hand-overs.

    Attributes:
        owner_table: Ledgers of the owned endpoints.
    """

    __slots__ = ("owner_table",)

    def __init__(self, *, owner_table: OwnerTable) -> None:
        self.owner_table = owner_table

    def fill(self, request: HandoverRequest) -> None:
        """Adds what a successor must know of its new endpoints."""
        for name in request.endpoints:
            ledger = self.owner_table.ledgers.get(name)
            if ledger is None:
                continue
            request.states.append(self.owner_table.hint_of(ledger))
            for reservation in ledger.reservations.values():
                request.running.append(reservation.to_work(name))
                request.holders.append(reservation.member_id)

    def take(self, request: HandoverRequest) -> None:
        """Takes over the endpoints of a leaving owner."""
        table = self.owner_table
        status = table.view.peers.get(request.member_id)
        if status is not None:
            status.leaving = True  # its endpoints have a new owner now
        for hint in request.states:
            table.hints.note(hint)
            ledger = table.ledger(hint.endpoint)
            if ledger is not None:
                ledger.settling = False
        for work, holder in zip(request.running, request.holders, strict=True):
            ledger = table.ledger(work.endpoint)
            if ledger is not None:
                ledger.note_work(work, holder)


__all__ = ["Handover"]

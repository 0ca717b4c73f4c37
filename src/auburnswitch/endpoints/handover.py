"""Hands the state of an owner's endpoints over to its successors."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.schema.peers import HandoverRequest


class Handover:
    """Fills and applies handover requests.

    Attributes:
        endpoint_manager: Ledgers of the owned endpoints.
    """

    __slots__ = ("endpoint_manager",)

    def __init__(self, *, endpoint_manager: EndpointManager) -> None:
        self.endpoint_manager = endpoint_manager

    def fill_request(self, request: HandoverRequest) -> None:
        """Adds the hints and reservations of the endpoints in the request."""
        for name in request.endpoints:
            ledger = self.endpoint_manager.ledgers.get(name)
            if ledger is None:
                continue
            request.states.append(self.endpoint_manager.build_hint(ledger))
            for reservation in ledger.reservations.values():
                request.running.append(reservation.to_work(name))
                request.holders.append(reservation.member_id)

    def apply_request(self, request: HandoverRequest) -> None:
        """Takes over the endpoints of a leaving owner."""
        manager = self.endpoint_manager
        status = manager.view.peers.get(request.member_id)
        if status is not None:
            status.leaving = True  # its endpoints now have new owners
        for hint in request.states:
            manager.hints.update(hint)
            ledger = manager.ledger(hint.endpoint)
            if ledger is not None:
                ledger.recovering = False
        for work, holder in zip(request.running, request.holders, strict=True):
            ledger = manager.ledger(work.endpoint)
            if ledger is not None:
                ledger.record_reported_work(work, holder)


__all__ = ["Handover"]

"""Decides whether a request gets room on an owned endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.endpoints.admission import (
    can_ever_hold,
    has_room,
    predicted_wait_s,
)
from auburnswitch.endpoints.phases import CLOSED_PHASES
from auburnswitch.observe.invariants import Invariant
from auburnswitch.schema.peers import EndpointPhase, ReserveReply
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.schema.peers import ReserveRequest

MIN_RETRY_AFTER_S: Final = 1.0


class Granter:
    """Grants or refuses; what it can do neither with has to wait.

    Attributes:
        owner_table: Ledgers of the owned endpoints.
        next_id: Number of the newest reservation.
    """

    __slots__ = ("next_id", "owner_table")

    def __init__(self, *, owner_table: OwnerTable) -> None:
        self.owner_table = owner_table
        self.next_id = 0

    def try_reserve(
        self, request: ReserveRequest, member_id: str
    ) -> ReserveReply | None:
        """Returns a final reply, or None while there is no room."""
        ledger = self.owner_table.ledgers.get(request.endpoint)
        if ledger is None or not self.owner_table.owns(request.endpoint):
            return ReserveReply(code=ResultCode.NOT_OWNER)
        if refused := self.refusal(ledger, request):
            return ReserveReply(code=refused, retry_after_s=MIN_RETRY_AFTER_S)
        routing = self.owner_table.settings.routing
        if not ledger.bears(request) or not has_room(ledger, request, routing):
            return None
        if self._meets_struck(ledger, request):
            return None
        self.next_id += 1
        reservation_id = f"{self.owner_table.view.me.id}/{self.next_id}"
        reservation = ledger.grant(request, member_id, reservation_id)
        reservation.expected_s = predicted_wait_s(
            ledger, reservation.length_class
        )
        self._check_grant(ledger)
        return ReserveReply(
            reservation_id=reservation_id, boot_id=ledger.boot_id
        )

    def _meets_struck(
        self, ledger: EndpointLedger, request: ReserveRequest
    ) -> bool:
        """Tells whether a struck request would run beside another one."""
        if not request.struck and not self.owner_table.is_struck(
            request.fingerprint
        ):
            return False
        granted = ledger.reservations.values()
        return any(self.owner_table.is_struck(r.fingerprint) for r in granted)

    def refusal(
        self, ledger: EndpointLedger, request: ReserveRequest
    ) -> ResultCode | None:
        """Returns why a request can't be granted by waiting, or None."""
        if (
            self.owner_table.is_closed(ledger.name)
            or ledger.phase in CLOSED_PHASES
        ):
            return ResultCode.NO_ENDPOINT
        if not can_ever_hold(ledger, request):
            return ResultCode.PROMPT_TOO_LONG
        if ledger.is_cold and request.hold:
            return ResultCode.NO_ENDPOINT
        if ledger.is_cold and not self.owner_table.gate.may_use_cold(ledger):
            return ResultCode.OWNERSHIP_PENDING
        if not ledger.can_bear_alone(request):
            return ResultCode.ENDPOINT_COLD
        return None

    def _check_grant(self, ledger: EndpointLedger) -> None:
        bounds = ledger.bounds
        holds = not ledger.is_cold or (
            ledger.running <= bounds.running
            and ledger.prompt_tokens <= bounds.prompt_tokens
            and self.owner_table.rights.may_use(ledger.name)
        )
        self.owner_table.invariants.check(
            holds, Invariant.COLD_BOUND, endpoint=ledger.name
        )
        closed = self.owner_table.closings.phase(ledger.name)
        self.owner_table.invariants.check(
            closed is not EndpointPhase.OUT,
            Invariant.ZONE_OUT,
            endpoint=ledger.name,
        )
        self.owner_table.invariants.check(
            closed is not EndpointPhase.LEAVING,
            Invariant.LEAVING,
            endpoint=ledger.name,
        )


__all__ = ["MIN_RETRY_AFTER_S", "Granter"]

"""Decides the admission of requests on endpoints that this daemon owns."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.endpoints.admission import (
    fits_when_idle,
    has_capacity,
    predicted_wait_s,
)
from auburnswitch.endpoints.phases import UNSCHEDULABLE_PHASES
from auburnswitch.observe.invariants import Invariant
from auburnswitch.schema.peers import EndpointPhase, ReserveReply
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from auburnswitch.endpoints.cold_endpoint_gate import ColdEndpointGate
    from auburnswitch.endpoints.endpoint_leases import EndpointLeases
    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.endpoints.unschedulable import UnschedulableEndpoints
    from auburnswitch.members.member_view import MemberView
    from auburnswitch.observe.invariants import Invariants
    from auburnswitch.schema.peers import ReserveRequest
    from auburnswitch.schema.settings import RoutingSettings

MIN_RETRY_AFTER_S: Final = 1.0


class AdmissionController:
    """Grants or refuses reservation requests, or leaves them queued.

    Attributes:
        ledgers: Ledgers of the owned endpoints.
        routing: Routing settings, with the memory share for short requests.
        view: The members, including this daemon.
        owns: Returns whether this daemon owns an endpoint.
        is_unschedulable: Returns whether an endpoint receives no new work.
        has_strikes: Returns whether a request with this fingerprint was in
            flight at a crash.
        unschedulable: Endpoints that receive no new work, with the reason.
        cold_gate: Decides whether cold endpoints may be used.
        leases: Ownership leases of this daemon.
        invariants: Checks each grant.
        last_id: Number of the newest reservation.
    """

    __slots__ = (
        "cold_gate",
        "has_strikes",
        "invariants",
        "is_unschedulable",
        "last_id",
        "leases",
        "ledgers",
        "owns",
        "routing",
        "unschedulable",
        "view",
    )

    def __init__(
        self,
        *,
        ledgers: Mapping[str, EndpointLedger],
        routing: RoutingSettings,
        view: MemberView,
        owns: Callable[[str], bool],
        is_unschedulable: Callable[[str], bool],
        has_strikes: Callable[[str], bool],
        unschedulable: UnschedulableEndpoints,
        cold_gate: ColdEndpointGate,
        leases: EndpointLeases,
        invariants: Invariants,
    ) -> None:
        self.ledgers = ledgers
        self.routing = routing
        self.view = view
        self.owns = owns
        self.is_unschedulable = is_unschedulable
        self.has_strikes = has_strikes
        self.unschedulable = unschedulable
        self.cold_gate = cold_gate
        self.leases = leases
        self.invariants = invariants
        self.last_id = 0

    def try_reserve(
        self, request: ReserveRequest, member_id: str
    ) -> ReserveReply | None:
        """Returns a final reply, or None while the request has to wait."""
        ledger = self.ledgers.get(request.endpoint)
        if ledger is None or not self.owns(request.endpoint):
            return ReserveReply(code=ResultCode.NOT_OWNER)
        if refused := self.refusal_code(ledger, request):
            return ReserveReply(code=refused, retry_after_s=MIN_RETRY_AFTER_S)
        if not ledger.admits(request):
            return None
        if not has_capacity(ledger, request, self.routing):
            return None
        if self._has_strike_conflict(ledger, request):
            return None
        self.last_id += 1
        reservation_id = f"{self.view.local_member.id}/{self.last_id}"
        reservation = ledger.grant(request, member_id, reservation_id)
        reservation.expected_first_token_s = predicted_wait_s(
            ledger, reservation.length_class
        )
        self._check_grant(ledger)
        return ReserveReply(
            reservation_id=reservation_id, boot_id=ledger.boot_id
        )

    def _has_strike_conflict(
        self, ledger: EndpointLedger, request: ReserveRequest
    ) -> bool:
        """Returns whether two requests with strikes would run together."""
        if not request.struck and not self.has_strikes(request.fingerprint):
            return False
        granted = ledger.reservations.values()
        return any(self.has_strikes(r.fingerprint) for r in granted)

    def refusal_code(
        self, ledger: EndpointLedger, request: ReserveRequest
    ) -> ResultCode | None:
        """Returns why waiting can't lead to a grant, or None if it can."""
        if (
            self.is_unschedulable(ledger.name)
            or ledger.phase in UNSCHEDULABLE_PHASES
        ):
            return ResultCode.NO_ENDPOINT
        if not fits_when_idle(ledger, request):
            return ResultCode.PROMPT_TOO_LONG
        if ledger.is_cold and request.hold:
            return ResultCode.NO_ENDPOINT
        if ledger.is_cold and not self.cold_gate.may_use_cold(ledger):
            return ResultCode.OWNERSHIP_PENDING
        if not ledger.admits_when_idle(request):
            return ResultCode.ENDPOINT_COLD
        return None

    def _check_grant(self, ledger: EndpointLedger) -> None:
        limits = ledger.limits
        is_allowed = not ledger.is_cold or (
            ledger.running <= limits.running
            and ledger.prompt_tokens <= limits.prompt_tokens
            and self.leases.holds_lease(ledger.name)
        )
        self.invariants.check(
            is_allowed, Invariant.COLD_BOUND, endpoint=ledger.name
        )
        phase = self.unschedulable.phase(ledger.name)
        self.invariants.check(
            phase is not EndpointPhase.OUT,
            Invariant.ZONE_OUT,
            endpoint=ledger.name,
        )
        self.invariants.check(
            phase is not EndpointPhase.LEAVING,
            Invariant.LEAVING,
            endpoint=ledger.name,
        )


__all__ = ["MIN_RETRY_AFTER_S", "AdmissionController"]

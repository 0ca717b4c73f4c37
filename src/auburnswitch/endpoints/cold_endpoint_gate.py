"""Decides whether a cold endpoint may be used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.peers import EndpointPhase

if TYPE_CHECKING:
    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.endpoints.rights import StrictOwnership


class ColdEndpointGate:
    """Lets the strict owner use what it has surveyed.

    Strict rights begin once every earlier grant has been used or has expired.
    A list of the endpoint's work that was asked for after that shows all work
    that this owner has not granted itself.

    Attributes:
        rights: Tells whether this daemon is the strict owner.
    """

    __slots__ = ("rights",)

    def __init__(self, *, rights: StrictOwnership) -> None:
        self.rights = rights

    def may_use_cold(self, ledger: EndpointLedger) -> bool:
        """Tells whether work may be granted on a cold endpoint now."""
        if ledger.phase is EndpointPhase.UNKNOWN:
            return False
        return self.update_strict_since(ledger) and ledger.is_work_listed

    def needs_work_listing(self, ledger: EndpointLedger) -> bool:
        """Tells whether the endpoint's work must be listed first."""
        return self.update_strict_since(ledger) and not ledger.is_work_listed

    def update_strict_since(self, ledger: EndpointLedger) -> bool:
        """Notes when strict rights begin and end; tells whether they last."""
        if not self.rights.holds_lease(ledger.name):
            ledger.strict_since = None
            return False
        if ledger.strict_since is None:
            ledger.strict_since = monotonic_s()
        return True


__all__ = ["ColdEndpointGate"]

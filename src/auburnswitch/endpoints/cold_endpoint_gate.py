"""Decides whether a cold endpoint may be used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.peers import EndpointPhase

if TYPE_CHECKING:
    from auburnswitch.endpoints.endpoint_leases import EndpointLeases
    from auburnswitch.endpoints.ledger import EndpointLedger


class ColdEndpointGate:
    """Admits work on a cold endpoint once the lease holder has listed its work.

    An ownership lease begins once every earlier grant has been used or has
    expired. A list of the endpoint's work that was requested after that shows
    all work that this owner has not granted itself.

    Attributes:
        leases: Ownership leases of this daemon.
    """

    __slots__ = ("leases",)

    def __init__(self, *, leases: EndpointLeases) -> None:
        self.leases = leases

    def may_use_cold(self, ledger: EndpointLedger) -> bool:
        """Returns whether work may be granted on a cold endpoint now."""
        if ledger.phase is EndpointPhase.UNKNOWN:
            return False
        return self.update_lease_held_since(ledger) and ledger.is_work_listed

    def needs_work_listing(self, ledger: EndpointLedger) -> bool:
        """Returns whether the endpoint's work must be listed first."""
        return (
            self.update_lease_held_since(ledger) and not ledger.is_work_listed
        )

    def update_lease_held_since(self, ledger: EndpointLedger) -> bool:
        """Records the start or end of the lease; returns whether it is held."""
        if not self.leases.holds_lease(ledger.name):
            ledger.lease_held_since = None
            return False
        if ledger.lease_held_since is None:
            ledger.lease_held_since = monotonic_s()
        return True


__all__ = ["ColdEndpointGate"]

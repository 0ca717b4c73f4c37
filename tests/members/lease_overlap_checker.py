"""Watches who holds strict rights in a fleet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.experiments.fleet import Fleet

SAMPLE_INTERVAL_S = 0.05
RESERVATION_TTL_S = 1.0


class LeaseOverlapChecker:
    """Checks that strict rights of an endpoint never overlap.

    A grant may be used for a second after it, so the rights of two daemons
    must be that far apart.

    Attributes:
        fleet: The fleet.
        frozen: Instances that do nothing at present.
        last: Last holder of each endpoint and when it held the rights.
        changes: Times that the rights went to another daemon.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.frozen: set[str] = set()
        self.last: dict[str, tuple[str, float]] = {}
        self.changes = 0

    async def run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Asks every daemon that could act now.

        Raises:
            AssertionError: Two daemons hold the rights of one endpoint.
        """
        for instance, daemon in self.fleet.daemons.items():
            if instance in self.frozen:
                continue
            for endpoint in daemon.state.endpoints:
                if daemon.ownership_leases.holds_lease(endpoint):
                    self.note(endpoint, daemon.member.id)

    def note(self, endpoint: str, member_id: str) -> None:
        now = monotonic_s()
        holder, held_at = self.last.get(endpoint, (member_id, now))
        if holder != member_id:
            self.changes += 1
            if now - held_at < RESERVATION_TTL_S - SAMPLE_INTERVAL_S:
                raise AssertionError(
                    f"{endpoint}: {holder} at {held_at}, {member_id} at {now}"
                )
        self.last[endpoint] = member_id, now

    def holders(self, endpoint: str) -> list[str]:
        """Returns the instances that hold the rights now."""
        return [
            instance
            for instance, daemon in self.fleet.daemons.items()
            if instance not in self.frozen
            and daemon.ownership_leases.holds_lease(endpoint)
        ]


__all__ = ["SAMPLE_INTERVAL_S", "RESERVATION_TTL_S", "LeaseOverlapChecker"]

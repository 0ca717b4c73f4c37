"""Checks that ownership leases in a fleet never overlap."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.experiments.fleet import Fleet

SAMPLE_INTERVAL_S = 0.05
RESERVATION_TTL_S = 1.0


class LeaseOverlapChecker:
    """Checks that the leases of an endpoint never overlap.

    A reservation may be used for ``RESERVATION_TTL_S`` after its grant, so a
    lease may start only that long after another daemon's lease has ended.

    Attributes:
        fleet: The fleet.
        frozen: Instances that are frozen now.
        last_holders: Member id of each endpoint's last holder, and the loop
            time at which it last held the lease, in seconds.
        changes: Number of times that a lease moved to another daemon.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.frozen: set[str] = set()
        self.last_holders: dict[str, tuple[str, float]] = {}
        self.changes = 0

    async def run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Checks the leases of every daemon that is not frozen.

        Raises:
            AssertionError: The leases of two daemons on one endpoint overlap
                or are too close to each other.
        """
        for instance, daemon in self.fleet.daemons.items():
            if instance in self.frozen:
                continue
            for endpoint in daemon.state.endpoints:
                if daemon.ownership_leases.holds_lease(endpoint):
                    self.record_holder(endpoint, daemon.member.id)

    def record_holder(self, endpoint: str, member_id: str) -> None:
        now = monotonic_s()
        holder, held_at = self.last_holders.get(endpoint, (member_id, now))
        if holder != member_id:
            self.changes += 1
            if now - held_at < RESERVATION_TTL_S - SAMPLE_INTERVAL_S:
                raise AssertionError(
                    f"{endpoint}: {holder} at {held_at}, {member_id} at {now}"
                )
        self.last_holders[endpoint] = member_id, now

    def holders(self, endpoint: str) -> list[str]:
        """Returns the instances that hold an endpoint's lease now."""
        return [
            instance
            for instance, daemon in self.fleet.daemons.items()
            if instance not in self.frozen
            and daemon.ownership_leases.holds_lease(endpoint)
        ]


__all__ = ["SAMPLE_INTERVAL_S", "RESERVATION_TTL_S", "LeaseOverlapChecker"]

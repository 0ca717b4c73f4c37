"""Decides whether this daemon holds the ownership lease of an endpoint.

The lease allows work on a cold or unknown endpoint and orders to an engine. At
most one daemon holds an endpoint's lease at any time; docs/MEMBERSHIP.md has
the argument.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.rendezvous import rendezvous_owner
from auburnswitch.members.roster_history import RosterHistory
from auburnswitch.schema.peers import HandoverRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from auburnswitch.members.member_view import MemberView
    from auburnswitch.schema.objects import Roster

FIRST_EPOCH: Final = 1


class _Handover:
    """A predecessor's declaration that it no longer uses its lease.

    Attributes:
        epoch: Epoch in which the predecessor owned the endpoint.
        received_at: Loop time at which it was received, in seconds.
    """

    __slots__ = ("epoch", "received_at")

    def __init__(self, *, epoch: int, received_at: float) -> None:
        self.epoch = epoch
        self.received_at = received_at


class OwnershipLeases:
    """Tracks the ownership leases of one daemon.

    An ownership period is a series of consecutive epochs in which an endpoint
    has the same owner.

    Attributes:
        view: Roster and liveness of the members.
        history: The rosters received so far.
        first_majority_at: Loop time of the first majority at each epoch, in
            seconds.
        relinquished: Endpoints that this daemon has permanently handed over.
        handovers: Handovers received, by endpoint and predecessor.
    """

    __slots__ = (
        "first_majority_at",
        "handovers",
        "history",
        "relinquished",
        "view",
    )

    def __init__(self, *, view: MemberView) -> None:
        self.view = view
        self.history = RosterHistory()
        self.first_majority_at: dict[int, float] = {}
        self.relinquished: set[str] = set()
        self.handovers: dict[tuple[str, str], _Handover] = {}
        view.roster_listeners.append(self.on_roster_change)

    def owner_of(self, endpoint: str) -> str:
        """Returns the member that owns an endpoint by the roster."""
        return self.history.owner_of(endpoint, self.history.epoch)

    def is_owner(self, endpoint: str) -> bool:
        """Returns whether this daemon owns an endpoint by the roster."""
        return self.owner_of(endpoint) == self.view.local_member.id

    def holds_lease(self, endpoint: str) -> bool:
        """Returns whether this daemon holds an endpoint's lease now.

        The result is valid only until the next ``await``: check the lease
        before each use.
        """
        return self.lease_wait_s(endpoint) <= 0

    def lease_wait_s(self, endpoint: str) -> float:
        """Returns the time until this daemon's lease starts, in seconds.

        Returns:
            0 if this daemon holds the lease now; infinity if it is not the
            owner or no majority has acknowledged the epoch within the lease
            time.
        """
        if not self.is_owner(endpoint) or endpoint in self.relinquished:
            return math.inf
        if not self.view.has_quorum():
            return math.inf
        lease_start_at = self._lease_start_at(endpoint, self.history.epoch)
        return max(0.0, lease_start_at - monotonic_s())

    def on_roster_change(self, roster: Roster) -> None:
        """Applies a newer roster."""
        self.history.append(roster)
        for epoch in (
            self.first_majority_at.keys() - self.history.member_ids.keys()
        ):
            del self.first_majority_at[epoch]
        self._drop_handovers()
        self.update_first_majority()

    def update_first_majority(self) -> None:
        """Records the time of the first majority at the current epoch."""
        epoch = self.history.epoch
        if epoch in self.first_majority_at or not epoch:
            return
        if self.view.has_quorum():
            self.first_majority_at[epoch] = monotonic_s()

    def _drop_handovers(self) -> None:
        """Removes handovers of epochs that the history no longer has."""
        retained_epochs = self.history.member_ids
        self.handovers = {
            key: handover
            for key, handover in self.handovers.items()
            if handover.epoch in retained_epochs
            or handover.epoch > self.history.epoch
        }

    def record_handover(self, request: HandoverRequest) -> None:
        """Records that a predecessor no longer uses its leases."""
        handover = _Handover(epoch=request.epoch, received_at=monotonic_s())
        for endpoint in request.endpoints:
            self.handovers[endpoint, request.member_id] = handover

    def release_all(
        self, endpoints: Iterable[str]
    ) -> dict[str, HandoverRequest]:
        """Permanently releases all leases; returns the handovers.

        Call it when this daemon leaves. The leases end with the call, so the
        handovers may be sent at any later time.

        Args:
            endpoints: Names of all configured endpoints.

        Returns:
            The message for each successor, by member id.
        """
        epoch = self.history.epoch
        owned = [name for name in endpoints if self.is_owner(name)]
        successors = [
            i for i in self.view.roster_ids() if i != self.view.local_member.id
        ]
        requests = self._handover_requests(
            {name: rendezvous_owner(name, successors) for name in owned}, epoch
        )
        self.relinquished.update(owned)
        return requests

    def release_lost(
        self, endpoints: Iterable[str]
    ) -> dict[str, HandoverRequest]:
        """Returns handovers of the leases lost with the newest roster.

        Call it after each newer roster. This daemon no longer uses the leases
        of these endpoints because it no longer owns them.

        Args:
            endpoints: Names of all configured endpoints.

        Returns:
            The message for each successor, by member id.
        """
        previous_epoch = self.history.epoch - 1
        local_id = self.view.local_member.id
        new_owners = {
            name: self.owner_of(name)
            for name in endpoints
            if self.history.owner_of(name, previous_epoch) == local_id
            and not self.is_owner(name)
        }
        return self._handover_requests(new_owners, previous_epoch)

    def _handover_requests(
        self, successors: dict[str, str], epoch: int
    ) -> dict[str, HandoverRequest]:
        """Returns the handovers of leases that have started.

        The grants of earlier owners of these endpoints have expired.
        """
        now = monotonic_s()
        requests: dict[str, HandoverRequest] = {}
        for endpoint, successor in successors.items():
            if not successor or self._lease_start_at(endpoint, epoch) > now:
                continue
            request = requests.setdefault(
                successor,
                HandoverRequest(
                    member_id=self.view.local_member.id, epoch=epoch
                ),
            )
            request.endpoints.append(endpoint)
        return requests

    def _lease_start_at(self, endpoint: str, epoch: int) -> float:
        """Returns the loop time at which an ownership period's lease starts.

        Args:
            endpoint: Name of the endpoint.
            epoch: An epoch of the ownership period.
        """
        start_epoch = self.history.ownership_start_epoch(endpoint, epoch)
        if start_epoch == FIRST_EPOCH:
            return -math.inf  # there was no earlier owner
        first_majority_at = min(
            (
                at
                for earlier_epoch, at in self.first_majority_at.items()
                if start_epoch <= earlier_epoch <= epoch
            ),
            default=math.inf,
        )
        ttl_s = self.view.settings.reservation_ttl_s
        return min(
            first_majority_at + self.view.settings.strict_lease_s + ttl_s,
            self._handover_received_at(endpoint, start_epoch) + ttl_s,
        )

    def _handover_received_at(self, endpoint: str, start_epoch: int) -> float:
        predecessor = self.history.owner_of(endpoint, start_epoch - 1)
        handover = self.handovers.get((endpoint, predecessor))
        if not predecessor or handover is None:
            return math.inf
        predecessor_start = self.history.ownership_start_epoch(
            endpoint, start_epoch - 1
        )
        if not predecessor_start <= handover.epoch < start_epoch:
            return math.inf
        return handover.received_at


__all__ = ["OwnershipLeases"]

"""Decides whether this daemon holds the strict rights of an owner.

Strict rights allow work on a cold or unknown endpoint and orders to an engine.
At most one daemon holds them for an endpoint at any time; docs/MEMBERSHIP.md
has the argument.
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
    """A predecessor's word that it makes no more strict use."""

    __slots__ = ("epoch", "received_at")

    def __init__(self, *, epoch: int, received_at: float) -> None:
        self.epoch = epoch
        self.received_at = received_at


class OwnershipLeases:
    """Tracks majorities, tenures and hand-overs of one daemon.

    Attributes:
        view: What is known of the members.
        history: The rosters learned so far.
        first_majority_at: Loop time of the first majority at each epoch, in
            seconds.
        relinquished: Endpoints that this daemon has handed over for good.
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
        """Tells whether this daemon owns an endpoint by the roster."""
        return self.owner_of(endpoint) == self.view.local_member.id

    def holds_lease(self, endpoint: str) -> bool:
        """Tells whether this daemon may make a strict use now.

        The answer holds for this moment only: ask before each use, and use it
        before the next ``await``.
        """
        return self.lease_wait_s(endpoint) <= 0

    def lease_wait_s(self, endpoint: str) -> float:
        """Returns the time until strict rights may begin, in seconds.

        Returns:
            0 if this daemon holds them now; infinity if it is not the owner
            or no majority has acknowledged the epoch lately.
        """
        if not self.is_owner(endpoint) or endpoint in self.relinquished:
            return math.inf
        if not self.view.has_quorum():
            return math.inf
        begins_at = self._begins_at(endpoint, self.history.epoch)
        return max(0.0, begins_at - monotonic_s())

    def on_roster_change(self, roster: Roster) -> None:
        """Takes a newer roster."""
        self.history.append(roster)
        for epoch in (
            self.first_majority_at.keys() - self.history.member_ids.keys()
        ):
            del self.first_majority_at[epoch]
        self._drop_handovers()
        self.update_first_majority()

    def update_first_majority(self) -> None:
        """Notes the first majority at the present epoch once it is there."""
        epoch = self.history.epoch
        if epoch in self.first_majority_at or not epoch:
            return
        if self.view.has_quorum():
            self.first_majority_at[epoch] = monotonic_s()

    def _drop_handovers(self) -> None:
        """Forgets hand-overs of epochs that are no longer remembered."""
        known = self.history.member_ids
        self.handovers = {
            key: handover
            for key, handover in self.handovers.items()
            if handover.epoch in known or handover.epoch > self.history.epoch
        }

    def record_handover(self, request: HandoverRequest) -> None:
        """Takes a predecessor's word that it makes no more strict use."""
        handover = _Handover(epoch=request.epoch, received_at=monotonic_s())
        for endpoint in request.endpoints:
            self.handovers[endpoint, request.member_id] = handover

    def release_all(
        self, endpoints: Iterable[str]
    ) -> dict[str, HandoverRequest]:
        """Gives up strict rights for good and says to whom.

        Call it when this daemon leaves. The rights end with the call, so the
        messages may be sent at any later time.

        Args:
            endpoints: Names of all configured endpoints.

        Returns:
            The message for each successor, by member id.
        """
        epoch = self.history.epoch
        owned = [name for name in endpoints if self.is_owner(name)]
        heirs = [
            i for i in self.view.roster_ids() if i != self.view.local_member.id
        ]
        requests = self._requests(
            {name: rendezvous_owner(name, heirs) for name in owned}, epoch
        )
        self.relinquished.update(owned)
        return requests

    def release_lost(
        self, endpoints: Iterable[str]
    ) -> dict[str, HandoverRequest]:
        """Says to whom strict rights went with the newest roster.

        Call it after each newer roster. This daemon makes no more strict use
        of these endpoints because it no longer owns them.

        Args:
            endpoints: Names of all configured endpoints.

        Returns:
            The message for each successor, by member id.
        """
        before = self.history.epoch - 1
        me = self.view.local_member.id
        lost = {
            name: self.owner_of(name)
            for name in endpoints
            if self.history.owner_of(name, before) == me
            and not self.is_owner(name)
        }
        return self._requests(lost, before)

    def _requests(
        self, heirs: dict[str, str], epoch: int
    ) -> dict[str, HandoverRequest]:
        """Returns messages on the endpoints whose former owners are out."""
        now = monotonic_s()
        requests: dict[str, HandoverRequest] = {}
        for endpoint, heir in heirs.items():
            if not heir or self._begins_at(endpoint, epoch) > now:
                continue
            request = requests.setdefault(
                heir,
                HandoverRequest(
                    member_id=self.view.local_member.id, epoch=epoch
                ),
            )
            request.endpoints.append(endpoint)
        return requests

    def _begins_at(self, endpoint: str, epoch: int) -> float:
        """Returns when the tenure that includes an epoch may first be used."""
        start = self.history.ownership_start_epoch(endpoint, epoch)
        if start == FIRST_EPOCH:
            return -math.inf  # there was no owner before
        first_majority_at = min(
            (
                at
                for e, at in self.first_majority_at.items()
                if start <= e <= epoch
            ),
            default=math.inf,
        )
        ttl_s = self.view.settings.reservation_ttl_s
        return min(
            first_majority_at + self.view.settings.strict_lease_s + ttl_s,
            self._handed_over_at(endpoint, start) + ttl_s,
        )

    def _handed_over_at(self, endpoint: str, start: int) -> float:
        predecessor = self.history.owner_of(endpoint, start - 1)
        handover = self.handovers.get((endpoint, predecessor))
        if not predecessor or handover is None:
            return math.inf
        since = self.history.ownership_start_epoch(endpoint, start - 1)
        if not since <= handover.epoch < start:
            return math.inf
        return handover.received_at


__all__ = ["OwnershipLeases"]

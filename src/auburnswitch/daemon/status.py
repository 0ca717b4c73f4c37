"""Collects the status of one daemon for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.callers.in_flight import InFlightCounter
    from auburnswitch.configuration.state import ConfigState
    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.members.member_view import MemberView
    from auburnswitch.object_store.client import ObjectStoreClient
    from auburnswitch.object_store.watcher import StoreWatcher
    from auburnswitch.observe.invariants import Invariants
    from auburnswitch.results import Refusal
    from auburnswitch.schema.objects import Member, Ticket


class DaemonStatus:
    """Collects the status of a daemon from its components.

    Attributes:
        member: Member record of this daemon.
        get_admission_refusal: Returns why new work is refused, or None.
        state: The configuration in force.
        invariants: Counts invariant violations.
        view: The roster and the live members.
        endpoint_manager: The owned endpoints.
        in_flight: Counts requests in flight.
        watcher: Reports whether the store is available.
        store: Counts the calls to the store.
    """

    __slots__ = (
        "endpoint_manager",
        "get_admission_refusal",
        "in_flight",
        "invariants",
        "member",
        "state",
        "store",
        "view",
        "watcher",
    )

    def __init__(
        self,
        *,
        member: Member,
        get_admission_refusal: Callable[[], Refusal | None],
        state: ConfigState,
        invariants: Invariants,
        view: MemberView,
        endpoint_manager: EndpointManager,
        in_flight: InFlightCounter,
        watcher: StoreWatcher,
        store: ObjectStoreClient,
    ) -> None:
        self.member = member
        self.get_admission_refusal = get_admission_refusal
        self.state = state
        self.invariants = invariants
        self.view = view
        self.endpoint_manager = endpoint_manager
        self.in_flight = in_flight
        self.watcher = watcher
        self.store = store

    def get_in_force(self, ticket: Ticket) -> tuple[list[str], list[str]]:
        """Returns the daemons that have applied a ticket, and the others.

        A peer has applied it if this daemon has and the peer last reported the
        same state digest.
        """
        digest = self.state.digest
        is_applied = self.state.has_joined(ticket)
        in_force: list[str] = []
        pending: list[str] = []
        for member_id in self.view.live_ids():
            peer = self.view.peers.get(member_id)
            has_same_state = peer is None or peer.state_digest == digest
            (in_force if is_applied and has_same_state else pending).append(
                member_id
            )
        return in_force, pending

    def to_json(self) -> dict[str, Any]:
        """Returns the status as a JSON-serializable dict."""
        refused = self.get_admission_refusal()
        violations = self.invariants.violations
        return {
            "member": self.member.id,
            "instance": self.member.instance,
            "zone": self.member.zone,
            "ready": refused is None,
            "reason": "" if refused is None else refused.code.name.lower(),
            "state_digest": self.state.digest,
            "left_out_endpoints": self.state.dangling_endpoints,
            "roster_epoch": self.view.roster.epoch,
            "strict_rights": self.view.has_quorum(),
            "roster": self.view.roster_ids(),
            "live": self.view.live_ids(),
            "owned_endpoints": self.endpoint_manager.owned(),
            "in_flight": self.in_flight.count,
            "store_available": self.watcher.available,
            "store_calls": self.store.call_count,
            "violations": {
                invariant.name.lower(): count
                for invariant, count in violations.items()
            },
        }


__all__ = ["DaemonStatus"]

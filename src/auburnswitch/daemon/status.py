"""What operators see of one daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from auburnswitch.daemon.parts import Daemon
    from auburnswitch.schema.objects import Ticket


def daemons_in_force(
    daemon: Daemon, ticket: Ticket
) -> tuple[list[str], list[str]]:
    """Returns the daemons in which a ticket is in force, or is not yet.

    A peer counts once it is known to have the same state as this daemon.
    """
    digest = daemon.state.digest
    joined = daemon.state.has_joined(ticket)
    in_force: list[str] = []
    pending: list[str] = []
    for member_id in daemon.view.live_ids():
        peer = daemon.view.peers.get(member_id)
        same = peer is None or peer.state_digest == digest
        (in_force if joined and same else pending).append(member_id)
    return in_force, pending


def daemon_status(daemon: Daemon) -> dict[str, Any]:
    """Returns a daemon's status as JSON types."""
    refused = daemon.refuse_new()
    violations = daemon.invariants.violations
    return {
        "member": daemon.member.id,
        "instance": daemon.member.instance,
        "zone": daemon.member.zone,
        "ready": refused is None,
        "reason": "" if refused is None else refused.code.name.lower(),
        "state_digest": daemon.state.digest,
        "left_out_endpoints": daemon.state.dangling,
        "roster_epoch": daemon.view.roster.epoch,
        "strict_rights": daemon.view.has_quorum(),
        "roster": daemon.view.roster_ids(),
        "live": daemon.view.live_ids(),
        "owned_endpoints": daemon.owner_table.owned(),
        "in_flight": daemon.in_flight.count,
        "store_available": daemon.watcher.available,
        "store_calls": daemon.store.calls,
        "violations": {
            invariant.name.lower(): count
            for invariant, count in violations.items()
        },
    }


__all__ = ["daemon_status", "daemons_in_force"]

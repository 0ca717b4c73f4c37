"""States and rules of the ownership lease model."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

TERMINATED: Final = -1
NONE: Final = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelRule:
    """The ownership lease rule and the limits of its search.

    Attributes:
        members: Number of members; the first ``initial`` are in epoch 1.
        initial: Number of members in epoch 1.
        epochs: Largest epoch.
        lease: Ticks for which an acknowledgement counts.
        ttl: Ticks in which a granted reservation may be used.
        wait: Ticks from the first majority to the first grant.
        handover_wait: Ticks from a handover to the first grant.
        max_terminated: Maximum number of terminated members.
        max_delay: Maximum message delay, in ticks.
        handovers: Owners send handovers to their successors.
        date_by_receipt: The age of an acknowledgement counts from its receipt
            rather than from the sending of the heartbeat.
        needs_majority: A change needs a majority that has the epoch.
        one_at_a_time: A change adds or removes one member.
        needs_termination_proof: A removal without a majority needs a
            terminated member.
        acks_older_epochs: A member acknowledges epochs older than its own.
        acks_after_restart: A terminated member's restart acknowledges for its
            former incarnation.
        joins_ownership_periods: A missed epoch does not end an ownership
            period.
        checks_clock: An owner checks its clock before each grant.
    """

    members: int = 3
    initial: int = 3
    epochs: int = 3
    lease: int = 2
    ttl: int = 2
    wait: int = 4
    handover_wait: int = 2
    max_terminated: int = 0
    max_delay: int = 0
    handovers: bool = False
    date_by_receipt: bool = False
    needs_majority: bool = True
    one_at_a_time: bool = True
    needs_termination_proof: bool = True
    acks_older_epochs: bool = False
    acks_after_restart: bool = False
    joins_ownership_periods: bool = False
    checks_clock: bool = True


class ReceivedHandover(NamedTuple):
    """A received handover: sending member, its epoch and age in ticks."""

    sender: int
    epoch: int
    age: int


class Daemon(NamedTuple):
    """State of one member.

    Ages are in ticks, ``NONE`` if there is no such message.

    Attributes:
        epoch: Newest epoch of the member; ``TERMINATED`` if it has terminated.
        since: Oldest epoch of the consecutive ones that the member has; the
            newest epoch that it had if it has terminated.
        ack_ages: Age of each member's newest acknowledgement at ``epoch``.
        acks_in_transit: Age of each member's acknowledgement in transit.
        waited: Ticks since the first majority in this ownership period.
        handover: The received handover.
        granting: Whether it was allowed to grant at its last clock check.
    """

    epoch: int
    since: int
    ack_ages: tuple[int, ...]
    acks_in_transit: tuple[int, ...]
    waited: int = NONE
    handover: ReceivedHandover | None = None
    granting: bool = False


class State(NamedTuple):
    """State of the whole model.

    Attributes:
        rosters: Roster of each epoch, as a bit mask of members.
        daemons: State of each member.
        grants: Ticks for which each member's grant may still be used.
        leaving: Bit mask of the members that are leaving.
    """

    rosters: tuple[int, ...]
    daemons: tuple[Daemon, ...]
    grants: tuple[int, ...]
    leaving: int = 0


__all__ = [
    "TERMINATED",
    "NONE",
    "Daemon",
    "ReceivedHandover",
    "ModelRule",
    "State",
]

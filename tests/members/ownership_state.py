"""What the model of strict ownership is made of."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

DEAD: Final = -1
NONE: Final = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelRule:
    """The rule and the bounds of its search.

    Attributes:
        members: Members that exist; the first ``initial`` are in epoch 1.
        epochs: Largest epoch.
        lease: Ticks for which an acknowledgement counts.
        ttl: Ticks in which a granted reservation may be used.
        wait: Ticks from the first majority to the first grant.
        handover_wait: Ticks from a hand-over to the first grant.
        deaths: Members that may die.
        delay: Longest time of a message, in ticks.
        date_by_receipt: Dates an acknowledgement by its arrival.
        needs_majority: A change needs a majority that knows the epoch.
        one_at_a_time: A change adds or removes one member.
        gone_proof: A removal without majority needs a dead member.
        acks_older: A member acknowledges epochs that it knows are over.
        rejoins: A dead member's restart acknowledges for its former self.
        joins_tenures: An unseen epoch does not end a tenure.
        checks_clock: An owner looks at its clock before each grant.
    """

    members: int = 3
    initial: int = 3
    epochs: int = 3
    lease: int = 2
    ttl: int = 2
    wait: int = 4
    handover_wait: int = 2
    deaths: int = 0
    delay: int = 0
    handovers: bool = False
    date_by_receipt: bool = False
    needs_majority: bool = True
    one_at_a_time: bool = True
    gone_proof: bool = True
    acks_older: bool = False
    rejoins: bool = False
    joins_tenures: bool = False
    checks_clock: bool = True


class ReceivedHandover(NamedTuple):
    """A hand-over received: by whom, in which epoch, how long ago."""

    giver: int
    epoch: int
    age: int


class Daemon(NamedTuple):
    """What one member knows.

    Attributes:
        epoch: Newest epoch it knows; ``DEAD`` if it has died.
        since: Oldest epoch of its unbroken knowledge; of a dead one, the
            newest epoch it knew.
        ages: Age of each member's newest acknowledgement at ``epoch``.
        posts: Age of each member's acknowledgement under way.
        waited: Ticks since its first majority in this tenure.
        handed: The hand-over it received.
        granting: It was allowed to grant when it last looked.
    """

    epoch: int
    since: int
    ages: tuple[int, ...]
    posts: tuple[int, ...]
    waited: int = NONE
    handed: ReceivedHandover | None = None
    granting: bool = False


class State(NamedTuple):
    """Rosters as bit masks, daemons, and ticks left to use grants."""

    rosters: tuple[int, ...]
    daemons: tuple[Daemon, ...]
    grants: tuple[int, ...]
    leavers: int = 0


__all__ = ["DEAD", "NONE", "Daemon", "ReceivedHandover", "ModelRule", "State"]

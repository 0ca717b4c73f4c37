"""Plans the next change of the roster."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.objects import Roster

if TYPE_CHECKING:
    from auburnswitch.members.member_view import MemberView
    from auburnswitch.members.termination_detector import TerminationDetector
    from auburnswitch.schema.objects import Member

PROPOSAL_STAGGER_S: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class AddMember:
    """Adds a daemon to the roster."""

    member: Member

    @property
    def member_id(self) -> str:
        """Id of the added member."""
        return self.member.id


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveMember:
    """Removes a member from the roster."""

    member_id: str


RosterChange = AddMember | RemoveMember


def apply_roster_change(roster: Roster, change: RosterChange) -> Roster:
    """Returns the next epoch's roster."""
    members = [m for m in roster.members if m.id != change.member_id]
    match change:
        case AddMember(member=member):
            members.append(member)
    return Roster(epoch=roster.epoch + 1, members=members)


class RosterChangePlanner:
    """Decides which change this daemon should propose, if any.

    Every change adds or removes one member. It requires a majority that has
    the current epoch, except for the removal of a member that has provably
    terminated. The first live member of the roster proposes; if the change
    does not happen, the others propose it after delays staggered by rank.

    Attributes:
        view: Roster and liveness of the members.
        termination_detector: Proof that members have terminated.
        change_needed_since: Loop time since which a change has been needed,
            in seconds, by the id of the member that it adds or removes.
    """

    __slots__ = ("change_needed_since", "termination_detector", "view")

    def __init__(
        self, *, view: MemberView, termination_detector: TerminationDetector
    ) -> None:
        self.view = view
        self.termination_detector = termination_detector
        self.change_needed_since: dict[str, float] = {}

    def next_change(self) -> RosterChange | None:
        """Returns the change to propose now, None if there is none."""
        needed = self._needed_changes()
        self._record_needed_changes(needed)
        stagger_s = self._proposer_rank() * PROPOSAL_STAGGER_S
        now = monotonic_s()
        for change in needed:
            if now - self.change_needed_since[change.member_id] >= stagger_s:
                return change
        return None

    def may_propose(self, change: RosterChange) -> bool:
        """Returns whether the current roster may be changed this way."""
        if self.view.majority_has_current_epoch():
            return True
        match change:
            case RemoveMember(member_id=member_id):
                return member_id in self.termination_detector.terminated_ids()
        return False

    def _needed_changes(self) -> list[RosterChange]:
        terminated = self.termination_detector.terminated_ids()
        changes: list[RosterChange] = [
            RemoveMember(member_id=i) for i in terminated
        ]
        if not self.view.majority_has_current_epoch():
            return changes
        leaving = [i for i in self.view.roster_ids() if self._is_leaving(i)]
        if self.view.reaches_majority():
            leaving += self.view.unreachable_ids()
        changes += [
            RemoveMember(member_id=i)
            for i in dict.fromkeys(leaving)
            if i not in terminated
        ]
        return changes + self._needed_additions()

    def _needed_additions(self) -> list[RosterChange]:
        members = set(self.view.roster_ids())
        joining = [i for i in self.view.live_ids() if i not in members]
        return [AddMember(member=self._member(i)) for i in joining]

    def _member(self, member_id: str) -> Member:
        if member_id == self.view.local_member.id:
            return self.view.local_member
        return self.view.peers[member_id].member

    def _is_leaving(self, member_id: str) -> bool:
        status = self.view.peers.get(member_id)
        return status is not None and status.leaving

    def _record_needed_changes(self, needed: list[RosterChange]) -> None:
        now = monotonic_s()
        self.change_needed_since = {
            change.member_id: self.change_needed_since.get(
                change.member_id, now
            )
            for change in needed
        }

    def _proposer_rank(self) -> int:
        live = self.view.live_ids()
        members = [i for i in self.view.roster_ids() if i in live]
        others = [i for i in live if i not in members]
        order = members + others
        local_id = self.view.local_member.id
        return order.index(local_id) if local_id in order else len(order)


__all__ = [
    "AddMember",
    "RosterChangePlanner",
    "RemoveMember",
    "RosterChange",
    "apply_roster_change",
]

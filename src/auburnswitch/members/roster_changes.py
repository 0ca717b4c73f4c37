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
        """Id of the member that the change is about."""
        return self.member.id


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveMember:
    """Takes a member out of the roster."""

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

    Every change adds or removes one member. It needs a majority that knows
    the present epoch, but for the removal of a member that has certainly
    ended. The first live member of the roster proposes; if the change does
    not come, the next one does after its turn.

    Attributes:
        view: What is known of the members.
        termination_detector: Proof that members have ended.
        change_wanted_since: Loop time since which a change is wanted, in
            seconds, by the id of the member that it is about.
    """

    __slots__ = ("change_wanted_since", "termination_detector", "view")

    def __init__(
        self, *, view: MemberView, termination_detector: TerminationDetector
    ) -> None:
        self.view = view
        self.termination_detector = termination_detector
        self.change_wanted_since: dict[str, float] = {}

    def next_change(self) -> RosterChange | None:
        """Returns the change to propose now."""
        wanted = self._wanted()
        self._note_wanted(wanted)
        patience_s = self._rank() * PROPOSAL_STAGGER_S
        now = monotonic_s()
        for change in wanted:
            if now - self.change_wanted_since[change.member_id] >= patience_s:
                return change
        return None

    def may_propose(self, change: RosterChange) -> bool:
        """Tells whether the rule allows a change of the present roster."""
        if self.view.majority_knows_epoch():
            return True
        match change:
            case RemoveMember(member_id=member_id):
                return member_id in self.termination_detector.terminated_ids()
        return False

    def _wanted(self) -> list[RosterChange]:
        gone = self.termination_detector.terminated_ids()
        changes: list[RosterChange] = [RemoveMember(member_id=i) for i in gone]
        if not self.view.majority_knows_epoch():
            return changes
        leaving = [i for i in self.view.roster_ids() if self._is_leaving(i)]
        if self.view.hears_majority():
            leaving += self.view.silent_ids()
        changes += [
            RemoveMember(member_id=i)
            for i in dict.fromkeys(leaving)
            if i not in gone
        ]
        return changes + self._joins()

    def _joins(self) -> list[RosterChange]:
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

    def _note_wanted(self, wanted: list[RosterChange]) -> None:
        now = monotonic_s()
        self.change_wanted_since = {
            change.member_id: self.change_wanted_since.get(
                change.member_id, now
            )
            for change in wanted
        }

    def _rank(self) -> int:
        live = self.view.live_ids()
        members = [i for i in self.view.roster_ids() if i in live]
        others = [i for i in live if i not in members]
        order = members + others
        me = self.view.local_member.id
        return order.index(me) if me in order else len(order)


__all__ = [
    "AddMember",
    "RosterChangePlanner",
    "RemoveMember",
    "RosterChange",
    "apply_roster_change",
]

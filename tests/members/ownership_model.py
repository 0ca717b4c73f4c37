"""Model of the ownership lease rule with an exhaustive state search.

The model has one endpoint, owned by the roster's member with the highest
number. Time advances in ticks, and all clocks run at the same rate. A member
that does nothing for some ticks represents a paused one, and a message that is
never delivered represents a lost one. Each owner grants whenever it may, since
a later grant only lasts longer, and records its majority immediately, since
that starts its waiting time earliest.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from tests.members.ownership_state import (
    NONE,
    TERMINATED,
    Daemon,
    ReceivedHandover,
    State,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.members.ownership_state import ModelRule


class OverlappingOwnersError(AssertionError):
    """Two owners may use the endpoint's lease at the same time."""


class Model:
    """Searches all states that can be reached under a rule.

    Attributes:
        rule: The rule and the limits of the search.
        no_ages: A tuple of ``NONE`` for each member.
        state_count: Number of states found.
    """

    __slots__ = ("no_ages", "rule", "state_count")

    def __init__(self, *, rule: ModelRule) -> None:
        self.rule = rule
        self.no_ages = (NONE,) * rule.members
        self.state_count = 0

    def search(self) -> int:
        """Visits every state in breadth-first order; returns their number.

        Raises:
            OverlappingOwnersError: A state was found in which one owner
                grants while another's grant may still be used.
        """
        initial = self._initial_state()
        seen = {initial}
        queue = collections.deque(seen)
        while queue:
            for state in self._next_states(queue.popleft()):
                next_state = self._apply_grants(state)
                if next_state not in seen:
                    seen.add(next_state)
                    queue.append(next_state)
        self.state_count = len(seen)
        return self.state_count

    def _initial_state(self) -> State:
        rule = self.rule
        roster = (1 << rule.initial) - 1
        follower = Daemon(1, 1, self.no_ages, self.no_ages)
        owner = follower._replace(waited=rule.wait)
        daemons = [follower] * rule.members
        daemons[rule.initial - 1] = owner
        return State((0, roster), tuple(daemons), (0,) * rule.members)

    def _next_states(self, state: State) -> Iterator[State]:
        yield self._tick(state)
        yield from self._roster_changes(state)
        for number, daemon in enumerate(state.daemons):
            if daemon.epoch == TERMINATED:
                continue
            yield from self._adopt_epochs(state, number)
            if self._owner(state, daemon.epoch) == number:
                yield from self._exchange(state, number)
                if self.rule.handovers:
                    yield from self._leave(state, number)
        yield from self._terminate_or_restart(state)

    def _owner(self, state: State, epoch: int) -> int:
        return state.rosters[epoch].bit_length() - 1

    def _tick(self, state: State) -> State:
        daemons = tuple([self._aged(daemon) for daemon in state.daemons])
        grants = tuple([max(0, remaining - 1) for remaining in state.grants])
        return state._replace(daemons=daemons, grants=grants)

    def _aged(self, daemon: Daemon) -> Daemon:
        if daemon.epoch == TERMINATED:
            return daemon
        rule = self.rule
        ack_ages = daemon.ack_ages
        if ack_ages != self.no_ages:
            ack_ages = tuple(
                [_increment_age(age, rule.lease) for age in ack_ages]
            )
        acks_in_transit = daemon.acks_in_transit
        if acks_in_transit != self.no_ages:
            acks_in_transit = tuple(
                [
                    _increment_age(age, rule.max_delay + 1)
                    for age in acks_in_transit
                ]
            )
        waited = daemon.waited
        if waited != NONE:
            waited = min(waited + 1, rule.wait)
        handover = daemon.handover
        if handover is not None and handover.age < rule.handover_wait:
            handover = handover._replace(age=handover.age + 1)
        return daemon._replace(
            ack_ages=ack_ages,
            acks_in_transit=acks_in_transit,
            waited=waited,
            handover=handover,
        )

    def _roster_changes(self, state: State) -> Iterator[State]:
        rule = self.rule
        epoch = len(state.rosters) - 1
        if epoch >= rule.epochs:
            return
        roster = state.rosters[epoch]
        majority_agrees = not rule.needs_majority or self._majority_has_epoch(
            state, epoch
        )
        for number, daemon in enumerate(state.daemons):
            terminated = daemon.epoch == TERMINATED
            is_member = roster >> number & 1
            if is_member and (
                majority_agrees
                or terminated
                or not rule.needs_termination_proof
            ):
                yield self._with_roster(state, roster ^ 1 << number)
            if not is_member and majority_agrees and not terminated:
                yield self._with_roster(state, roster | 1 << number)
        if not rule.one_at_a_time:
            yield from self._roster_replacements(state, roster)

    def _roster_replacements(
        self, state: State, roster: int
    ) -> Iterator[State]:
        for mask in range(1, 1 << self.rule.members):
            if mask.bit_count() == self.rule.initial and mask != roster:
                yield self._with_roster(state, mask)

    def _with_roster(self, state: State, roster: int) -> State:
        return state._replace(rosters=(*state.rosters, roster))

    def _majority_has_epoch(self, state: State, epoch: int) -> bool:
        roster = state.rosters[epoch]
        with_epoch = sum(
            max(daemon.epoch, daemon.since) >= epoch and roster >> number & 1
            for number, daemon in enumerate(state.daemons)
        )
        return 2 * with_epoch > roster.bit_count() or not roster

    def _adopt_epochs(self, state: State, number: int) -> Iterator[State]:
        daemon = state.daemons[number]
        for epoch in range(daemon.epoch + 1, len(state.rosters)):
            adopted = self._with_epoch(state, number, epoch)
            yield adopted
            if self.rule.handovers:
                yield from self._hand_over_to_successor(
                    state, adopted, number, epoch
                )

    def _with_epoch(self, state: State, number: int, epoch: int) -> State:
        daemon = state.daemons[number]
        consecutive = (
            epoch == daemon.epoch + 1 or self.rule.joins_ownership_periods
        )
        still_owner = (
            consecutive
            and self._owner(state, daemon.epoch) == number
            and self._owner(state, epoch) == number
        )
        return self._with_daemon(
            state,
            number,
            daemon._replace(
                epoch=epoch,
                since=daemon.since if consecutive else epoch,
                ack_ages=self.no_ages,
                acks_in_transit=self.no_ages,
                waited=daemon.waited if still_owner else NONE,
                granting=False,
            ),
        )

    def _exchange(self, state: State, number: int) -> Iterator[State]:
        rule = self.rule
        daemon = state.daemons[number]
        for peer, other in enumerate(state.daemons):
            if peer == number or not state.rosters[daemon.epoch] >> peer & 1:
                continue
            has_epoch = other.epoch == daemon.epoch
            if has_epoch or (
                rule.acks_older_epochs and other.epoch > daemon.epoch
            ):
                yield self._send_ack(state, number, peer)
            if daemon.acks_in_transit[peer] != NONE:
                age = (
                    0 if rule.date_by_receipt else daemon.acks_in_transit[peer]
                )
                yield self._receive_ack(state, number, peer, age)

    def _send_ack(self, state: State, number: int, peer: int) -> State:
        if not self.rule.max_delay:
            return self._receive_ack(state, number, peer, 0)
        daemon = state.daemons[number]
        acks_in_transit = _replace_item(daemon.acks_in_transit, peer, 0)
        return self._with_daemon(
            state, number, daemon._replace(acks_in_transit=acks_in_transit)
        )

    def _receive_ack(
        self, state: State, number: int, peer: int, age: int
    ) -> State:
        daemon = state.daemons[number]
        ack_ages = daemon.ack_ages
        if age < self.rule.lease:
            best = age if ack_ages[peer] == NONE else min(age, ack_ages[peer])
            ack_ages = _replace_item(ack_ages, peer, best)
        acks_in_transit = _replace_item(daemon.acks_in_transit, peer, NONE)
        return self._with_daemon(
            state,
            number,
            daemon._replace(ack_ages=ack_ages, acks_in_transit=acks_in_transit),
        )

    def _leave(self, state: State, number: int) -> Iterator[State]:
        """Yields the states after an owner leaves, first without a handover."""
        daemon = state.daemons[number]
        if state.leaving >> number & 1 or not self._lease_started(
            state, number
        ):
            return
        after_leaving = state._replace(leaving=state.leaving | 1 << number)
        roster = state.rosters[daemon.epoch] & ~(1 << number)
        yield after_leaving
        if roster:
            successor = roster.bit_length() - 1
            yield self._deliver_handover(
                after_leaving,
                successor,
                ReceivedHandover(number, daemon.epoch, 0),
            )

    def _hand_over_to_successor(
        self, state: State, adopted: State, number: int, epoch: int
    ) -> Iterator[State]:
        """Yields the state after a handover due to a newer roster, if any."""
        old_daemon = state.daemons[number]
        successor = self._owner(state, epoch)
        if (
            self._owner(state, old_daemon.epoch) == number
            and successor not in (number, NONE)
            and epoch == old_daemon.epoch + 1
            and self._lease_started(state, number)
        ):
            yield self._deliver_handover(
                adopted,
                successor,
                ReceivedHandover(number, old_daemon.epoch, 0),
            )

    def _deliver_handover(
        self, state: State, successor: int, handover: ReceivedHandover
    ) -> State:
        daemon = state.daemons[successor]
        if daemon.epoch == TERMINATED:
            return state
        return self._with_daemon(
            state, successor, daemon._replace(handover=handover)
        )

    def _terminate_or_restart(self, state: State) -> Iterator[State]:
        terminated = sum(daemon.epoch == TERMINATED for daemon in state.daemons)
        for number, daemon in enumerate(state.daemons):
            if daemon.epoch == TERMINATED:
                if self.rule.acks_after_restart:
                    restarted = Daemon(1, 1, self.no_ages, self.no_ages)
                    yield self._with_daemon(state, number, restarted)
            elif terminated < self.rule.max_terminated:
                terminated_daemon = Daemon(
                    TERMINATED, daemon.epoch, self.no_ages, self.no_ages
                )
                yield self._with_daemon(state, number, terminated_daemon)

    def _lease_started(self, state: State, number: int) -> bool:
        daemon = state.daemons[number]
        return daemon.waited == self.rule.wait or self._started_by_handover(
            state, number
        )

    def _started_by_handover(self, state: State, number: int) -> bool:
        daemon = state.daemons[number]
        handover = daemon.handover
        if handover is None or handover.age < self.rule.handover_wait:
            return False
        start = self._ownership_start(state, daemon.epoch, daemon.since)
        if start == daemon.since:
            return False
        predecessor = self._owner(state, start - 1)
        since = self._ownership_start(state, start - 1, daemon.since)
        return (
            predecessor == handover.sender and since <= handover.epoch < start
        )

    def _ownership_start(self, state: State, epoch: int, oldest: int) -> int:
        owner = self._owner(state, epoch)
        while epoch > oldest and self._owner(state, epoch - 1) == owner:
            epoch -= 1
        return epoch

    def _apply_grants(self, state: State) -> State:
        """Records each owner's majority and grants where the rule allows it."""
        for number, daemon in enumerate(state.daemons):
            if daemon.epoch == TERMINATED:
                continue
            if self._owner(state, daemon.epoch) == number:
                state = self._apply_owner_grant(state, number)
        return state

    def _apply_owner_grant(self, state: State, number: int) -> State:
        daemon = state.daemons[number]
        roster = state.rosters[daemon.epoch]
        acked = 1 + sum(age != NONE for age in daemon.ack_ages)
        has_quorum = 2 * acked > roster.bit_count()
        if has_quorum and daemon.waited == NONE:
            daemon = daemon._replace(waited=0)
            state = self._with_daemon(state, number, daemon)
        may_grant = has_quorum and self._lease_started(state, number)
        if not self.rule.checks_clock:
            may_grant = may_grant or daemon.granting
        if state.leaving >> number & 1:
            may_grant = False
        if may_grant != daemon.granting and not self.rule.checks_clock:
            state = self._with_daemon(
                state, number, daemon._replace(granting=may_grant)
            )
        return self._grant(state, number) if may_grant else state

    def _grant(self, state: State, number: int) -> State:
        for other, remaining in enumerate(state.grants):
            if other != number and remaining:
                raise OverlappingOwnersError(f"{other} and {number}: {state}")
        return state._replace(
            grants=_replace_item(state.grants, number, self.rule.ttl)
        )

    def _with_daemon(self, state: State, number: int, daemon: Daemon) -> State:
        return state._replace(
            daemons=_replace_item(state.daemons, number, daemon)
        )


def _increment_age(age: int, limit: int) -> int:
    return NONE if age == NONE or age + 1 >= limit else age + 1


def _replace_item(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


__all__ = ["Model", "OverlappingOwnersError"]

"""A small model of the strict-ownership rule, searched state by state.

One endpoint; the owner is the roster's member with the highest number. Time
goes on in ticks, all clocks at one rate. A member that does nothing for some
ticks stands for a paused one, a message that is never delivered for a lost one.
Each owner grants whenever it may, since a later grant only lasts longer, and
notes its majority at once, since an earlier note only starts it sooner.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from tests.members.ownership_state import (
    DEAD,
    NONE,
    Daemon,
    ReceivedHandover,
    State,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.members.ownership_state import ModelRule


class OverlappingOwnersError(AssertionError):
    """Two owners may use strict rights at one time."""


class Model:
    """Searches all states that a rule allows.

    Attributes:
        rule: The rule.
        states: States found.
    """

    __slots__ = ("none", "rule", "states")

    def __init__(self, *, rule: ModelRule) -> None:
        self.rule = rule
        self.none = (NONE,) * rule.members
        self.states = 0

    def search(self) -> int:
        """Visits every state, breadth first; returns their number.

        Raises:
            OverlappingOwnersError: A state with two strict owners was found.
        """
        first = self._first()
        seen = {first}
        queue = collections.deque(seen)
        while queue:
            for state in self._next(queue.popleft()):
                after = self._settle(state)
                if after not in seen:
                    seen.add(after)
                    queue.append(after)
        self.states = len(seen)
        return self.states

    def _first(self) -> State:
        rule = self.rule
        roster = (1 << rule.initial) - 1
        blank = Daemon(1, 1, self.none, self.none)
        owner = blank._replace(waited=rule.wait)
        daemons = [blank] * rule.members
        daemons[rule.initial - 1] = owner
        return State((0, roster), tuple(daemons), (0,) * rule.members)

    def _next(self, state: State) -> Iterator[State]:
        yield self._tick(state)
        yield from self._changes(state)
        for number, daemon in enumerate(state.daemons):
            if daemon.epoch == DEAD:
                continue
            yield from self._learn(state, number)
            if self._owner(state, daemon.epoch) == number:
                yield from self._exchange(state, number)
                if self.rule.handovers:
                    yield from self._leave(state, number)
        yield from self._fail(state)

    def _owner(self, state: State, epoch: int) -> int:
        return state.rosters[epoch].bit_length() - 1

    def _tick(self, state: State) -> State:
        daemons = tuple([self._aged(daemon) for daemon in state.daemons])
        grants = tuple([max(0, left - 1) for left in state.grants])
        return state._replace(daemons=daemons, grants=grants)

    def _aged(self, daemon: Daemon) -> Daemon:
        if daemon.epoch == DEAD:
            return daemon
        rule = self.rule
        ages = daemon.ages
        if ages != self.none:
            ages = tuple([_older(age, rule.lease) for age in ages])
        posts = daemon.posts
        if posts != self.none:
            posts = tuple([_older(age, rule.delay + 1) for age in posts])
        waited = daemon.waited
        if waited != NONE:
            waited = min(waited + 1, rule.wait)
        handed = daemon.handed
        if handed is not None and handed.age < rule.handover_wait:
            handed = handed._replace(age=handed.age + 1)
        return daemon._replace(
            ages=ages, posts=posts, waited=waited, handed=handed
        )

    def _changes(self, state: State) -> Iterator[State]:
        rule = self.rule
        epoch = len(state.rosters) - 1
        if epoch >= rule.epochs:
            return
        roster = state.rosters[epoch]
        agreed = not rule.needs_majority or self._knows(state, epoch)
        for number, daemon in enumerate(state.daemons):
            dead = daemon.epoch == DEAD
            inside = roster >> number & 1
            if inside and (agreed or dead or not rule.gone_proof):
                yield self._changed(state, roster ^ 1 << number)
            if not inside and agreed and not dead:
                yield self._changed(state, roster | 1 << number)
        if not rule.one_at_a_time:
            yield from self._swaps(state, roster)

    def _swaps(self, state: State, roster: int) -> Iterator[State]:
        for mask in range(1, 1 << self.rule.members):
            if mask.bit_count() == self.rule.initial and mask != roster:
                yield self._changed(state, mask)

    def _changed(self, state: State, roster: int) -> State:
        return state._replace(rosters=(*state.rosters, roster))

    def _knows(self, state: State, epoch: int) -> bool:
        roster = state.rosters[epoch]
        known = sum(
            max(daemon.epoch, daemon.since) >= epoch and roster >> number & 1
            for number, daemon in enumerate(state.daemons)
        )
        return 2 * known > roster.bit_count() or not roster

    def _learn(self, state: State, number: int) -> Iterator[State]:
        daemon = state.daemons[number]
        for epoch in range(daemon.epoch + 1, len(state.rosters)):
            learned = self._learned(state, number, epoch)
            yield learned
            if self.rule.handovers:
                yield from self._pass_on(state, learned, number, epoch)

    def _learned(self, state: State, number: int, epoch: int) -> State:
        daemon = state.daemons[number]
        follows = epoch == daemon.epoch + 1 or self.rule.joins_tenures
        stays = (
            follows
            and self._owner(state, daemon.epoch) == number
            and self._owner(state, epoch) == number
        )
        return self._put(
            state,
            number,
            daemon._replace(
                epoch=epoch,
                since=daemon.since if follows else epoch,
                ages=self.none,
                posts=self.none,
                waited=daemon.waited if stays else NONE,
                granting=False,
            ),
        )

    def _exchange(self, state: State, number: int) -> Iterator[State]:
        rule = self.rule
        daemon = state.daemons[number]
        for peer, other in enumerate(state.daemons):
            if peer == number or not state.rosters[daemon.epoch] >> peer & 1:
                continue
            knows = other.epoch == daemon.epoch
            if knows or (rule.acks_older and other.epoch > daemon.epoch):
                yield self._post(state, number, peer)
            if daemon.posts[peer] != NONE:
                age = 0 if rule.date_by_receipt else daemon.posts[peer]
                yield self._ack(state, number, peer, age)

    def _post(self, state: State, number: int, peer: int) -> State:
        if not self.rule.delay:
            return self._ack(state, number, peer, 0)
        daemon = state.daemons[number]
        posts = _with(daemon.posts, peer, 0)
        return self._put(state, number, daemon._replace(posts=posts))

    def _ack(self, state: State, number: int, peer: int, age: int) -> State:
        daemon = state.daemons[number]
        ages = daemon.ages
        if age < self.rule.lease:
            best = age if ages[peer] == NONE else min(age, ages[peer])
            ages = _with(ages, peer, best)
        posts = _with(daemon.posts, peer, NONE)
        return self._put(state, number, daemon._replace(ages=ages, posts=posts))

    def _leave(self, state: State, number: int) -> Iterator[State]:
        """Hands over because the owner leaves."""
        daemon = state.daemons[number]
        if state.leavers >> number & 1 or not self._begun(state, number):
            return
        left = state._replace(leavers=state.leavers | 1 << number)
        roster = state.rosters[daemon.epoch] & ~(1 << number)
        yield left
        if roster:
            heir = roster.bit_length() - 1
            yield self._hand(
                left, heir, ReceivedHandover(number, daemon.epoch, 0)
            )

    def _pass_on(
        self, state: State, learned: State, number: int, epoch: int
    ) -> Iterator[State]:
        """Hands over because a newer roster names another owner."""
        before = state.daemons[number]
        heir = self._owner(state, epoch)
        if (
            self._owner(state, before.epoch) == number
            and heir not in (number, NONE)
            and epoch == before.epoch + 1
            and self._begun(state, number)
        ):
            yield self._hand(
                learned, heir, ReceivedHandover(number, before.epoch, 0)
            )

    def _hand(self, state: State, heir: int, handed: ReceivedHandover) -> State:
        daemon = state.daemons[heir]
        if daemon.epoch == DEAD:
            return state
        return self._put(state, heir, daemon._replace(handed=handed))

    def _fail(self, state: State) -> Iterator[State]:
        dead = sum(daemon.epoch == DEAD for daemon in state.daemons)
        for number, daemon in enumerate(state.daemons):
            if daemon.epoch == DEAD:
                if self.rule.rejoins:
                    again = Daemon(1, 1, self.none, self.none)
                    yield self._put(state, number, again)
            elif dead < self.rule.deaths:
                gone = Daemon(DEAD, daemon.epoch, self.none, self.none)
                yield self._put(state, number, gone)

    def _begun(self, state: State, number: int) -> bool:
        daemon = state.daemons[number]
        return daemon.waited == self.rule.wait or self._inherits(state, number)

    def _inherits(self, state: State, number: int) -> bool:
        daemon = state.daemons[number]
        handed = daemon.handed
        if handed is None or handed.age < self.rule.handover_wait:
            return False
        start = self._start(state, daemon.epoch, daemon.since)
        if start == daemon.since:
            return False
        giver = self._owner(state, start - 1)
        since = self._start(state, start - 1, daemon.since)
        return giver == handed.giver and since <= handed.epoch < start

    def _start(self, state: State, epoch: int, oldest: int) -> int:
        owner = self._owner(state, epoch)
        while epoch > oldest and self._owner(state, epoch - 1) == owner:
            epoch -= 1
        return epoch

    def _settle(self, state: State) -> State:
        """Lets each owner note its majority and grant if it may."""
        for number, daemon in enumerate(state.daemons):
            if daemon.epoch == DEAD:
                continue
            if self._owner(state, daemon.epoch) == number:
                state = self._settle_owner(state, number)
        return state

    def _settle_owner(self, state: State, number: int) -> State:
        daemon = state.daemons[number]
        roster = state.rosters[daemon.epoch]
        acked = 1 + sum(age != NONE for age in daemon.ages)
        quorate = 2 * acked > roster.bit_count()
        if quorate and daemon.waited == NONE:
            daemon = daemon._replace(waited=0)
            state = self._put(state, number, daemon)
        may = quorate and self._begun(state, number)
        if not self.rule.checks_clock:
            may = may or daemon.granting
        if state.leavers >> number & 1:
            may = False
        if may != daemon.granting and not self.rule.checks_clock:
            state = self._put(state, number, daemon._replace(granting=may))
        return self._grant(state, number) if may else state

    def _grant(self, state: State, number: int) -> State:
        for other, left in enumerate(state.grants):
            if other != number and left:
                raise OverlappingOwnersError(f"{other} and {number}: {state}")
        return state._replace(grants=_with(state.grants, number, self.rule.ttl))

    def _put(self, state: State, number: int, daemon: Daemon) -> State:
        return state._replace(daemons=_with(state.daemons, number, daemon))


def _older(age: int, limit: int) -> int:
    return NONE if age == NONE or age + 1 >= limit else age + 1


def _with(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


__all__ = ["Model", "OverlappingOwnersError"]

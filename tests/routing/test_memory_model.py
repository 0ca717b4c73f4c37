"""Searches all ways in which two daemons may reserve memory at two engines.

Each engine has memory for one of two prompts that need a part at both. Calls
and their answers may be lost or late, and a daemon may die at any moment. A
prompt is sent only when both engines hold its memory; and memory is free again
in time once its daemon has ended the request or died, whatever was lost.
"""

from __future__ import annotations

import unittest
from dataclasses import dataclass, replace
from typing import NamedTuple

from auburnswitch.platform.endpoint_client import CONNECT_TIMEOUT_S
from auburnswitch.routing.memory_reservations import (
    RENEW_INTERVAL_S,
    RESERVATION_LEASE_MS,
)
from tests.model_search import InvariantViolationError, explore_states

TICK_S = 0.6  # in which a call arrives or is lost
FREE_S = 4.0  # after which unused memory must be free
DAEMONS = (0, 1)
ENGINES = (0, 1)
NOBODY = -1

IDLE, ASKING, SENDING, RUNNING = "idle", "asking", "sending", "running"
ENDED, DEAD = "ended", "dead"
RESERVE, RELEASE = "reserve", "release"


class Call(NamedTuple):
    """A call that is under way."""

    kind: str
    daemon: int
    engine: int


class Requester(NamedTuple):
    """A daemon and its prompt."""

    phase: str = IDLE
    granted: tuple[bool | None, bool | None] = (None, None)
    since_renewed: int = 0
    since_end: int = 0


class Engine(NamedTuple):
    """Who holds an engine's memory, and for how many ticks more."""

    holder: int = NOBODY
    left: int = 0


class Model(NamedTuple):
    """The state of everything."""

    requesters: tuple[Requester, ...] = (Requester(), Requester())
    engines: tuple[Engine, ...] = (Engine(), Engine())
    calls: frozenset[Call] = frozenset()


@dataclass(slots=True, kw_only=True)
class Rule:
    """The rule, whole or with a part taken out.

    Attributes:
        hold: Ticks after which an engine frees memory that is not renewed.
        renew: Ticks between two renewals.
        free: Ticks after which unused memory must be free.
        needs_all: A prompt is sent only if all engines have granted it.
        stops_renewing: Renewals end with the request.
    """

    hold: int = int(RESERVATION_LEASE_MS / 1000 / TICK_S)
    renew: int = max(1, int(RENEW_INTERVAL_S / TICK_S))
    free: int = int(FREE_S / TICK_S)
    needs_all: bool = True
    stops_renewing: bool = True

    def explore_states(self) -> int:
        return explore_states(Model(), self.next_states, self.check)

    def next_states(self, state: Model):
        for call in state.calls:
            rest = state._replace(calls=state.calls - {call})
            yield from self._deliver(rest, call)
        for number in DAEMONS:
            yield from self._act(state, number)
        if not state.calls and not any(map(_must_act, state.requesters)):
            yield self._tick(state)

    def _deliver(self, state: Model, call: Call):
        yield self._answered(state, call, granted=False)  # it is lost
        engine = state.engines[call.engine]
        if call.kind == RELEASE:
            if engine.holder == call.daemon:
                yield _with_engine(state, call.engine, Engine())
            return
        if engine.holder not in (NOBODY, call.daemon):
            return
        held = Engine(call.daemon, self.hold)
        after = _with_engine(state, call.engine, held)
        yield self._answered(after, call, granted=True)
        yield self._answered(after, call, granted=False)  # the answer is lost

    def _answered(self, state: Model, call: Call, *, granted: bool) -> Model:
        requester = state.requesters[call.daemon]
        if call.kind == RELEASE or requester.phase != ASKING:
            return state
        answers = [*requester.granted]
        answers[call.engine] = granted
        after = requester._replace(granted=tuple(answers))
        return _with_requester(state, call.daemon, after)

    def _act(self, state: Model, number: int):
        requester = state.requesters[number]
        match requester.phase:
            case "idle":
                asking = requester._replace(phase=ASKING)
                after = _with_requester(state, number, asking)
                yield _calling(after, RESERVE, number)
            case "asking" if None not in requester.granted:
                enough = all if self.needs_all else any
                if enough(requester.granted):
                    sending = requester._replace(phase=SENDING)
                    yield _with_requester(state, number, sending)
                else:
                    yield self._end(state, number)
            case "sending":
                running = requester._replace(phase=RUNNING)
                yield _with_requester(state, number, running)
            case "running":
                if requester.since_renewed >= self.renew:
                    yield self._renew(state, number)
                yield self._end(state, number)
            case "ended" if not self.stops_renewing:
                if requester.since_renewed >= self.renew:
                    yield self._renew(state, number)
        if requester.phase not in (IDLE, ENDED, DEAD):
            dead = Requester(phase=DEAD)
            yield _with_requester(state, number, dead)

    def _end(self, state: Model, number: int) -> Model:
        ended = Requester(phase=ENDED)
        after = _with_requester(state, number, ended)
        return _calling(after, RELEASE, number)

    def _renew(self, state: Model, number: int) -> Model:
        renewed = state.requesters[number]._replace(since_renewed=0)
        after = _with_requester(state, number, renewed)
        return _calling(after, RESERVE, number)

    def _tick(self, state: Model) -> Model:
        engines = [
            Engine() if e.left <= 1 else e._replace(left=e.left - 1)
            for e in state.engines
        ]
        requesters = []
        for r in state.requesters:
            if r.phase in (ENDED, DEAD):
                age = min(r.since_end + 1, self.free + 1)
                r = r._replace(since_end=age)
            since = min(r.since_renewed + 1, self.renew)
            requesters.append(r._replace(since_renewed=since))
        return state._replace(
            engines=tuple(engines), requesters=tuple(requesters)
        )

    def check(self, state: Model) -> None:
        for number, requester in enumerate(state.requesters):
            holds = [e.holder == number for e in state.engines]
            if requester.phase == SENDING and not all(holds):
                raise InvariantViolationError(
                    "a prompt was sent without its memory"
                )
            if requester.since_end > self.free and any(holds):
                raise InvariantViolationError("memory is not free in time")


def _must_act(requester: Requester) -> bool:
    """Whether a daemon that does not stand still acts within this tick.

    One that stands still sends without its memory, which the engine refuses.
    """
    answered = None not in requester.granted
    return requester.phase == SENDING or (
        requester.phase == ASKING and answered
    )


def _with_engine(state: Model, number: int, engine: Engine) -> Model:
    engines = [*state.engines]
    engines[number] = engine
    return state._replace(engines=tuple(engines))


def _with_requester(state: Model, number: int, requester: Requester) -> Model:
    requesters = [*state.requesters]
    requesters[number] = requester
    return state._replace(requesters=tuple(requesters))


def _calling(state: Model, kind: str, number: int) -> Model:
    calls = {Call(kind, number, engine) for engine in ENGINES}
    return state._replace(calls=state.calls | calls)


class MemoryModelTest(unittest.TestCase):
    def test_a_call_takes_less_than_a_tick(self):
        self.assertLessEqual(CONNECT_TIMEOUT_S, TICK_S)

    def test_whole_rule(self):
        self.assertGreater(Rule().explore_states(), 1_000)

    def refuted(self, **broken) -> None:
        with self.assertRaises(InvariantViolationError):
            replace(Rule(), **broken).explore_states()

    def test_some_engines_are_enough(self):
        self.refuted(needs_all=False)

    def test_engines_hold_longer(self):
        self.refuted(hold=Rule().free + 2)

    def test_renewals_go_on(self):
        self.refuted(stops_renewing=False)


if __name__ == "__main__":
    unittest.main()

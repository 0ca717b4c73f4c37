"""Checks the history of a run against what must always hold."""

from __future__ import annotations

import collections
import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.standins.history import HistoryKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from auburnswitch.experiments.recording_caller import CallRecord
    from auburnswitch.standins.history import History, HistoryRecord

CLOSE_DEADLINE_S: Final = 3.0  # from a ticket's acceptance to the last new work
DEADLINE_SLACK_S: Final = 1.0
INTERNAL_ERROR_RESULT: Final = "internal"
OVERLOAD_CAUSE: Final = "cold overload"
COLD_DETECTION_DELAY_S: Final = 5.0  # from the last sign of a cold turn
MIN_SLOW_ANSWERS: Final = 2  # slow answers that show an unannounced cold turn
EXECUTION_KINDS: Final = (HistoryKind.REQUEST_STARTED, HistoryKind.PLAIN_RUN)


class RunInvariant(enum.Enum):
    """What a history must satisfy."""

    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    WHOLE_ANSWER = "a caller receives the whole answer to its own request"
    NOT_RUN = "a request refused as not run was not run"
    ENDS_IN_TIME = "an admitted request ends within its time"
    ANSWERED = "a request gets a final answer unless its daemon was lost"
    NO_INTERNAL_ERROR = "no request ends by an unexpected error"
    CLOSED = "an endpoint out of service or leaving receives no new work"
    COLD_BOUND = "a cold endpoint receives no more than it can bear"
    MEMORY_FREED = "an engine loses no memory for good"
    STATE_MONOTONIC = "a configuration in force never reverts"


@dataclass(slots=True, kw_only=True)
class Violation:
    """A broken rule and where it broke."""

    invariant: RunInvariant
    detail: str


@dataclass(slots=True, kw_only=True)
class UnschedulablePeriod:
    """A time in which an endpoint was to receive no new work.

    Attributes:
        endpoint: The endpoint.
        accepted_at: Loop time of the ticket's acceptance, in seconds.
        schedulable_at: Loop time at which it could receive work again.
    """

    endpoint: str
    accepted_at: float
    schedulable_at: float = float("inf")


@dataclass(slots=True, kw_only=True)
class DaemonOutage:
    """A time in which a daemon was killed or frozen.

    Attributes:
        daemon: Name of the instance.
        began_at: Loop time at which it was lost, in seconds.
        recovered_at: Loop time at which it ran again.
        killed: It was killed, which breaks what runs at it.
    """

    daemon: str
    began_at: float
    recovered_at: float = float("inf")
    killed: bool = True


@dataclass(slots=True, kw_only=True)
class ConfigSample:
    """Ticket numbers by object as one daemon had them in force."""

    member_id: str
    ticket_numbers: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class RunHistory:
    """Everything that is known of a run.

    Attributes:
        history: What the stand-ins did.
        calls: What callers sent and saw.
        unschedulable_periods: When endpoints were closed.
        samples: Configuration states, in order of time.
        daemon_outages: When instances were killed or frozen.
        quiescent: The run has come to rest, so that all memory must be free.
    """

    history: History
    calls: list[CallRecord]
    unschedulable_periods: list[UnschedulablePeriod] = field(
        default_factory=list
    )
    samples: list[ConfigSample] = field(default_factory=list)
    daemon_outages: list[DaemonOutage] = field(default_factory=list)
    quiescent: bool = True


def check_run(run: RunHistory) -> list[Violation]:
    """Returns every violation found in a run."""
    checks = (
        _check_at_most_once,
        _check_whole_answers,
        _check_not_run,
        _check_ends,
        _check_closed,
        _check_cold_bound,
        _check_memory,
        _check_states,
    )
    return [violation for check in checks for violation in check(run)]


def _runs(run: RunHistory) -> Iterator[HistoryRecord]:
    return run.history.select(*EXECUTION_KINDS)


def _caller_id(record: HistoryRecord) -> str:
    """Returns the caller's part of a request id."""
    return str(record.fields.get("request_id", "")).partition(".")[0]


def _check_at_most_once(run: RunHistory) -> Iterator[Violation]:
    by_key: collections.Counter[str] = collections.Counter()
    by_call: collections.Counter[str] = collections.Counter()
    calls = {call.id: call for call in run.calls if not call.idempotent}
    for record in run.history.select(HistoryKind.PLAIN_RUN):
        call = calls.get(_caller_id(record))
        if call is None:
            continue
        by_call[call.id] += 1
        if call.key:
            by_key[call.key] += 1
    for name, count in [*by_key.items(), *by_call.items()]:
        if count > 1:
            detail = f"{name} ran {count} times"
            yield Violation(invariant=RunInvariant.AT_MOST_ONCE, detail=detail)


def _check_whole_answers(run: RunHistory) -> Iterator[Violation]:
    for call in run.calls:
        outcome = call.outcome
        if outcome is None or not call.expected:
            continue
        whole = outcome.text == call.expected
        if outcome.result == "ok" and not whole:
            detail = f"{call.id} got {outcome.text[:40]!r}"
            yield Violation(invariant=RunInvariant.WHOLE_ANSWER, detail=detail)
        elif not call.expected.startswith(outcome.text):
            detail = f"{call.id} got a part that is not its own"
            yield Violation(invariant=RunInvariant.WHOLE_ANSWER, detail=detail)


def _check_not_run(run: RunHistory) -> Iterator[Violation]:
    ran = {_caller_id(record) for record in _runs(run)}
    for call in run.calls:
        if call.outcome and call.outcome.ran == "no" and call.id in ran:
            detail = f"{call.id} was refused as {call.outcome.result}"
            yield Violation(invariant=RunInvariant.NOT_RUN, detail=detail)


def _check_ends(run: RunHistory) -> Iterator[Violation]:
    for call in run.calls:
        if call.outcome is None:
            detail = f"{call.id} has no answer"
            yield Violation(invariant=RunInvariant.ANSWERED, detail=detail)
            continue
        if call.outcome.result == INTERNAL_ERROR_RESULT:
            detail = f"{call.id} at {call.daemon}"
            yield Violation(
                invariant=RunInvariant.NO_INTERNAL_ERROR, detail=detail
            )
        daemon_outages = [
            loss for loss in run.daemon_outages if _meets(call, loss)
        ]
        lost = bool(daemon_outages)
        killed = any(loss.killed for loss in daemon_outages)
        if call.outcome.result == "broken" and not killed:
            detail = f"{call.id} broke at {call.daemon}"
            yield Violation(invariant=RunInvariant.ANSWERED, detail=detail)
        elif (
            not lost
            and call.outcome.total_s > call.deadline_s + DEADLINE_SLACK_S
        ):
            detail = f"{call.id} took {call.outcome.total_s:.1f} s"
            yield Violation(invariant=RunInvariant.ENDS_IN_TIME, detail=detail)


def _meets(call: CallRecord, loss: DaemonOutage) -> bool:
    """Tells whether a call ran while its daemon was lost."""
    assert call.outcome is not None
    ended_at = call.started_at + call.outcome.total_s
    in_time = call.started_at <= loss.recovered_at and ended_at >= loss.began_at
    return call.daemon == loss.daemon and in_time


def _check_closed(run: RunHistory) -> Iterator[Violation]:
    for closing in run.unschedulable_periods:
        first_s = closing.accepted_at + CLOSE_DEADLINE_S
        for record in _runs(run):
            got_at = _received_at(record)
            late = first_s < got_at < closing.schedulable_at
            if record.actor == closing.endpoint and late:
                after_s = got_at - closing.accepted_at
                detail = f"{closing.endpoint} got work {after_s:.1f} s later"
                yield Violation(invariant=RunInvariant.CLOSED, detail=detail)


def _received_at(record: HistoryRecord) -> float:
    """Returns when work reached an endpoint, which may have been frozen."""
    arrived_s = record.fields.get("arrived_s")
    return record.time_s if arrived_s is None else arrived_s


def _check_cold_bound(run: RunHistory) -> Iterator[Violation]:
    signs: dict[str, list[float]] = {}  # answers since an unannounced turn
    begun: set[tuple[str, str]] = set()  # what started since then
    kinds = (
        HistoryKind.CRASHED,
        HistoryKind.TURNED_COLD,
        HistoryKind.REQUEST_STARTED,
        HistoryKind.REQUEST_FINISHED,
    )
    for record in run.history.select(*kinds):
        seen = signs.get(record.actor)
        work = (record.actor, str(record.fields.get("request_id")))
        match record.kind:
            case HistoryKind.TURNED_COLD:
                signs[record.actor] = []
                begun = {item for item in begun if item[0] != record.actor}
            case HistoryKind.REQUEST_STARTED:
                begun.add(work)
            case HistoryKind.REQUEST_FINISHED if seen is not None:
                if work in begun:
                    seen.append(record.time_s)
            case HistoryKind.CRASHED:
                signs.pop(record.actor, None)  # the new start is announced
                overloaded = record.fields.get("cause") == OVERLOAD_CAUSE
                if overloaded and _is_known(seen, record.time_s):
                    at_s = record.time_s
                    detail = f"{record.actor} was overloaded at {at_s:.1f} s"
                    yield Violation(
                        invariant=RunInvariant.COLD_BOUND, detail=detail
                    )


def _is_known(signs: list[float] | None, time_s: float) -> bool:
    """Tells whether a cold turn must be known; an announced one always is."""
    if signs is None:
        return True
    if len(signs) < MIN_SLOW_ANSWERS:
        return False
    return time_s >= signs[MIN_SLOW_ANSWERS - 1] + COLD_DETECTION_DELAY_S


def _check_memory(run: RunHistory) -> Iterator[Violation]:
    if not run.quiescent:
        return
    held: dict[str, dict[Any, HistoryRecord]] = {}
    kinds = (
        HistoryKind.MEMORY_TAKEN,
        HistoryKind.MEMORY_FREED,
        HistoryKind.CRASHED,
    )
    for record in run.history.select(*kinds):
        memory = held.setdefault(record.actor, {})
        name = (record.fields.get("request_id"), record.fields.get("attempt"))
        match record.kind:
            case HistoryKind.MEMORY_TAKEN:
                memory[name] = record
            case HistoryKind.MEMORY_FREED:
                memory.pop(name, None)
            case HistoryKind.CRASHED:
                memory.clear()
    for actor, memory in held.items():
        for name in memory:
            detail = f"{actor} still holds {name}"
            yield Violation(invariant=RunInvariant.MEMORY_FREED, detail=detail)


def _check_states(run: RunHistory) -> Iterator[Violation]:
    newest: dict[tuple[str, str], int] = {}
    for sample in run.samples:
        for name, number in sample.ticket_numbers.items():
            key = (sample.member_id, name)
            if number < newest.get(key, 0):
                detail = f"{sample.member_id} went back to {number} for {name}"
                yield Violation(
                    invariant=RunInvariant.STATE_MONOTONIC, detail=detail
                )
            newest[key] = number


__all__ = [
    "UnschedulablePeriod",
    "DaemonOutage",
    "RunInvariant",
    "RunHistory",
    "ConfigSample",
    "Violation",
    "check_run",
]

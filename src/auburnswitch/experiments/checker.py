"""Checks the history of a run against the invariants of the system."""

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

CLOSE_DEADLINE_S: Final = 3.0  # from a ticket's acceptance to the last request
DEADLINE_SLACK_S: Final = 1.0
INTERNAL_ERROR_RESULT: Final = "internal"
OVERLOAD_CAUSE: Final = "cold overload"
COLD_DETECTION_DELAY_S: Final = 5.0  # after slow answer MIN_SLOW_ANSWERS
MIN_SLOW_ANSWERS: Final = 2  # enough to detect an unannounced cold engine
EXECUTION_KINDS: Final = (HistoryKind.REQUEST_STARTED, HistoryKind.PLAIN_RUN)


class RunInvariant(enum.Enum):
    """Invariants that a history must satisfy."""

    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    WHOLE_ANSWER = "a caller receives the complete answer to its own request"
    NOT_RUN = "a request refused as not run was not run"
    ENDS_IN_TIME = "an admitted request ends by its deadline"
    ANSWERED = "a request gets a final answer unless its daemon was lost"
    NO_INTERNAL_ERROR = "no request ends by an unexpected error"
    CLOSED = "an endpoint out of service or leaving receives no new requests"
    COLD_BOUND = "a cold endpoint receives no more than it can handle"
    MEMORY_FREED = "an engine releases all KV cache memory in the end"
    STATE_MONOTONIC = "a configuration in force never reverts"


@dataclass(slots=True, kw_only=True)
class Violation:
    """A violated invariant and a description of the violation."""

    invariant: RunInvariant
    detail: str


@dataclass(slots=True, kw_only=True)
class UnschedulablePeriod:
    """A period in which an endpoint must not receive new requests.

    Attributes:
        endpoint: Name of the endpoint.
        accepted_at: Loop time of the ticket's acceptance, in seconds.
        schedulable_at: Loop time from which the endpoint may receive requests
            again, in seconds.
    """

    endpoint: str
    accepted_at: float
    schedulable_at: float = float("inf")


@dataclass(slots=True, kw_only=True)
class DaemonOutage:
    """A period in which a daemon was killed or frozen.

    Attributes:
        daemon: Name of the instance.
        began_at: Loop time at which the daemon failed, in seconds.
        recovered_at: Loop time at which the daemon ran again, in seconds.
        killed: Whether the daemon was killed, which breaks its running calls,
            rather than frozen.
    """

    daemon: str
    began_at: float
    recovered_at: float = float("inf")
    killed: bool = True


@dataclass(slots=True, kw_only=True)
class ConfigSample:
    """Ticket numbers in force at one daemon, by configuration object."""

    member_id: str
    ticket_numbers: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class RunHistory:
    """The recorded history of a run.

    Attributes:
        history: Events of the stand-ins.
        calls: Calls and their outcomes, as recorded by the callers.
        unschedulable_periods: Periods in which endpoints were out of service.
        samples: Configuration states, in order of time.
        daemon_outages: Periods in which daemons were killed or frozen.
        quiescent: Whether the run has ended all requests, so that all KV
            cache memory must be free.
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
    """Returns every violation in the history of a run."""
    checks = (
        _check_at_most_once,
        _check_whole_answers,
        _check_not_run,
        _check_responses,
        _check_unschedulable,
        _check_cold_bound,
        _check_memory,
        _check_configurations,
    )
    return [violation for check in checks for violation in check(run)]


def _execution_records(run: RunHistory) -> Iterator[HistoryRecord]:
    return run.history.select(*EXECUTION_KINDS)


def _caller_request_id(record: HistoryRecord) -> str:
    """Returns the part of a request id that the caller chose."""
    return str(record.fields.get("request_id", "")).partition(".")[0]


def _check_at_most_once(run: RunHistory) -> Iterator[Violation]:
    runs_by_key: collections.Counter[str] = collections.Counter()
    runs_by_call: collections.Counter[str] = collections.Counter()
    calls = {call.id: call for call in run.calls if not call.idempotent}
    for record in run.history.select(HistoryKind.PLAIN_RUN):
        call = calls.get(_caller_request_id(record))
        if call is None:
            continue
        runs_by_call[call.id] += 1
        if call.key:
            runs_by_key[call.key] += 1
    for name, count in [*runs_by_key.items(), *runs_by_call.items()]:
        if count > 1:
            detail = f"{name} ran {count} times"
            yield Violation(invariant=RunInvariant.AT_MOST_ONCE, detail=detail)


def _check_whole_answers(run: RunHistory) -> Iterator[Violation]:
    for call in run.calls:
        outcome = call.outcome
        if outcome is None or not call.expected:
            continue
        complete = outcome.text == call.expected
        if outcome.result == "ok" and not complete:
            detail = f"{call.id} received {outcome.text[:40]!r}"
            yield Violation(invariant=RunInvariant.WHOLE_ANSWER, detail=detail)
        elif not call.expected.startswith(outcome.text):
            detail = f"{call.id} received text that is not part of its answer"
            yield Violation(invariant=RunInvariant.WHOLE_ANSWER, detail=detail)


def _check_not_run(run: RunHistory) -> Iterator[Violation]:
    ran = {_caller_request_id(record) for record in _execution_records(run)}
    for call in run.calls:
        if call.outcome and call.outcome.ran == "no" and call.id in ran:
            detail = f"{call.id} was refused as {call.outcome.result}"
            yield Violation(invariant=RunInvariant.NOT_RUN, detail=detail)


def _check_responses(run: RunHistory) -> Iterator[Violation]:
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
            outage
            for outage in run.daemon_outages
            if _overlaps_outage(call, outage)
        ]
        interrupted = bool(daemon_outages)
        killed = any(outage.killed for outage in daemon_outages)
        if call.outcome.result == "broken" and not killed:
            detail = f"{call.id} lost its connection to {call.daemon}"
            yield Violation(invariant=RunInvariant.ANSWERED, detail=detail)
        elif (
            not interrupted
            and call.outcome.total_s > call.deadline_s + DEADLINE_SLACK_S
        ):
            detail = f"{call.id} took {call.outcome.total_s:.1f} s"
            yield Violation(invariant=RunInvariant.ENDS_IN_TIME, detail=detail)


def _overlaps_outage(call: CallRecord, outage: DaemonOutage) -> bool:
    """Returns whether a call ran during an outage of its daemon."""
    assert call.outcome is not None
    ended_at = call.started_at + call.outcome.total_s
    overlaps = (
        call.started_at <= outage.recovered_at and ended_at >= outage.began_at
    )
    return call.daemon == outage.daemon and overlaps


def _check_unschedulable(run: RunHistory) -> Iterator[Violation]:
    for period in run.unschedulable_periods:
        drain_deadline = period.accepted_at + CLOSE_DEADLINE_S
        for record in _execution_records(run):
            received_at = _received_at(record)
            late = drain_deadline < received_at < period.schedulable_at
            if record.actor == period.endpoint and late:
                after_s = received_at - period.accepted_at
                detail = (
                    f"{period.endpoint} received a request {after_s:.1f} s"
                    " after the ticket"
                )
                yield Violation(invariant=RunInvariant.CLOSED, detail=detail)


def _received_at(record: HistoryRecord) -> float:
    """Returns the loop time at which a request reached its endpoint.

    A frozen endpoint starts the request later than that.
    """
    arrived_s = record.fields.get("arrived_s")
    return record.time_s if arrived_s is None else arrived_s


def _check_cold_bound(run: RunHistory) -> Iterator[Violation]:
    # finish times of answers since the endpoint turned cold unannounced
    slow_answer_times_s: dict[str, list[float]] = {}
    # requests started since then, as (endpoint, request id)
    started: set[tuple[str, str]] = set()
    kinds = (
        HistoryKind.CRASHED,
        HistoryKind.TURNED_COLD,
        HistoryKind.REQUEST_STARTED,
        HistoryKind.REQUEST_FINISHED,
    )
    for record in run.history.select(*kinds):
        answer_times_s = slow_answer_times_s.get(record.actor)
        request = (record.actor, str(record.fields.get("request_id")))
        match record.kind:
            case HistoryKind.TURNED_COLD:
                slow_answer_times_s[record.actor] = []
                started = {item for item in started if item[0] != record.actor}
            case HistoryKind.REQUEST_STARTED:
                started.add(request)
            case HistoryKind.REQUEST_FINISHED if answer_times_s is not None:
                if request in started:
                    answer_times_s.append(record.time_s)
            case HistoryKind.CRASHED:
                slow_answer_times_s.pop(
                    record.actor, None
                )  # a restart is announced
                overloaded = record.fields.get("cause") == OVERLOAD_CAUSE
                if overloaded and _must_be_detected(
                    answer_times_s, record.time_s
                ):
                    at_s = record.time_s
                    detail = f"{record.actor} was overloaded at {at_s:.1f} s"
                    yield Violation(
                        invariant=RunInvariant.COLD_BOUND, detail=detail
                    )


def _must_be_detected(
    slow_answer_times_s: list[float] | None, time_s: float
) -> bool:
    """Returns whether the cold state of an engine must have been detected.

    An announced cold state, for which no slow answers are recorded, is always
    detected; an unannounced one `COLD_DETECTION_DELAY_S` after
    `MIN_SLOW_ANSWERS` slow answers.
    """
    if slow_answer_times_s is None:
        return True
    if len(slow_answer_times_s) < MIN_SLOW_ANSWERS:
        return False
    return (
        time_s
        >= slow_answer_times_s[MIN_SLOW_ANSWERS - 1] + COLD_DETECTION_DELAY_S
    )


def _check_memory(run: RunHistory) -> Iterator[Violation]:
    if not run.quiescent:
        return
    unreleased: dict[str, dict[Any, HistoryRecord]] = {}
    kinds = (
        HistoryKind.MEMORY_TAKEN,
        HistoryKind.MEMORY_FREED,
        HistoryKind.CRASHED,
    )
    for record in run.history.select(*kinds):
        memory = unreleased.setdefault(record.actor, {})
        attempt_key = (
            record.fields.get("request_id"),
            record.fields.get("attempt"),
        )
        match record.kind:
            case HistoryKind.MEMORY_TAKEN:
                memory[attempt_key] = record
            case HistoryKind.MEMORY_FREED:
                memory.pop(attempt_key, None)
            case HistoryKind.CRASHED:
                memory.clear()
    for actor, memory in unreleased.items():
        for attempt_key in memory:
            detail = f"{actor} has not released the memory of {attempt_key}"
            yield Violation(invariant=RunInvariant.MEMORY_FREED, detail=detail)


def _check_configurations(run: RunHistory) -> Iterator[Violation]:
    newest_numbers: dict[tuple[str, str], int] = {}
    for sample in run.samples:
        for name, number in sample.ticket_numbers.items():
            key = (sample.member_id, name)
            if number < newest_numbers.get(key, 0):
                detail = (
                    f"{sample.member_id} reverted {name} to ticket {number}"
                )
                yield Violation(
                    invariant=RunInvariant.STATE_MONOTONIC, detail=detail
                )
            newest_numbers[key] = number


__all__ = [
    "UnschedulablePeriod",
    "DaemonOutage",
    "RunInvariant",
    "RunHistory",
    "ConfigSample",
    "Violation",
    "check_run",
]

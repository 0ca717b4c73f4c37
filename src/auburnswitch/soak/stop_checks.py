"""Checks that planned stops cut off and delay no request."""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Final

from auburnswitch.soak.workload_generator import (
    HTTP_OK,
    NOT_EXECUTED_STATUSES,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from pathlib import Path

    from auburnswitch.soak.daemon_process import ProcessRun
    from auburnswitch.soak.fleet import SoakFleet
    from auburnswitch.soak.workload_generator import RequestRecord
    from auburnswitch.standins.endpoint import ReceivedRequest

# From the users' rule for lost requests.
EXCUSED_SENT_S: Final = 3.0  # latest time after SIGTERM
EXCUSED_WORK_SHARE: Final = 5 / 6  # of the grace time
LOSS_SLACK_S: Final = 0.2  # a request may cross the close of its connection
MAX_REFUSAL_S: Final = 0.5
_MS_PER_S: Final = 1000.0


class Ending(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered, or not accepted"
    OVER_TIME = "its time limit was over"
    EXCUSED = "its endpoint was at work in the last sixth of the grace time"
    LOST = "no whole answer"


def classify_ending(
    record: RequestRecord, work: Sequence[ReceivedRequest], fleet: SoakFleet
) -> Ending:
    """Classifies a request; `work` is what endpoints ran for it."""
    if record.complete or not record.connected or record.ended_at is None:
        return Ending.ANSWERED
    took_s = record.ended_at - record.sent_at
    route_timeout_s = fleet.options.route_timeout_ms / _MS_PER_S
    if took_s >= min(record.deadline_s, route_timeout_s):
        return Ending.OVER_TIME
    if not work:
        was_read_before_close = took_s > LOSS_SLACK_S and not record.reset
        return Ending.LOST if was_read_before_close else Ending.ANSWERED
    stopped_at = record.run.terminated_at if record.run else None
    if stopped_at is None:
        return Ending.LOST
    last_sixth_at = stopped_at + EXCUSED_WORK_SHARE * fleet.options.stop_grace_s
    was_at_work = any(run.ended_at >= last_sixth_at for run in work)
    sent_in_time = record.sent_at <= stopped_at + EXCUSED_SENT_S
    return Ending.EXCUSED if was_at_work and sent_in_time else Ending.LOST


def check_stops(
    records: Iterable[RequestRecord], fleet: SoakFleet
) -> tuple[list[str], Counter[Ending]]:
    """Checks all requests and stops.

    Returns:
        Violations of the guarantees, and the number of requests by ending.
    """
    work: defaultdict[str, list[ReceivedRequest]] = defaultdict(list)
    for endpoint in fleet.endpoints.values():
        for received in endpoint.received_requests:
            if received.ran:
                work[received.request_id].append(received)
    problems = []
    endings: Counter[Ending] = Counter()
    for record in records:
        ending = classify_ending(record, work[record.id], fleet)
        endings[ending] += 1
        if ending is Ending.LOST:
            problems.append(_describe_loss(record, work[record.id]))
        if problem := find_refusal_problem(record):
            problems.append(f"{record.id}: {problem}")
    for daemon in fleet.daemons:
        for run in daemon.runs:
            if problem := find_exit_problem(run):
                problems.append(f"{daemon.name}: {problem}")
    return problems, endings


def _describe_loss(
    record: RequestRecord, work: Sequence[ReceivedRequest]
) -> str:
    run = record.run
    start = run.terminated_at if run else None
    origin = "SIGTERM" if start is not None else "sending"
    start = record.sent_at if start is None else start
    times = {"sent": record.sent_at, "ended": record.ended_at}
    if run and run.exited_at is not None:
        times[f"exit {run.status}"] = run.exited_at
    times |= {f"work {n}": item.ended_at for n, item in enumerate(work, 1)}
    listed = [
        f"{name} {time - start:+.2f}"
        for name, time in times.items()
        if time is not None
    ]
    return (
        f"{record.id} {record.path}: {Ending.LOST.value} from"
        f" {run.daemon if run else '?'}, time limit {record.deadline_s:.1f} s,"
        f" status {record.status}; seconds from {origin}: {', '.join(listed)}"
    )


def find_refusal_problem(record: RequestRecord) -> str:
    """Returns the error in a refusal while stopping, empty if none."""
    stopped_at = record.run.terminated_at if record.run else None
    if (
        not record.complete
        or record.ended_at is None
        or record.signed
        or record.status not in NOT_EXECUTED_STATUSES
        or stopped_at is None
        or record.ended_at < stopped_at
    ):
        return ""
    took_s = record.ended_at - record.sent_at
    reason = record.body.decode().strip()
    if record.retry_after_s is None:
        return f"refused while stopping without Retry-After: {reason}"
    if record.sent_at >= stopped_at and took_s > MAX_REFUSAL_S:
        return f"refused while stopping after {took_s:.2f} s: {reason}"
    return ""


def find_exit_problem(run: ProcessRun) -> str:
    """Returns the error in a stop, empty if none."""
    if run.killed:
        return "still there at the end of the grace time, killed"
    if run.status:
        return f"exit status {run.status}"
    return ""


def summarise_stops(
    records: Iterable[RequestRecord], fleet: SoakFleet, endings: Counter[Ending]
) -> str:
    """Returns the numbers of requests and stops as a line."""
    runs = [run for daemon in fleet.daemons for run in daemon.runs]
    exits_s = [
        run.exited_at - run.terminated_at
        for run in runs
        if run.exited_at is not None and run.terminated_at is not None
    ]
    statuses = Counter(record.status for record in records if record.complete)
    refused = sum(statuses[status] for status in NOT_EXECUTED_STATUSES)
    return (
        f"{endings.total()} requests, {statuses[HTTP_OK]} served,"
        f" {refused} refused, {len(exits_s)} stops with"
        f" {fleet.options.stop_grace_s:.0f} s, exits after"
        f" {min(exits_s, default=0):.2f} to {max(exits_s, default=0):.2f} s,"
        f" {sum(run.killed for run in runs)} killed,"
        f" {endings[Ending.LOST]} lost, {endings[Ending.EXCUSED]} excused,"
        f" {endings[Ending.OVER_TIME]} over time"
    )


def find_failed_tasks(folder: Path) -> list[str]:
    """Returns the lines of failed tasks in all logs of a folder."""
    return [
        f"{path.name}: {line}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text("utf-8", "replace").splitlines()
        if "task_failed" in line
    ]


__all__ = [
    "Ending",
    "check_stops",
    "classify_ending",
    "find_exit_problem",
    "find_failed_tasks",
    "find_refusal_problem",
    "summarise_stops",
]

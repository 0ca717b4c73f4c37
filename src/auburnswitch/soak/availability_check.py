"""Checks that daemons respect what endpoints state about themselves.

Both rules excuse a daemon that was started, stopped or paused meanwhile. The
second also excuses requests to an endpoint whose connections were disturbed, as
the daemon may not have received its refusal.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from auburnswitch.soak.fleet import SoakFleet
    from auburnswitch.soak.workload_generator import RequestRecord
    from auburnswitch.standins.received_request import ReceivedRequest

LEAVING_SLACK_S: Final = 0.1  # for the times noted in this process
DEFERRAL_SLACK_S: Final = 0.5  # after the refusal
MAX_DEFERRED_REQUESTS: Final = 2
MAX_DISTURBANCE_S: Final = 3.0  # longest fault of a connection


@dataclass(slots=True, kw_only=True)
class _Arrival:
    """A daemon's request at a process of an endpoint.

    Attributes:
        record: The caller's request.
        received: The request as the endpoint received it.
        endpoint: Id of the endpoint.
    """

    record: RequestRecord
    received: ReceivedRequest
    endpoint: str

    @property
    def process(self) -> tuple[str, str, int]:
        """Daemon, endpoint and start of the endpoint's process."""
        return (self.record.daemon, self.endpoint, self.received.boot_ms)


def find_availability_problems(
    records: Iterable[RequestRecord], fleet: SoakFleet
) -> list[str]:
    """Returns the violations of both rules; empty if there are none."""
    arrivals = list(_list_arrivals(records, fleet))
    arrivals.sort(key=lambda arrival: arrival.received.received_at)
    interruptions = {
        daemon.name: daemon.interrupted_at for daemon in fleet.daemons
    }
    return [
        *_find_leaving_problems(arrivals, interruptions),
        *_find_deferral_problems(arrivals, interruptions, fleet),
    ]


def _list_arrivals(
    records: Iterable[RequestRecord], fleet: SoakFleet
) -> Iterator[_Arrival]:
    record_by_id = {record.id: record for record in records}
    for endpoint in fleet.endpoints.values():
        for received in endpoint.received_requests:
            record = record_by_id.get(received.request_id)
            if record is not None:
                yield _Arrival(
                    record=record, received=received, endpoint=endpoint.id
                )


def _find_leaving_problems(
    arrivals: list[_Arrival], interruptions: dict[str, list[float]]
) -> Iterator[str]:
    """Finds requests sent after a caller had seen that an endpoint leaves."""
    passed_on_at = _find_passed_on_times(arrivals)
    for arrival in arrivals:
        told_at = passed_on_at.get(arrival.process)
        if told_at is None:
            continue
        if arrival.record.sent_at <= told_at + LEAVING_SLACK_S:
            continue
        received_at = arrival.received.received_at
        times = interruptions.get(arrival.record.daemon, [])
        if not _any_within(times, told_at, received_at):
            yield (
                f"{arrival.record.id}: {arrival.record.daemon} sent it to"
                f" {arrival.endpoint} {received_at - told_at:.2f} s after it"
                " had passed on that this endpoint is leaving"
            )


def _find_passed_on_times(
    arrivals: list[_Arrival],
) -> dict[tuple[str, str, int], float]:
    """Returns when each daemon first passed on that an endpoint is leaving."""
    leaving: dict[str, list[_Arrival]] = {}
    for arrival in arrivals:
        if arrival.record.leaving and arrival.received.leaving:
            leaving.setdefault(arrival.record.id, []).append(arrival)
    passed_on_at: dict[tuple[str, str, int], float] = {}
    for found in leaving.values():
        if len(found) > 1:
            continue  # the response may be of any of these endpoints
        process, time_s = found[0].process, found[0].record.answered_at
        passed_on_at[process] = min(passed_on_at.get(process, time_s), time_s)
    return passed_on_at


def _find_deferral_problems(
    arrivals: list[_Arrival],
    interruptions: dict[str, list[float]],
    fleet: SoakFleet,
) -> Iterator[str]:
    """Finds requests in the time for which an endpoint wanted none."""
    times_by_process: dict[tuple[str, str, int], list[float]] = {}
    for arrival in arrivals:
        times = times_by_process.setdefault(arrival.process, [])
        times.append(arrival.received.received_at)
    for arrival in arrivals:
        if arrival.received.deferral_s <= DEFERRAL_SLACK_S:
            continue
        refused_at = arrival.received.received_at
        until = refused_at + arrival.received.deferral_s
        early = [
            time_s
            for time_s in times_by_process[arrival.process]
            if refused_at + DEFERRAL_SLACK_S < time_s < until
        ]
        if len(early) <= MAX_DEFERRED_REQUESTS:
            continue
        daemon, endpoint, _ = arrival.process
        if _any_within(interruptions.get(daemon, []), refused_at, until):
            continue
        proxy = fleet.endpoint_proxies.get(endpoint)
        changes = proxy.mode_changed_at if proxy else []
        if not _any_within(changes, refused_at - MAX_DISTURBANCE_S, until):
            yield (
                f"{arrival.record.id}: {endpoint} refused it for"
                f" {arrival.received.deferral_s:.2f} s, but {daemon} sent"
                f" {len(early)} requests in this time"
            )


def _any_within(times: Iterable[float], start_s: float, end_s: float) -> bool:
    return any(start_s <= time_s <= end_s for time_s in times)


__all__ = ["find_availability_problems"]

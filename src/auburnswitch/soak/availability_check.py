"""Checks that daemons respect what endpoints state about themselves.

Both rules bind a process of a daemon and excuse it if it was paused meanwhile.
The second also excuses requests to an endpoint whose connections were
disturbed, as the daemon may not have received its refusal.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from auburnswitch.soak.daemon_process import ProcessRun
    from auburnswitch.soak.fleet import SoakFleet
    from auburnswitch.soak.workload_generator import RequestRecord
    from auburnswitch.standins.received_request import ReceivedRequest

LEAVING_SLACK_S: Final = 0.1  # for the times noted in this process
DEFERRAL_SLACK_S: Final = 0.5  # after the refusal
MAX_DEFERRED_REQUESTS: Final = 2
MAX_DISTURBANCE_S: Final = 3.0  # longest fault of a connection


class _Link(NamedTuple):
    """A process of a daemon and a process of an endpoint.

    Attributes:
        run: The daemon's process.
        endpoint: Id of the endpoint.
        boot_ms: Start of the endpoint's process.
    """

    run: ProcessRun
    endpoint: str
    boot_ms: int


@dataclass(slots=True, kw_only=True)
class _Arrival:
    """A daemon's request at an endpoint.

    Attributes:
        record: The caller's request.
        received: The request as the endpoint received it.
        link: The processes that sent and received it.
    """

    record: RequestRecord
    received: ReceivedRequest
    link: _Link


def find_availability_problems(
    records: Iterable[RequestRecord], fleet: SoakFleet
) -> list[str]:
    """Returns the violations of both rules; empty if there are none."""
    arrivals = list(_list_arrivals(records, fleet))
    arrivals.sort(key=lambda arrival: arrival.received.received_at)
    return [
        *_find_leaving_problems(arrivals),
        *_find_deferral_problems(arrivals, fleet),
    ]


def _list_arrivals(
    records: Iterable[RequestRecord], fleet: SoakFleet
) -> Iterator[_Arrival]:
    record_by_id = {record.id: record for record in records}
    for endpoint in fleet.endpoints.values():
        for received in endpoint.received_requests:
            record = record_by_id.get(received.request_id)
            if record is None or record.run is None:
                continue
            link = _Link(record.run, endpoint.id, received.boot_ms)
            yield _Arrival(record=record, received=received, link=link)


def _find_leaving_problems(arrivals: list[_Arrival]) -> Iterator[str]:
    """Finds requests sent after a caller had seen that an endpoint leaves."""
    passed_on_at = _find_passed_on_times(arrivals)
    for arrival in arrivals:
        told_at = passed_on_at.get(arrival.link)
        if told_at is None:
            continue
        if arrival.record.sent_at <= told_at + LEAVING_SLACK_S:
            continue
        received_at = arrival.received.received_at
        run, endpoint, _ = arrival.link
        if not _any_within(run.paused_at, told_at, received_at):
            yield (
                f"{arrival.record.id}: {run.daemon} sent it to"
                f" {endpoint} {received_at - told_at:.2f} s after it"
                " had passed on that this endpoint is leaving"
            )


def _find_passed_on_times(arrivals: list[_Arrival]) -> dict[_Link, float]:
    """Returns when each daemon first passed on that an endpoint is leaving."""
    leaving: dict[str, list[_Arrival]] = {}
    for arrival in arrivals:
        if arrival.record.leaving and arrival.received.leaving:
            leaving.setdefault(arrival.record.id, []).append(arrival)
    passed_on_at: dict[_Link, float] = {}
    for found in leaving.values():
        if len(found) > 1:
            continue  # the response may be of any of these endpoints
        link, time_s = found[0].link, found[0].record.answered_at
        passed_on_at[link] = min(passed_on_at.get(link, time_s), time_s)
    return passed_on_at


def _find_deferral_problems(
    arrivals: list[_Arrival], fleet: SoakFleet
) -> Iterator[str]:
    """Finds requests in the time for which an endpoint wanted none."""
    times_by_link: dict[_Link, list[float]] = {}
    for arrival in arrivals:
        times = times_by_link.setdefault(arrival.link, [])
        times.append(arrival.received.received_at)
    for arrival in arrivals:
        if arrival.received.deferral_s <= DEFERRAL_SLACK_S:
            continue
        refused_at = arrival.received.received_at
        until = refused_at + arrival.received.deferral_s
        early = [
            time_s
            for time_s in times_by_link[arrival.link]
            if refused_at + DEFERRAL_SLACK_S < time_s < until
        ]
        if len(early) <= MAX_DEFERRED_REQUESTS:
            continue
        run, endpoint, _ = arrival.link
        if _any_within(run.paused_at, refused_at, until):
            continue
        proxy = fleet.endpoint_proxies.get(endpoint)
        changes = proxy.mode_changed_at if proxy else []
        if not _any_within(changes, refused_at - MAX_DISTURBANCE_S, until):
            yield (
                f"{arrival.record.id}: {endpoint} refused it for"
                f" {arrival.received.deferral_s:.2f} s, but {run.daemon} sent"
                f" {len(early)} requests in this time"
            )


def _any_within(times: Iterable[float], start_s: float, end_s: float) -> bool:
    return any(start_s <= time_s <= end_s for time_s in times)


__all__ = ["find_availability_problems"]

"""Tracks the work of all daemons on each endpoint."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.gossip import EngineReport

if TYPE_CHECKING:
    from auburnswitch.schema.gossip import WorkItem

EXPIRY_SLACK_S: Final = 1.0
REPORT_MAX_LAG_S: Final = 0.6
REPORT_TTL_S: Final = 3.0  # time for which a report is used
FULL_TTL_S: Final = 0.4
MAX_RECENT_END_TIMES: Final = 32
_MS_PER_S: Final = 1000.0


@dataclass(slots=True, kw_only=True)
class EndpointWork:
    """The work of one request on one endpoint.

    Attributes:
        prefill_s: Time that its prefill takes alone, in seconds.
        prefill_starts_at: Predicted loop time at which its prefill starts, in
            seconds.
        prefill_ends_at: Predicted loop time at which its prefill ends.
        due_at: Loop time by which its first token is due.
        ends_at: Loop time at which the request is expected to end.
        memory_tokens: KV cache memory used on this endpoint.
        target_gap_ms: Longest acceptable gap between its events, in
            milliseconds.
        decodes_here: Whether the answer is decoded on this endpoint.
        prefilled: Whether its prompt has been prefilled.
        joint: Whether several endpoints prefill the prompt.
    """

    prefill_s: float
    prefill_starts_at: float
    prefill_ends_at: float
    due_at: float
    ends_at: float
    memory_tokens: int
    target_gap_ms: float
    decodes_here: bool
    prefilled: bool = False
    joint: bool = False


class EndpointLoad:
    """The work on one endpoint.

    Attributes:
        work_by_request: Work of requests, by daemon and item id.
        prefill_ends_at: Predicted loop time at which all prefills end.
        recent_end_times: Loop times at which the last requests ended.
    """

    __slots__ = (
        "_full_until",
        "_report",
        "_reported_at",
        "prefill_ends_at",
        "recent_end_times",
        "work_by_request",
    )

    def __init__(self) -> None:
        self.work_by_request: dict[tuple[str, int], EndpointWork] = {}
        self.prefill_ends_at = 0.0
        self.recent_end_times: deque[float] = deque(maxlen=MAX_RECENT_END_TIMES)
        self._report = EngineReport()
        self._full_until = 0.0
        self._reported_at = -REPORT_TTL_S

    def apply_report(self, report: EngineReport) -> None:
        """Applies a report on the endpoint's load."""
        self._report = report
        self._reported_at = monotonic_s()

    def record_full(self) -> None:
        """Records that the endpoint refused a request for lack of capacity."""
        self._full_until = monotonic_s() + FULL_TTL_S

    @property
    def is_full(self) -> bool:
        """Whether the endpoint refused a request within FULL_TTL_S."""
        return monotonic_s() < self._full_until

    def _has_fresh_report(self) -> bool:
        return monotonic_s() - self._reported_at < REPORT_TTL_S

    @property
    def unknown_requests(self) -> int:
        """Requests on the endpoint beyond the known work of all daemons."""
        return self._report.unknown_requests if self._has_fresh_report() else 0

    @property
    def unknown_tokens(self) -> int:
        """KV cache memory in use beyond the known work of all daemons."""
        return self._report.unknown_tokens if self._has_fresh_report() else 0

    @property
    def slowdown(self) -> float:
        """Execution time relative to the endpoint's usual one, at least 1."""
        if not self._has_fresh_report():
            return 1.0
        return max(1.0, self._report.slowdown)

    def recent_request_count(self) -> int:
        """Counts requests that a delayed report may still include."""
        since = monotonic_s() - REPORT_MAX_LAG_S
        return len(self.work_by_request) + sum(
            ended_at >= since for ended_at in self.recent_end_times
        )

    def backlog_ms(self, now: float) -> float:
        """Returns the predicted time of all remaining prefills, in ms."""
        return max(0.0, self.prefill_ends_at - now) * _MS_PER_S

    def joint_prefills(self, now: float) -> dict[tuple[str, int], EndpointWork]:
        """Returns the joint prefills that are not predicted to have ended."""
        return {
            key: work
            for key, work in self.work_by_request.items()
            if work.joint and not work.prefilled and work.prefill_ends_at > now
        }

    def delay_prefills(self, since: float, delay_s: float) -> None:
        """Delays all prefills that are predicted to end after a loop time."""
        for work in self.work_by_request.values():
            if work.prefill_ends_at > since:
                work.prefill_ends_at += delay_s

    @property
    def decode_count(self) -> int:
        """Requests whose answers are or will be decoded on this endpoint."""
        return sum(work.decodes_here for work in self.work_by_request.values())

    @property
    def helper_prefill_count(self) -> int:
        """Requests whose prompts are prefilled here for another endpoint."""
        return len(self.work_by_request) - self.decode_count

    @property
    def memory_tokens(self) -> int:
        """KV cache memory in use on this endpoint."""
        tracked_tokens = sum(
            work.memory_tokens for work in self.work_by_request.values()
        )
        return tracked_tokens + self.unknown_tokens

    def target_gaps_ms(self) -> list[float]:
        """Returns the target gaps of the answers decoded on this endpoint."""
        return [
            work.target_gap_ms
            for work in self.work_by_request.values()
            if work.decodes_here
        ]


class FleetLoad:
    """Work on all endpoints, by the daemon that sent it.

    Attributes:
        by_endpoint: Load by endpoint id.
        items: Work items of each daemon, by item id.
    """

    __slots__ = ("by_endpoint", "items")

    def __init__(self) -> None:
        self.by_endpoint: defaultdict[str, EndpointLoad] = defaultdict(
            EndpointLoad
        )
        self.items: defaultdict[str, dict[int, WorkItem]] = defaultdict(dict)

    def add(self, daemon: str, item: WorkItem) -> None:
        """Adds a work item, or updates an existing one."""
        current = self.items[daemon].get(item.id)
        if current is not None and current.endpoint == item.endpoint:
            if item.writing and not current.writing:
                self.record_prefilled(daemon, item.id)
            self._extend_end(daemon, item)
            return
        if current is not None:
            self.remove(daemon, item.id)
        self.items[daemon][item.id] = item
        self._add_work(daemon, item, item.endpoint, item.memory_tokens)
        for index, helper in enumerate(item.helpers):
            is_holder = index < item.holders
            memory_tokens = item.helper_memory_tokens if is_holder else 0
            self._add_work(daemon, item, helper, memory_tokens)

    def remove(self, daemon: str, item_id: int) -> None:
        """Removes the work item of a request that has ended."""
        item = self.items[daemon].pop(item_id, None)
        if item is None:
            return
        for endpoint in (item.endpoint, *item.helpers):
            load = self.by_endpoint[endpoint]
            work = load.work_by_request.pop((daemon, item_id), None)
            if work is not None:
                _end_prefill(load, work)
                load.recent_end_times.append(monotonic_s())

    def replace(self, daemon: str, items: list[WorkItem]) -> None:
        """Replaces all work items of a daemon."""
        current_ids = {item.id for item in items}
        for item_id in self.items[daemon].keys() - current_ids:
            self.remove(daemon, item_id)
        for item in items:
            self.add(daemon, item)

    def record_prefilled(self, daemon: str, item_id: int) -> None:
        """Records that the prefill of a prompt has finished."""
        item = self.items[daemon].get(item_id)
        if item is None or item.writing:
            return
        item.writing = True
        for endpoint in (item.endpoint, *item.helpers):
            load = self.by_endpoint[endpoint]
            work = load.work_by_request.get((daemon, item_id))
            if work is None:
                continue
            _end_prefill(load, work)
            work.prefilled = True
            if not work.decodes_here and not work.memory_tokens:
                del load.work_by_request[daemon, item_id]

    def expire(self, own_instance: str) -> None:
        """Removes expired work items of other daemons.

        Args:
            own_instance: This daemon's instance, whose items do not expire.
        """
        now = monotonic_s()
        for daemon, items in self.items.items():
            if daemon == own_instance:
                continue  # this daemon removes its items when they end
            expired = [
                item.id
                for item in items.values()
                if self._ends_at(daemon, item) + EXPIRY_SLACK_S < now
            ]
            for item_id in expired:
                self.remove(daemon, item_id)

    def _ends_at(self, daemon: str, item: WorkItem) -> float:
        work = self.by_endpoint[item.endpoint].work_by_request.get(
            (daemon, item.id)
        )
        return work.ends_at if work else 0.0

    def _extend_end(self, daemon: str, item: WorkItem) -> None:
        work = self.by_endpoint[item.endpoint].work_by_request.get(
            (daemon, item.id)
        )
        if work is not None:
            work.ends_at = monotonic_s() + item.remaining_ms / _MS_PER_S

    def _add_work(
        self, daemon: str, item: WorkItem, endpoint: str, memory_tokens: int
    ) -> None:
        now = monotonic_s()
        load = self.by_endpoint[endpoint]
        joint = bool(item.helpers)
        prefill_s = 0.0 if item.writing else item.read_ms / _MS_PER_S
        prefill_starts_at = max(now, load.prefill_ends_at)
        load.prefill_ends_at = prefill_starts_at + prefill_s
        if joint:  # the newest joint prefill runs first
            load.delay_prefills(now, prefill_s)
            prefill_starts_at = now
        load.work_by_request[daemon, item.id] = EndpointWork(
            prefill_s=prefill_s,
            prefill_starts_at=prefill_starts_at,
            prefill_ends_at=prefill_starts_at + prefill_s,
            due_at=now + item.due_ms / _MS_PER_S,
            ends_at=now + item.remaining_ms / _MS_PER_S,
            memory_tokens=memory_tokens,
            target_gap_ms=item.target_gap_ms,
            decodes_here=endpoint == item.endpoint,
            prefilled=item.writing,
            joint=joint,
        )


def _end_prefill(load: EndpointLoad, work: EndpointWork) -> None:
    """Subtracts the remaining prefill time of a request from the backlog."""
    now = monotonic_s()
    remaining_s = min(
        work.prefill_s,
        work.prefill_ends_at - max(now, work.prefill_starts_at),
    )
    if remaining_s > 0:
        load.prefill_ends_at -= remaining_s
        if work.joint:
            load.delay_prefills(work.prefill_ends_at, -remaining_s)
    work.prefill_ends_at = min(work.prefill_ends_at, now)


__all__ = ["EndpointLoad", "FleetLoad", "EndpointWork"]

"""Compares the load that engines report with the known work of daemons.

Engines keep running requests of a daemon that lost power, and may become slow.
The work that daemons publish shows neither.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.hash_ring import HashRing
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import EngineReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from auburnswitch.configuration.installation import Installation
    from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint
    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.routing.availability.endpoint_availability import (
        EndpointAvailability,
    )
    from auburnswitch.routing.selection.fleet_load import FleetLoad

OBSERVE_INTERVAL_S: Final = 2.0
# Applies after the start and to engines with unknown requests or a slowdown.
FAST_OBSERVE_INTERVAL_S: Final = 0.5
STARTUP_S: Final = 8.0
FIRST_POLL_DELAY_S: Final = 2.0  # until the peers have sent a heartbeat
SLOWDOWN_THRESHOLD: Final = 1.15
MAX_CONCURRENT_REPORTS: Final = 24


class LoadObserver:
    """Polls the engines assigned to this daemon for their load.

    Each engine is polled by one live daemon of its cell, which publishes the
    results to the others. The number of engines polled in one round is bounded,
    as a daemon that has just started sees no peers and assigns all engines of
    its cell to itself.

    Attributes:
        installation: The endpoints and services.
        load: Work of all daemons on each endpoint.
        availability: Marked endpoints are not polled, as nothing is placed on
            them.
        endpoint_client: Client for calls to endpoints.
        instance: This daemon's instance.
        live_instances: Returns the instances of the live peers in the cell.
        is_cell_endpoint: Returns whether an endpoint is in this daemon's cell.
        publish: Publishes reports to peers.
    """

    __slots__ = (
        "_assigned",
        "_assignment_key",
        "_next_poll_at",
        "_started_at",
        "availability",
        "endpoint_client",
        "installation",
        "instance",
        "is_cell_endpoint",
        "live_instances",
        "load",
        "publish",
    )

    def __init__(
        self,
        *,
        installation: Installation,
        load: FleetLoad,
        availability: EndpointAvailability,
        endpoint_client: PlatformEndpointClient,
        instance: str,
        live_instances: Callable[[], Iterable[str]],
        is_cell_endpoint: Callable[[str], bool],
        publish: Callable[[list[EngineReport]], None],
    ) -> None:
        self.installation = installation
        self.load = load
        self.availability = availability
        self.endpoint_client = endpoint_client
        self.instance = instance
        self.live_instances = live_instances
        self.is_cell_endpoint = is_cell_endpoint
        self.publish = publish
        self._started_at = monotonic_s()
        self._next_poll_at: dict[str, float] = {}
        self._assigned: list[TrackedEndpoint] = []
        self._assignment_key: tuple[frozenset[str], int] = (frozenset(), -1)

    async def run(self) -> None:
        """Polls engines until cancelled."""
        await asyncio.sleep(FIRST_POLL_DELAY_S)
        while True:
            await asyncio.sleep(FAST_OBSERVE_INTERVAL_S)
            due = self._due_engines()
            reports = await asyncio.gather(*map(self._poll_engine, due))
            changed_reports = [
                report for report in reports if report is not None
            ]
            if changed_reports:
                self.publish(changed_reports)

    def apply_report(self, report: EngineReport) -> None:
        """Applies a report published by a peer."""
        self.load.by_endpoint[report.endpoint].apply_report(report)

    def _due_engines(self) -> list[TrackedEndpoint]:
        """Returns the assigned engines that are due for a poll."""
        self._refresh_assignment()
        now = monotonic_s()
        due = [
            endpoint
            for endpoint in self._assigned
            if self._next_poll_at.get(endpoint.entry.id, 0.0) <= now
            and not self.availability.is_marked(endpoint.entry.id)
        ]
        due.sort(
            key=lambda endpoint: self._next_poll_at.get(endpoint.entry.id, 0.0)
        )
        return due[:MAX_CONCURRENT_REPORTS]

    def _refresh_assignment(self) -> None:
        """Reassigns engines if the live daemons or the endpoints changed."""
        table = self.installation.table
        if table is None:
            return
        daemons = frozenset([*self.live_instances(), self.instance])
        assignment_key = (daemons, self.installation.endpoints_revision)
        if assignment_key == self._assignment_key:
            return
        self._assignment_key = assignment_key
        ring = HashRing(members=daemons)
        engines = {s.name for s in table.config.services if s.engine}
        self._assigned = [
            endpoint
            for endpoint in self.installation.endpoints.values()
            if endpoint.entry.service_name in engines
            and self.is_cell_endpoint(endpoint.entry.id)
            and ring.owner(endpoint.entry.id) == self.instance
        ]

    async def _poll_engine(
        self, endpoint: TrackedEndpoint
    ) -> EngineReport | None:
        """Polls one engine.

        Returns:
            The report if it has to be published to peers, else None.
        """
        now = monotonic_s()
        load = self.load.by_endpoint[endpoint.entry.id]
        load_report = await self.endpoint_client.fetch_load(endpoint.entry)
        if load_report is None:
            self._next_poll_at[endpoint.entry.id] = now + OBSERVE_INTERVAL_S
            return None
        known_requests = load.recent_request_count()
        unknown_requests = max(0, load_report.requests - known_requests)
        known_tokens = load.memory_tokens - load.unknown_tokens
        report = EngineReport(
            endpoint=endpoint.entry.id,
            unknown_requests=unknown_requests,
            unknown_tokens=max(0, load_report.memory_tokens - known_tokens),
            slowdown=load_report.slowdown,
        )
        if not unknown_requests:
            # The excess memory belongs to requests that have just ended.
            report.unknown_tokens = 0
        was_abnormal = (
            load.unknown_requests > 0 or load.slowdown >= SLOWDOWN_THRESHOLD
        )
        is_abnormal = (
            unknown_requests > 0 or load_report.slowdown >= SLOWDOWN_THRESHOLD
        )
        load.apply_report(report)
        should_poll_fast = is_abnormal or now < self._started_at + STARTUP_S
        interval_s = (
            FAST_OBSERVE_INTERVAL_S if should_poll_fast else OBSERVE_INTERVAL_S
        )
        self._next_poll_at[endpoint.entry.id] = now + interval_s
        if not is_abnormal and not was_abnormal:
            return None
        if is_abnormal != was_abnormal:
            log_event(
                EventId.ENGINE_LOAD_DIFFERS,
                endpoint=endpoint.entry.id,
                reported=load_report.requests,
                known=known_requests,
                slowdown=load_report.slowdown,
            )
        return report


__all__ = ["LoadObserver"]

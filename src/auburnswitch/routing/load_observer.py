"""Compares what engines report with what daemons are known to have there.

Engines go on working for a daemon that lost power, and may turn slow; neither
shows in the daemons' own account.
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

    from auburnswitch.configuration.installation import (
        Installation,
        KnownEndpoint,
    )
    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.routing.fleet_load import FleetLoad

OBSERVE_INTERVAL_S: Final = 2.0
FAST_OBSERVE_INTERVAL_S: Final = (
    0.5  # after the start, and while something is unknown
)
STARTUP_S: Final = 8.0
SLOWDOWN_THRESHOLD: Final = 1.15
MAX_CONCURRENT_REPORTS: Final = 24


class LoadObserver:
    """Asks the engines that this daemon observes for their load.

    Each engine is observed by one live daemon, which tells the others. The
    engines of one round are bounded, as a daemon that has just started believes
    that it is alone.

    Attributes:
        installation: The endpoints.
        load: What all daemons have at each endpoint.
        calls: Calls to endpoints.
        instance: This daemon's instance.
        live_instances: Returns the instances of the live peers.
        publish: Tells the peers of reports.
    """

    __slots__ = (
        "_next_at",
        "_observed",
        "_observed_of",
        "_started_at",
        "calls",
        "installation",
        "instance",
        "live_instances",
        "load",
        "publish",
    )

    def __init__(
        self,
        *,
        installation: Installation,
        load: FleetLoad,
        calls: PlatformEndpointClient,
        instance: str,
        live_instances: Callable[[], Iterable[str]],
        publish: Callable[[list[EngineReport]], None],
    ) -> None:
        self.installation = installation
        self.load = load
        self.calls = calls
        self.instance = instance
        self.live_instances = live_instances
        self.publish = publish
        self._started_at = monotonic_s()
        self._next_at: dict[str, float] = {}
        self._observed: list[KnownEndpoint] = []
        self._observed_of: tuple[frozenset[str], int] = (frozenset(), -1)

    async def run(self) -> None:
        """Observes engines until it is cancelled."""
        while True:
            await asyncio.sleep(FAST_OBSERVE_INTERVAL_S)
            due = self._due()
            reports = await asyncio.gather(*map(self._observe, due))
            news = [report for report in reports if report is not None]
            if news:
                self.publish(news)

    def apply_report(self, report: EngineReport) -> None:
        """Takes over a report that a peer has read."""
        self.load.by_endpoint[report.endpoint].observe(report)

    def _due(self) -> list[KnownEndpoint]:
        """Returns the engines that this daemon has to ask now."""
        self._share_out()
        now = monotonic_s()
        due = [
            known
            for known in self._observed
            if self._next_at.get(known.entry.id, 0.0) <= now
        ]
        due.sort(key=lambda known: self._next_at.get(known.entry.id, 0.0))
        return due[:MAX_CONCURRENT_REPORTS]

    def _share_out(self) -> None:
        """Finds this daemon's engines again if anything has changed."""
        table = self.installation.table
        if table is None:
            return
        daemons = frozenset([*self.live_instances(), self.instance])
        current = (daemons, self.installation.endpoints_revision)
        if current == self._observed_of:
            return
        self._observed_of = current
        ring = HashRing(members=daemons)
        engines = {s.name for s in table.config.services if s.engine}
        self._observed = [
            known
            for known in self.installation.endpoints.values()
            if known.entry.service_name in engines
            and ring.owner(known.entry.id) == self.instance
        ]

    async def _observe(self, known: KnownEndpoint) -> EngineReport | None:
        """Asks one engine; returns what peers have to know, if anything."""
        now = monotonic_s()
        load = self.load.by_endpoint[known.entry.id]
        answer = await self.calls.fetch_load(known.entry)
        if answer is None:
            self._next_at[known.entry.id] = now + OBSERVE_INTERVAL_S
            return None
        writers = load.recent_request_count()
        unknown = max(0, answer.requests - writers)
        known_tokens = load.memory_tokens - load.unknown_tokens
        report = EngineReport(
            endpoint=known.entry.id,
            unknown_requests=unknown,
            unknown_tokens=max(0, answer.memory_tokens - known_tokens),
            slowdown=answer.slowdown,
        )
        if not unknown:
            report.unknown_tokens = 0  # of requests that have just ended
        before = (
            load.unknown_requests > 0 or load.slowdown >= SLOWDOWN_THRESHOLD
        )
        strange = unknown > 0 or answer.slowdown >= SLOWDOWN_THRESHOLD
        load.observe(report)
        soon = strange or now < self._started_at + STARTUP_S
        interval_s = FAST_OBSERVE_INTERVAL_S if soon else OBSERVE_INTERVAL_S
        self._next_at[known.entry.id] = now + interval_s
        if not strange and not before:
            return None
        if strange != before:
            log_event(
                EventId.ENGINE_LOAD_DIFFERS,
                endpoint=known.entry.id,
                reported=answer.requests,
                known=writers,
                slowdown=answer.slowdown,
            )
        return report


__all__ = ["LoadObserver"]

"""Creates and connects the components of an entry daemon."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import TYPE_CHECKING, Final

from auburnswitch.callers.entry_app import EntryApp
from auburnswitch.clock import monotonic_s
from auburnswitch.configuration.installation import Installation
from auburnswitch.configuration.installation_watcher import (
    WATCHED_KINDS,
    InstallationWatcher,
)
from auburnswitch.configuration.restored_state import RestoredState
from auburnswitch.entry.crash_protection import build_crash_guard
from auburnswitch.entry.endpoint_access import build_endpoint_client
from auburnswitch.entry.work_reporter import WorkReporter
from auburnswitch.members.cells import Cells
from auburnswitch.members.directory_keeper import DirectoryKeeper
from auburnswitch.members.entry_directory import EntryDirectory
from auburnswitch.members.gossip import GossipNode
from auburnswitch.members.rendezvous import rendezvous_owner
from auburnswitch.members.state_exchange import StateExchange
from auburnswitch.members.store_readers import StoreReaderElection
from auburnswitch.observe.logs import log_event
from auburnswitch.observe.statistics import EntryStatistics
from auburnswitch.platform.store_client import PlatformStoreClient
from auburnswitch.routing.availability.endpoint_availability import (
    EndpointAvailability,
)
from auburnswitch.routing.availability.endpoint_health import EndpointHealth
from auburnswitch.routing.delivery.delivery_runner import DeliveryRunner
from auburnswitch.routing.delivery.stop_deadline import StopDeadline
from auburnswitch.routing.delivery.windowed_retry_budget import (
    WindowedRetryBudget,
)
from auburnswitch.routing.selection.endpoint_selector import EndpointSelector
from auburnswitch.routing.selection.fleet_load import FleetLoad
from auburnswitch.routing.selection.load_observer import LoadObserver
from auburnswitch.routing.selection.memory_reservations import (
    MemoryReservations,
)
from auburnswitch.routing.selection.send_rate_limiter import SendRateLimiter
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import DaemonRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from auburnswitch.members.gossip_peer import GossipPeer
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.schema.entry import EntrySettings
    from auburnswitch.schema.gossip import Gossip

EXPIRY_INTERVAL_S: Final = 0.5
DAEMONS_PER_GROUP: Final = 8
MEMBER_CHECK_INTERVAL_S: Final = 15.0
RETENTION_HEARTBEATS: Final = 4  # an entry lapses after three of them
MISSED_INTERVALS_BEFORE_REMOVAL: Final = 6  # member check intervals
ASSUMED_DAEMON_COUNT: Final = 20  # used until the peers are known
_MS_PER_S: Final = 1000.0


class EntryDaemon:
    """All components of one entry daemon.

    Attributes:
        settings: The validated settings.
        installation: Known configuration and endpoints of the installation.
        app: ASGI application that serves callers.
        gossip: Exchanges datagrams with the other daemons.
        stop: The end of a planned stop.
        reader_election: Decides whether this daemon reads the store.
        member_check_interval_s: Interval between checks for terminated
            daemons, in seconds.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        tasks: TaskSet,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.tasks = tasks
        self.installation = Installation(
            restored=RestoredState(
                retention_s=RETENTION_HEARTBEATS
                * settings.bounds.endpoint_heartbeat_ms
                / _MS_PER_S
            )
        )
        self.fleet_load = FleetLoad()
        self.stop = StopDeadline()
        self.member_check_interval_s = MEMBER_CHECK_INTERVAL_S
        self.store = PlatformStoreClient(settings=settings.store)
        record = DaemonRecord(
            instance=settings.instance.name,
            zone=settings.instance.zone,
            host=settings.listen.peer_host,
            port=settings.listen.peer_port,
            link_mbps=settings.instance.link_mbps,
        )
        self.cells = Cells(
            installation=self.installation,
            instance=record.instance,
            list_instances=lambda: self.gossip.peers.by_instance.keys(),
        )
        self.directory = EntryDirectory(local_record=record, store=self.store)
        self.gossip = GossipNode(
            local_record=record,
            incarnation=int(time.time() * _MS_PER_S),
            fill_state=self._fill_state,
            fill_heartbeat=lambda message: self.part_watch.fill_heartbeat(
                message
            ),
            list_work=lambda: self.work_reporter.list_work(),
            on_gossip=self._on_gossip,
            is_reader=lambda: self.reader_election.is_reader,
            cell_of=self.cells.cell_of_instance,
        )
        self.work_reporter = WorkReporter(
            instance=record.instance,
            installation=self.installation,
            cells=self.cells,
            fleet_load=self.fleet_load,
            gossip=self.gossip,
        )
        self.reader_election = StoreReaderElection(
            settings=settings.store,
            local_record=record,
            peers=self.gossip.peers,
            has_joined=lambda: bool(self.gossip.key),
        )
        self.directory_keeper = DirectoryKeeper(
            directory=self.directory,
            gossip=self.gossip,
            is_reader=lambda: self.reader_election.is_reader,
            rng=rng,
        )
        self.state_exchange = StateExchange(
            installation=self.installation,
            get_key=lambda: self.gossip.key,
            live_peers=self.gossip.peers.live_peers,
            zone=record.zone,
            rng=rng,
        )
        self.installation_watcher = InstallationWatcher(
            store=self.store,
            installation=self.installation,
            bounds=settings.bounds,
            reading=self.reader_election.reading,
        )
        self.statistics = EntryStatistics()
        self.availability = EndpointAvailability(
            installation=self.installation, statistics=self.statistics
        )
        self.endpoint_selector = EndpointSelector(
            instance=record.instance,
            zone=record.zone,
            installation=self.installation,
            availability=self.availability,
            load=self.fleet_load,
            health=EndpointHealth(),
            rates=SendRateLimiter(
                bounds=settings.bounds, count_daemons=self._count_daemons
            ),
            on_change=self.work_reporter.publish_work_change,
            group=self._daemon_group,
            cells=self.cells,
            rng=rng,
        )
        endpoint_client, processes = build_endpoint_client(
            availability=self.availability, tasks=tasks
        )
        self.memory_reservations = MemoryReservations(
            endpoint_client=endpoint_client,
            availability=self.availability,
            prefix=f"{record.instance}-{self.gossip.incarnation}",
        )
        self.crash_guard, self.refusal_store = build_crash_guard(
            settings=settings,
            tasks=tasks,
            rng=rng,
            installation=self.installation,
            availability=self.availability,
            statistics=self.statistics,
            store=self.store,
            gossip=self.gossip,
            endpoint_client=endpoint_client,
        )
        self.crash_registry = self.crash_guard.requests
        self.part_watch = self.crash_guard.parts
        delivery_runner = DeliveryRunner(
            statistics=self.statistics,
            crash_guard=self.crash_guard,
            selector=self.endpoint_selector,
            endpoint_client=endpoint_client,
            memory=self.memory_reservations,
            stop=self.stop,
            identify=processes.identify,
            budget=WindowedRetryBudget(
                bounds=settings.bounds, count_daemons=self._count_daemons
            ),
        )
        self.load_observer = LoadObserver(
            installation=self.installation,
            load=self.fleet_load,
            availability=self.availability,
            endpoint_client=endpoint_client,
            instance=record.instance,
            live_instances=self._live_cell_instances,
            is_cell_endpoint=self.cells.is_cell_endpoint,
            publish=self.work_reporter.publish_engine_reports,
        )
        self.app = EntryApp(
            installation=self.installation,
            delivery_runner=delivery_runner,
            availability=self.availability,
            rng=rng,
            statistics=self.statistics,
            stop=self.stop,
            has_live_peers=lambda: bool(self.gossip.peers.live_peers()),
        )
        self.installation.listeners.append(self.gossip.send_state)
        self.store.generation_listeners.append(self._on_new_generation)

    @property
    def ready(self) -> bool:
        """Whether the daemon accepts new connections."""
        return self.installation.complete and not self.stop.stopping

    def start(self) -> None:
        """Starts the background tasks."""
        loops = {"elect store readers": self.reader_election.run}
        for kind in WATCHED_KINDS:
            follow = partial(self.installation_watcher.watch_kind, kind)
            loops[f"follow {kind}"] = follow
        loops |= {
            "probe store": self.installation_watcher.probe_store,
            "join": self._join,
            "read refusals": self.refusal_store.load,
            "gossip": self.gossip.run,
            "expire": self._expire_state,
            "observe engines": self.load_observer.run,
            "keep members": self._maintain_members,
            "keep directory": self.directory_keeper.run,
        }
        for name, run in loops.items():
            self.tasks.supervise(run, name)

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Returns the gauges of the metrics and how to read them."""
        return {
            "requests_in_flight": lambda: self.app.in_flight,
            "stopping": lambda: self.stop.stopping,
            "live_peers": lambda: len(self.gossip.peers.live_peers()),
            "store_calls": lambda: self.store.call_count,
            "store_generation": lambda: self.store.generation,
            "config_version": lambda: self.installation.config_version,
            "endpoints": lambda: len(self.installation.endpoints),
            "marked_endpoints": lambda: len(self.availability.marks),
        }

    def begin_drain(self) -> None:
        """Becomes unready but continues to serve open connections."""
        self.stop.begin(self.settings.bounds.stop_grace_s)
        self.gossip.stopping = True
        self.gossip.send_state()

    def end_drain(self) -> None:
        """Refuses all requests and cuts off those still in flight."""
        self.stop.end()
        self.app.delivery_runner.timers.expire_all()

    @property
    def idle(self) -> bool:
        """Whether no request is in flight and no memory is to be released."""
        return not (
            self.app.in_flight or self.memory_reservations.release_tasks
        )

    async def _join(self) -> None:
        key, known_records = await self.directory.join()
        for record in known_records:
            self.gossip.peers.add(record)
        self.gossip.key = key
        self.gossip.send_state()

    async def _maintain_members(self) -> None:
        """Removes silent peers, and rejoins the fleet when no peer is live."""
        while True:
            await asyncio.sleep(self.member_check_interval_s)
            if not self.gossip.key:
                continue
            removed = self.gossip.peers.remove_silent(
                MISSED_INTERVALS_BEFORE_REMOVAL * self.member_check_interval_s
            )
            for instance in removed:
                log_event(EventId.PEER_FORGOTTEN, peer=instance)
                if self.reader_election.is_reader:
                    await self.directory.unregister(instance)
            if not self.gossip.peers.live_peers():
                await self._join()

    async def _expire_state(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.fleet_load.expire(self.gossip.local_record.instance)
            self.availability.sweep()

    def _daemon_group(self) -> str:
        """Returns the group of daemons that prefer the same engines."""
        group_count = max(1, len(self.gossip.peers) // DAEMONS_PER_GROUP)
        instance = self.gossip.local_record.instance
        return rendezvous_owner(instance, [str(n) for n in range(group_count)])

    def _count_daemons(self) -> int:
        """Returns the estimated number of daemons, live or not."""
        daemon_count = 1 + len(self.gossip.peers)
        return (
            daemon_count
            if self.gossip.key
            else max(daemon_count, ASSUMED_DAEMON_COUNT)
        )

    def _fill_state(self, message: Gossip) -> None:
        message.config_version = self.installation.config_version
        message.store_generation = self.store.generation
        endpoints_revision = self.installation.endpoints_revision
        message.endpoints_revision = endpoints_revision.revision
        message.endpoints_generation = endpoints_revision.generation
        closed_zones_revision = self.installation.closed_zones_revision
        message.closed_zones_revision = closed_zones_revision.revision
        message.closed_zones_generation = closed_zones_revision.generation
        message.crash_strikes = self.crash_registry.recent_announcements()
        read_at = self.installation_watcher.read_at
        if read_at is not None:
            message.store_read_age_ms = (monotonic_s() - read_at) * _MS_PER_S

    def _on_new_generation(self, previous: int, source: str) -> None:
        self.gossip.peers.store_generation = self.store.generation
        if previous and self.reader_election.is_reader:
            self.refusal_store.restore(
                self.part_watch.refusals.refusals,
                self.crash_registry.refused(),
            )

    def _live_cell_instances(self) -> list[str]:
        return [
            peer.record.instance
            for peer in self.gossip.peers.live_peers()
            if self.cells.is_cell_peer(peer.record.instance)
        ]

    def _on_gossip(self, peer: GossipPeer, message: Gossip) -> None:
        """Applies a peer's message to the local state."""
        instance = peer.record.instance
        self.store.observe_generation(
            message.store_generation, f"peer {instance}"
        )
        if message.complete:
            self.fleet_load.replace(instance, message.items)
        else:
            for item in message.items:
                self.fleet_load.add(instance, item)
                self.endpoint_selector.rates.record_fleet_send(item.endpoint)
        self.crash_registry.merge_peer_announcements(message.crash_strikes)
        self.part_watch.merge(message)
        for report in message.reports:
            self.load_observer.apply_report(report)
        for work_id in message.ended:
            self.fleet_load.remove(instance, work_id)
        if message.changes is not None:
            self.installation.adopt_endpoint_changes(
                message.changes, f"peer {instance}"
            )
        if message.config_changes is not None:
            self.installation.adopt_config_changes(
                message.config_changes, f"peer {instance}"
            )
        if self.state_exchange.is_behind(message):
            self.tasks.start(self.state_exchange.catch_up(), "fetch state")


__all__ = ["EntryDaemon"]

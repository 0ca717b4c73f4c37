"""Creates and connects the components of one daemon."""

from __future__ import annotations

import asyncio
import secrets
from functools import partial
from typing import TYPE_CHECKING, Final

from auburnswitch.callers.app import CallerApp
from auburnswitch.callers.in_flight import InFlightCounter
from auburnswitch.callers.request_parser import RequestParser
from auburnswitch.claims.claim_store import ClaimStore
from auburnswitch.clock import WallClock
from auburnswitch.configuration.state import ConfigState
from auburnswitch.configuration.ticket_poller import TicketPoller
from auburnswitch.configuration.tickets import (
    PUBLISHED_PREFIX,
    SNAPSHOT_KEY,
    TicketStore,
)
from auburnswitch.daemon.status import DaemonStatus
from auburnswitch.endpoints.client import EndpointClient
from auburnswitch.endpoints.endpoint_manager import EndpointManager
from auburnswitch.endpoints.engine_reconciler import EngineReconciler
from auburnswitch.endpoints.fencing import FencingNumberAllocator
from auburnswitch.endpoints.handover import Handover
from auburnswitch.endpoints.instance_list import InstanceListReader
from auburnswitch.endpoints.load_monitor import LoadMonitor
from auburnswitch.endpoints.model_load_limiter import ModelLoadLimiter
from auburnswitch.endpoints.orphans import OrphanCollector
from auburnswitch.endpoints.reservations import ReservationClient
from auburnswitch.members.claim_forwarder import ClaimForwarder
from auburnswitch.members.isolation import IsolationDetector
from auburnswitch.members.member_view import MemberView
from auburnswitch.members.membership import Membership
from auburnswitch.members.ownership_leases import OwnershipLeases
from auburnswitch.members.peer_server import PeerServer
from auburnswitch.members.roster import ROSTER_KEY, RosterManager
from auburnswitch.members.termination_detector import TerminationDetector
from auburnswitch.object_store.client import ObjectStoreClient
from auburnswitch.object_store.watcher import StoreWatcher
from auburnswitch.observe.metrics import Metrics
from auburnswitch.observe.tasks import TaskSet
from auburnswitch.operators.app import OperatorApp
from auburnswitch.operators.keys import OperatorKeys
from auburnswitch.results import Refusal, refusal
from auburnswitch.routing.crash_detector import CrashDetector
from auburnswitch.routing.dispatcher import Dispatcher
from auburnswitch.routing.group_placer import GroupPlacer
from auburnswitch.routing.group_runner import GroupRunner
from auburnswitch.routing.placer import Placer
from auburnswitch.routing.plain import PlainRouter
from auburnswitch.routing.policy import make_policy
from auburnswitch.routing.retry_budget import RetryBudget
from auburnswitch.routing.strike_registry import StrikeRegistry
from auburnswitch.routing.team_limits import TeamLimits
from auburnswitch.schema.objects import Member
from auburnswitch.schema.results import ResultCode
from auburnswitch.settings.loader import read_secret

if TYPE_CHECKING:
    import aiohttp

    from auburnswitch.http_server import HttpServer
    from auburnswitch.members.peer_connection import Dialer
    from auburnswitch.observe.invariants import Invariants
    from auburnswitch.schema.settings import Settings

_SEED_BITS: Final = 32


class Daemon:
    """All components of one daemon.

    Attributes:
        settings: The validated settings.
        member: Member record of this incarnation.
        state: The configuration in force.
        view: Known state of the other daemons.
        endpoint_manager: Manages the owned endpoints.
        reservations: Reservations held for callers.
        invariants: Checks invariants and counts violations.
        caller_server: Server for callers, None until it is open.
        operator_server: Server for operators, None until it is open.
        stopping: Whether the daemon refuses new work in order to stop.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        session: aiohttp.ClientSession,
        engine_session: aiohttp.ClientSession,
        tasks: TaskSet,
        invariants: Invariants,
        dial: Dialer = asyncio.open_connection,
    ) -> None:
        self.settings = settings
        self.tasks = tasks
        self.invariants = invariants
        self.stopping = False
        seed = settings.daemon.seed or secrets.randbits(_SEED_BITS)
        self.clock = WallClock()
        self.metrics = Metrics()
        self.metrics.register_counter(
            "invariant_violations", invariants.observe
        )
        self.state = ConfigState(invariants=invariants)
        self.member = Member(
            id=f"{settings.daemon.instance}.{secrets.token_hex(4)}",
            instance=settings.daemon.instance,
            zone=settings.daemon.zone,
            host=settings.peers.host,
            port=settings.peers.port,
        )
        self.view = MemberView(
            local_member=self.member, settings=settings.members
        )
        self.store = ObjectStoreClient(
            settings=settings.platform,
            session=session,
            count_daemons=lambda: max(1, len(self.view.roster.members)),
            seed=seed,
        )
        self.tickets = TicketStore(store=self.store, state=self.state)
        self.watcher = StoreWatcher(store=self.store, seed=seed)
        self.ownership_leases = OwnershipLeases(view=self.view)
        self.termination_detector = TerminationDetector(
            view=self.view, store=self.store
        )
        self.isolation_detector = IsolationDetector(
            view=self.view, get_store_read_at=lambda: self.watcher.read_at
        )
        self.roster_manager = RosterManager(
            store=self.store,
            view=self.view,
            termination_detector=self.termination_detector,
            store_synced=self.watcher.synced,
            seed=seed,
        )
        self.watcher.handlers[PUBLISHED_PREFIX] = self.tickets.handle_ticket
        self.watcher.handlers[SNAPSHOT_KEY] = self.tickets.handle_snapshot
        self.ticket_poller = TicketPoller(
            store=self.store,
            tickets=self.tickets,
            is_poller=lambda: self.view.live_ids()[:1] == [self.member.id],
        )
        self.watcher.handlers[ROSTER_KEY] = self.roster_manager.handle_object
        self.cleanup_tasks = TaskSet()
        self._build_membership(dial)
        self._build_endpoints(session, engine_session)
        self.plain_client = EndpointClient(
            session=session, settings=settings.endpoints
        )
        self._build_routing(seed)
        self._build_apps()
        self._register_gauges()

    def _register_gauges(self) -> None:
        """Registers the gauges that are read at each collection."""
        gauges = {
            "requests_in_flight": lambda: self.in_flight.count,
            "requests_queued": self.endpoint_manager.count_waiting,
            "reservations_held": lambda: len(self.reservations.held),
            "endpoints_owned": lambda: len(self.endpoint_manager.owned()),
            "store_calls_made": lambda: self.store.call_count,
        }
        for name, read_value in gauges.items():
            self.metrics.register_gauge(name, read_value)

    def _build_membership(self, dial: Dialer) -> None:
        shared_key = read_secret(self.settings.peers.key_file)
        self.peer_server = PeerServer(
            settings=self.settings.peers,
            member_id=self.member.id,
            shared_key=shared_key,
        )
        self.membership = Membership(
            settings=self.settings,
            shared_key=shared_key,
            view=self.view,
            ownership_leases=self.ownership_leases,
            termination_detector=self.termination_detector,
            isolation=self.isolation_detector,
            state=self.state,
            tasks=self.tasks,
            dial=dial,
        )
        self.membership.register(self.peer_server)

    def _build_endpoints(
        self,
        session: aiohttp.ClientSession,
        engine_session: aiohttp.ClientSession,
    ) -> None:
        self.endpoint_manager = EndpointManager(
            settings=self.settings,
            view=self.view,
            state=self.state,
            invariants=self.invariants,
            leases=self.ownership_leases,
        )
        self.reservations = ReservationClient(
            endpoint_manager=self.endpoint_manager, membership=self.membership
        )
        self.reservations.register(self.peer_server)
        self.endpoint_client = EndpointClient(
            session=engine_session, settings=self.settings.endpoints
        )
        self.engine_reconciler = EngineReconciler(
            endpoint_manager=self.endpoint_manager,
            client=self.endpoint_client,
            fencing_numbers=FencingNumberAllocator(
                store=self.store, member_id=self.member.id
            ),
            model_load_limiter=ModelLoadLimiter(
                settings=self.settings.endpoints,
                session=session,
                count_daemons=lambda: len(self.view.live_ids()),
            ),
            tasks=self.tasks,
        )
        self.instance_list_reader = InstanceListReader(
            store=self.store, endpoint_manager=self.endpoint_manager
        )
        self.membership.heartbeat_fillers += [
            self.endpoint_manager.fill_heartbeat,
            self.reservations.fill_heartbeat,
            self.instance_list_reader.fill_heartbeat,
        ]
        self.membership.heartbeat_listeners += [
            self.endpoint_manager.on_heartbeat,
            self.instance_list_reader.on_heartbeat,
        ]
        handover = Handover(endpoint_manager=self.endpoint_manager)
        self.membership.handover_fillers.append(handover.fill_request)
        self.membership.handover_listeners.append(handover.apply_request)
        self.orphan_collector = OrphanCollector(
            endpoint_manager=self.endpoint_manager,
            reservations=self.reservations,
            client=self.endpoint_client,
        )
        self.orphan_collector.register(self.peer_server)
        self.load_monitor = LoadMonitor(
            settings=self.settings,
            endpoint_manager=self.endpoint_manager,
            reservations=self.reservations,
            orphans=self.orphan_collector,
            session=engine_session,
            tasks=self.tasks,
        )

    def _build_routing(self, seed: int) -> None:
        client = self.endpoint_client
        self.strike_registry = StrikeRegistry(
            retention_s=self.settings.routing.strike_retention_s
        )
        limits = TeamLimits(
            state=self.state,
            view=self.view,
            interval_s=self.settings.members.heartbeat_interval_s,
        )
        self.membership.heartbeat_fillers.append(limits.fill_heartbeat)
        self.membership.heartbeat_listeners.append(limits.on_heartbeat)
        self.endpoint_manager.has_strikes = self.strike_registry.has_strikes
        self.membership.heartbeat_fillers.append(
            self.strike_registry.fill_heartbeat
        )
        self.membership.heartbeat_listeners.append(
            self.strike_registry.on_heartbeat
        )
        placer = Placer(
            endpoint_manager=self.endpoint_manager,
            reservations=self.reservations,
            policy=make_policy(self.settings.routing),
            strikes=self.strike_registry,
            seed=seed,
        )
        self.dispatcher = Dispatcher(
            placer=placer,
            client=client,
            metrics=self.metrics,
            member_id=self.member.id,
            cleanups=self.cleanup_tasks,
            crash_detector=CrashDetector(
                strikes=self.strike_registry,
                client=client,
                membership=self.membership,
            ),
            budget=RetryBudget(settings=self.settings.routing),
            limits=limits,
            groups=GroupRunner(
                group_placer=GroupPlacer(placer=placer),
                client=client,
                metrics=self.metrics,
                member_id=self.member.id,
                cleanups=self.cleanup_tasks,
            ),
        )
        self.claims = ClaimStore(
            store=self.store,
            settings=self.settings.platform,
            clock=self.clock,
            member_id=self.member.id,
            tasks=self.tasks,
            seed=seed,
            has_member_ended=self.view.has_departed,
        )
        self.claim_forwarder = ClaimForwarder(
            claims=self.claims, membership=self.membership
        )
        self.claim_forwarder.register(self.peer_server)
        self.plain_router = PlainRouter(
            placer=placer,
            client=self.plain_client,
            claims=self.claims,
            member_id=self.member.id,
            invariants=self.invariants,
            limits=limits,
        )

    def _build_apps(self) -> None:
        parser = RequestParser(settings=self.settings, state=self.state)
        self.caller_app = CallerApp(
            parser=parser,
            dispatcher=self.dispatcher,
            plain_router=self.plain_router,
            metrics=self.metrics,
            get_admission_refusal=self.get_admission_refusal,
        )
        self.in_flight = InFlightCounter(app=self.caller_app.build())
        status = DaemonStatus(
            member=self.member,
            get_admission_refusal=self.get_admission_refusal,
            state=self.state,
            invariants=self.invariants,
            view=self.view,
            endpoint_manager=self.endpoint_manager,
            in_flight=self.in_flight,
            watcher=self.watcher,
            store=self.store,
        )
        key_file = self.settings.operators.key_file
        self.operator_app = OperatorApp(
            keys=OperatorKeys(text=read_secret(key_file) if key_file else b""),
            tickets=self.tickets,
            endpoint_manager=self.endpoint_manager,
            metrics=self.metrics,
            clock=self.clock,
            get_admission_refusal=self.get_admission_refusal,
            get_status=status.to_json,
            get_in_force=status.get_in_force,
        )
        self.caller_server: HttpServer | None = None
        self.operator_server: HttpServer | None = None

    def get_admission_refusal(self) -> Refusal | None:
        """Returns why new work is refused, or None."""
        if self.stopping:
            return refusal(ResultCode.SHUTTING_DOWN, retry_after_s=1)
        if self.membership.is_isolated():
            return refusal(ResultCode.ISOLATED, retry_after_s=5)
        if not self.state.entries:
            return refusal(ResultCode.NOT_READY, retry_after_s=1)
        return None

    def start(self) -> None:
        """Starts the background tasks."""
        refresh = self.watcher.refresh
        loops = {
            "watcher": self.watcher.run,
            "roster": self.roster_manager.run,
            "membership": self.membership.run,
            "ticket poller": self.ticket_poller.run,
            "store probe": partial(self.isolation_detector.run, refresh),
            "load monitor": self.load_monitor.run,
            "instance list": self.instance_list_reader.run,
            "orders": self.engine_reconciler.run,
        }
        for name, run in loops.items():
            self.tasks.supervise(run, name)


__all__ = ["Daemon"]

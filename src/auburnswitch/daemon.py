"""The daemon: wires the packages together and runs until it is told to stop."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import fire
from expression import Result

from auburnswitch.callers.app import CallerApp
from auburnswitch.callers.in_flight import InFlightCounter
from auburnswitch.callers.parse import RequestParser
from auburnswitch.clock import WallClock
from auburnswitch.endpoints.client import EndpointClient
from auburnswitch.endpoints.fencing import FencingNumbers
from auburnswitch.endpoints.handover import Handover
from auburnswitch.endpoints.instances import InstanceReader
from auburnswitch.endpoints.monitor import LoadMonitor
from auburnswitch.endpoints.orders import OrderKeeper
from auburnswitch.endpoints.orphans import OrphanCollector
from auburnswitch.endpoints.owner import OwnerTable
from auburnswitch.endpoints.reservations import ReservationClient
from auburnswitch.endpoints.weights import LoadAdmission
from auburnswitch.http_server import HttpServer, ListenError, open_http_server
from auburnswitch.members.claim_forwarder import ClaimForwarder
from auburnswitch.members.departures import Departures
from auburnswitch.members.isolation import Isolation
from auburnswitch.members.roster import ROSTER_KEY, RosterKeeper
from auburnswitch.members.server import PeerServer
from auburnswitch.members.service import Membership
from auburnswitch.members.strict import StrictRights
from auburnswitch.members.view import MemberView
from auburnswitch.observe.invariants import Invariant, Invariants
from auburnswitch.observe.logs import configure_logs, log_event
from auburnswitch.observe.metrics import Metrics
from auburnswitch.observe.tasks import TaskSet, open_task_set
from auburnswitch.operators.app import OperatorApp
from auburnswitch.operators.keys import OperatorKeys
from auburnswitch.platform.claims import ClaimStore
from auburnswitch.platform.compaction import TicketPoller
from auburnswitch.platform.state import ConfigState
from auburnswitch.platform.store import ObjectStore
from auburnswitch.platform.tickets import (
    PUBLISHED_PREFIX,
    SNAPSHOT_KEY,
    TicketStore,
)
from auburnswitch.platform.watcher import StoreWatcher
from auburnswitch.results import Refusal, refusal
from auburnswitch.routing.crashes import CrashJudge
from auburnswitch.routing.dispatcher import Dispatcher
from auburnswitch.routing.group_run import GroupRunner
from auburnswitch.routing.groups import GroupPlacer
from auburnswitch.routing.placement import Placer
from auburnswitch.routing.plain import PlainRouter
from auburnswitch.routing.policy import make_policy
from auburnswitch.routing.retry_budget import RetryBudget
from auburnswitch.routing.strikes import StrikeBook
from auburnswitch.routing.team_limits import TeamLimits
from auburnswitch.schema.events import EventId
from auburnswitch.schema.objects import Member
from auburnswitch.schema.results import ResultCode
from auburnswitch.settings.load import load_settings, read_secret

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from auburnswitch.members.connection import Dialer
    from auburnswitch.schema.objects import Ticket
    from auburnswitch.schema.settings import Settings

DRAIN_POLL_S: Final = 0.05
CLAIM_FLUSH_TIMEOUT_S: Final = 5.0
HEADER_MARGIN_BYTES: Final = 65536  # so that the refusal is a numbered one
EXIT_OK: Final = 0
EXIT_BAD_SETTINGS: Final = 2
EXIT_CANNOT_LISTEN: Final = 3
_SEED_BITS: Final = 32


class Daemon:
    """All parts of one daemon.

    Attributes:
        settings: The checked settings.
        member: This incarnation.
        state: The configuration in force.
        view: What is known of the other daemons.
        owner_table: Ledgers of the owned endpoints.
        reservations: Reservations held for callers.
        invariants: Invariants checked so far.
        callers: Listener for callers, once it is open.
        operators: Listener for operators, once it is open.
        stopping: The daemon refuses new work.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        session: aiohttp.ClientSession,
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
        self.metrics.observe_counter("invariant_violations", invariants.observe)
        self.state = ConfigState(invariants=invariants)
        self.member = Member(
            id=f"{settings.daemon.instance}.{secrets.token_hex(4)}",
            instance=settings.daemon.instance,
            zone=settings.daemon.zone,
            host=settings.peers.host,
            port=settings.peers.port,
        )
        self.view = MemberView(me=self.member, settings=settings.members)
        self.store = ObjectStore(
            settings=settings.platform,
            session=session,
            member_count=lambda: max(1, len(self.view.roster.members)),
            seed=seed,
        )
        self.tickets = TicketStore(store=self.store, state=self.state)
        self.watcher = StoreWatcher(store=self.store, seed=seed)
        self.strict_rights = StrictRights(view=self.view)
        self.departures = Departures(view=self.view, store=self.store)
        self.isolation = Isolation(
            view=self.view, read_at=lambda: self.watcher.read_at
        )
        self.roster = RosterKeeper(
            store=self.store,
            view=self.view,
            departures=self.departures,
            synced=self.watcher.synced,
            seed=seed,
        )
        self.watcher.handlers[PUBLISHED_PREFIX] = self.tickets.handle_ticket
        self.watcher.handlers[SNAPSHOT_KEY] = self.tickets.handle_snapshot
        self.poller = TicketPoller(
            store=self.store,
            tickets=self.tickets,
            is_poller=lambda: self.view.live_ids()[:1] == [self.member.id],
        )
        self.watcher.handlers[ROSTER_KEY] = self.roster.handle_object
        self.cleanups = TaskSet()
        self._build_members(dial)
        self._build_endpoints(session)
        self._build_routing(seed)
        self._build_listeners()

    def _build_members(self, dial: Dialer) -> None:
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
            strict_rights=self.strict_rights,
            departures=self.departures,
            isolation=self.isolation,
            state=self.state,
            tasks=self.tasks,
            dial=dial,
        )
        self.membership.register(self.peer_server)

    def _build_endpoints(self, session: aiohttp.ClientSession) -> None:
        self.owner_table = OwnerTable(
            settings=self.settings,
            view=self.view,
            state=self.state,
            invariants=self.invariants,
            rights=self.strict_rights,
        )
        self.reservations = ReservationClient(
            owner_table=self.owner_table, membership=self.membership
        )
        self.reservations.register(self.peer_server)
        self.endpoint_client = EndpointClient(
            session=session, settings=self.settings.endpoints
        )
        self.orders = OrderKeeper(
            owner_table=self.owner_table,
            client=self.endpoint_client,
            numbers=FencingNumbers(store=self.store, member_id=self.member.id),
            admission=LoadAdmission(
                settings=self.settings.endpoints,
                session=session,
                count_daemons=lambda: len(self.view.live_ids()),
            ),
            tasks=self.tasks,
        )
        self.instances = InstanceReader(
            store=self.store, owner_table=self.owner_table
        )
        self.membership.heartbeat_sources += [
            self.owner_table.fill_heartbeat,
            self.reservations.fill_heartbeat,
            self.instances.fill_heartbeat,
        ]
        self.membership.heartbeat_listeners += [
            self.owner_table.note_heartbeat,
            self.instances.note_heartbeat,
        ]
        handover = Handover(owner_table=self.owner_table)
        self.membership.handover_sources.append(handover.fill)
        self.membership.handover_listeners.append(handover.take)
        self.orphans = OrphanCollector(
            owner_table=self.owner_table,
            reservations=self.reservations,
            client=self.endpoint_client,
        )
        self.orphans.register(self.peer_server)
        self.monitor = LoadMonitor(
            settings=self.settings,
            owner_table=self.owner_table,
            reservations=self.reservations,
            orphans=self.orphans,
            session=session,
            tasks=self.tasks,
        )

    def _build_routing(self, seed: int) -> None:
        client = self.endpoint_client
        self.strikes = StrikeBook(
            retention_s=self.settings.routing.strike_retention_s
        )
        limits = TeamLimits(
            state=self.state,
            view=self.view,
            interval_s=self.settings.members.heartbeat_interval_s,
        )
        self.membership.heartbeat_sources.append(limits.fill_heartbeat)
        self.membership.heartbeat_listeners.append(limits.note_heartbeat)
        self.owner_table.is_struck = self.strikes.is_struck
        self.membership.heartbeat_sources.append(self.strikes.fill_heartbeat)
        self.membership.heartbeat_listeners.append(self.strikes.note_heartbeat)
        placer = Placer(
            owner_table=self.owner_table,
            reservations=self.reservations,
            policy=make_policy(self.settings.routing),
            strikes=self.strikes,
            seed=seed,
        )
        self.dispatcher = Dispatcher(
            placer=placer,
            client=client,
            metrics=self.metrics,
            member_id=self.member.id,
            cleanups=self.cleanups,
            crashes=CrashJudge(
                strikes=self.strikes, client=client, membership=self.membership
            ),
            budget=RetryBudget(settings=self.settings.routing),
            limits=limits,
            groups=GroupRunner(
                groups=GroupPlacer(placer=placer),
                client=client,
                metrics=self.metrics,
                member_id=self.member.id,
                cleanups=self.cleanups,
            ),
        )
        self.claims = ClaimStore(
            store=self.store,
            settings=self.settings.platform,
            clock=self.clock,
            member_id=self.member.id,
            tasks=self.tasks,
            seed=seed,
            is_gone=self.view.is_gone,
        )
        self.claim_forwarder = ClaimForwarder(
            claims=self.claims, membership=self.membership
        )
        self.claim_forwarder.register(self.peer_server)
        self.plain = PlainRouter(
            placer=placer,
            client=client,
            claims=self.claims,
            member_id=self.member.id,
            invariants=self.invariants,
            limits=limits,
        )

    def _build_listeners(self) -> None:
        parser = RequestParser(settings=self.settings, state=self.state)
        self.caller_app = CallerApp(
            parser=parser,
            dispatcher=self.dispatcher,
            plain=self.plain,
            metrics=self.metrics,
            refuse_new=self.refuse_new,
        )
        self.in_flight = InFlightCounter(app=self.caller_app.build())
        key_file = self.settings.operators.key_file
        self.operator_app = OperatorApp(
            keys=OperatorKeys(text=read_secret(key_file) if key_file else b""),
            tickets=self.tickets,
            owner_table=self.owner_table,
            metrics=self.metrics,
            clock=self.clock,
            refuse_new=self.refuse_new,
            status=self.status,
            in_force=self.in_force,
        )
        self.callers: HttpServer | None = None
        self.operators: HttpServer | None = None

    def in_force(self, ticket: Ticket) -> tuple[list[str], list[str]]:
        """Returns the daemons in which a ticket is in force, or is not yet.

        A peer counts once it is known to have the same state as this daemon.
        """
        joined = self.state.has_joined(ticket)
        in_force: list[str] = []
        pending: list[str] = []
        for member_id in self.view.live_ids():
            status = self.view.peers.get(member_id)
            same = status is None or status.state_digest == self.state.digest
            (in_force if joined and same else pending).append(member_id)
        return in_force, pending

    def refuse_new(self) -> Refusal | None:
        """Returns why new work is refused, or None."""
        if self.stopping:
            return refusal(ResultCode.SHUTTING_DOWN, retry_after_s=1)
        if self.membership.is_isolated():
            return refusal(ResultCode.ISOLATED, retry_after_s=5)
        if not self.state.entries:
            return refusal(ResultCode.NOT_READY, retry_after_s=1)
        return None

    def status(self) -> dict[str, Any]:
        """Returns the daemon's status."""
        refused = self.refuse_new()
        return {
            "member": self.member.id,
            "instance": self.member.instance,
            "zone": self.member.zone,
            "ready": refused is None,
            "reason": "" if refused is None else refused.code.name.lower(),
            "state_digest": self.state.digest,
            "left_out_endpoints": self.state.dangling,
            "roster_epoch": self.view.roster.epoch,
            "strict_rights": self.view.has_quorum(),
            "roster": self.view.roster_ids(),
            "live": self.view.live_ids(),
            "owned_endpoints": self.owner_table.owned(),
            "in_flight": self.in_flight.count,
            "store_available": self.watcher.available,
            "store_calls": self.store.calls,
            "violations": {
                invariant.name.lower(): count
                for invariant, count in self.invariants.violations.items()
            },
        }

    def start(self) -> None:
        """Starts the background tasks."""
        self.tasks.start(self.watcher.run(), "watcher")
        self.tasks.start(self.roster.run(), "roster")
        self.tasks.start(self.membership.run(), "membership")
        self.tasks.start(self.poller.run(), "ticket poller")
        refresh = self.watcher.refresh
        self.tasks.start(self.isolation.run(refresh), "store probe")
        self.tasks.start(self.monitor.run(), "load monitor")
        self.tasks.start(self.instances.run(), "instance list")
        self.tasks.start(self.orders.run(), "orders")

    async def drain(self) -> None:
        """Refuses new work, finishes what runs and leaves the roster."""
        self.stopping = True
        log_event(EventId.DAEMON_STOPPING, member=self.member.id)
        await self.in_flight.idle.wait()
        while self.cleanups.tasks:
            await asyncio.sleep(DRAIN_POLL_S)
        held = len(self.reservations.held)
        self.invariants.check(not held, Invariant.GRACEFUL_STOP, held=held)
        self.view.leaving = True
        await self.membership.hand_over()
        await asyncio.sleep(self.settings.members.heartbeat_interval_s)
        await self.roster.leave()


@contextlib.asynccontextmanager
async def open_daemon(
    settings: Settings,
    *,
    connector: Callable[[], aiohttp.BaseConnector] | None = None,
    strict_invariants: bool = False,
    dial: Dialer = asyncio.open_connection,
) -> AsyncIterator[Daemon]:
    """Runs a daemon until the context ends; the end is not graceful.

    Args:
        settings: Checked settings.
        connector: Makes the connector of outgoing HTTP connections.
        strict_invariants: Raise when an invariant does not hold.
        dial: Opens the connections to peers.

    Yields:
        The running daemon; call its ``drain`` for a graceful stop.

    Raises:
        ListenError: A listener's address cannot be bound.
    """
    session = aiohttp.ClientSession(
        connector=connector() if connector else aiohttp.TCPConnector(limit=0),
    )
    async with session, open_task_set() as tasks:
        daemon = Daemon(
            settings=settings,
            session=session,
            tasks=tasks,
            invariants=Invariants(strict=strict_invariants),
            dial=dial,
        )
        async with (
            daemon.peer_server.open(),
            open_http_server(
                daemon.operator_app.build(),
                host=settings.operators.host,
                port=settings.operators.port,
            ) as daemon.operators,
            open_http_server(
                daemon.in_flight,
                host=settings.callers.host,
                port=settings.callers.port,
                max_header_bytes=(
                    settings.callers.max_header_bytes + HEADER_MARGIN_BYTES
                ),
            ) as daemon.callers,
        ):
            daemon.member.port = daemon.peer_server.port
            daemon.start()
            log_event(
                EventId.DAEMON_STARTED,
                member=daemon.member.id,
                callers=daemon.callers.url,
                operators=daemon.operators.url,
                peers=f"{daemon.member.host}:{daemon.member.port}",
            )
            try:
                yield daemon
            finally:
                await daemon.cleanups.cancel()
                daemon.metrics.close()


async def serve(settings: Settings) -> int:
    """Runs a daemon until SIGTERM or SIGINT, then stops it gracefully."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        async with open_daemon(settings) as daemon:
            await stop.wait()
            await daemon.drain()
    except ListenError as error:
        print(f"auburnswitchd: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    log_event(EventId.DAEMON_STOPPED)
    return EXIT_OK


def main(settings_file: str) -> int:
    """Runs the daemon with a settings file and returns its exit code."""
    match load_settings(Path(settings_file)):
        case Result(tag="ok", ok=settings):
            configure_logs(settings.log.level)
            return asyncio.run(serve(settings))
        case Result(error=problems):
            for problem in problems:
                print(f"auburnswitchd: {problem}", file=sys.stderr)
    return EXIT_BAD_SETTINGS


def run() -> None:
    """Entry point of ``auburnswitchd SETTINGS_FILE``."""
    sys.exit(fire.Fire(main, serialize=lambda _: None))


if __name__ == "__main__":
    run()


__all__ = ["Daemon", "main", "open_daemon", "run", "serve"]

"""Applies actions to a fleet in virtual time and checks its history."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments import actions
from auburnswitch.experiments.checker import (
    ConfigSample,
    DaemonOutage,
    RunHistory,
    UnschedulablePeriod,
    Violation,
    check_run,
)
from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    PLAIN_SERVICE,
    Fleet,
    FleetOptions,
    open_fleet,
)
from auburnswitch.experiments.recording_caller import RecordingCaller
from auburnswitch.schema.objects import Change, ObjectKind, Service, ServiceKind
from auburnswitch.standins.answers import BYTES_PER_TOKEN
from auburnswitch.standins.engine_options import EngineOptions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    import aiohttp

    from auburnswitch.daemon import Daemon

SETTLE_S: Final = 60.0
SAMPLE_INTERVAL_S: Final = 1.0
PLAIN_DEADLINE_S: Final = 30.0
APPLY_RETRY_INTERVAL_S: Final = 1.0
APPLY_MAX_ATTEMPTS: Final = 90
DAEMON_BASE_PORT: Final = 30_000
COLD_DELAY_S: Final = 1.0


class ChaosRun:
    """Applies randomised actions to a fleet and records its history.

    Attributes:
        fleet: The fleet.
        run_history: The recorded history, as input of the checker.
        caller: Sends calls and records their outcomes.
        tasks: Running calls and faults.
        down_daemons: Numbers of the daemons that are killed or restarting.
        frozen_daemons: Numbers of the frozen daemons.
        moving_zones: Zones that an action has taken out of service and not
            returned yet.
    """

    __slots__ = (
        "caller",
        "down_daemons",
        "fleet",
        "frozen_daemons",
        "moving_zones",
        "run_history",
        "tasks",
    )

    def __init__(self, *, fleet: Fleet) -> None:
        self.fleet = fleet
        self.caller = RecordingCaller(
            session=fleet.session, caller_key=CALLER_KEY
        )
        self.run_history = RunHistory(
            history=fleet.history, calls=self.caller.records
        )
        self.tasks: set[asyncio.Task[Any]] = set()
        self.down_daemons: set[int] = set()
        self.frozen_daemons: set[int] = set()
        self.moving_zones: set[str] = set()

    async def apply(self, action: actions.Action) -> None:
        """Applies one action; skips it if the fleet's state rules it out."""
        match action:
            case actions.Wait(seconds=seconds):
                await asyncio.sleep(seconds)
            case actions.Complete():
                self._start_completion(action)
            case actions.Book():
                self._start_booking(action)
            case actions.KillDaemon() | actions.FreezeDaemon():
                self._inject_daemon_fault(action)
            case actions.ReplaceDaemon(daemon=number):
                self._replace_daemon(number)
            case actions.MoveZone():
                self._start_task(self._move_zone(action))
            case actions.RaceTickets(first=first, second=second):
                self._start_task(self._race_tickets(first, second))
            case _:
                self._inject_external_fault(action)

    async def settle(self) -> list[Violation]:
        """Waits until all faults have ended, then returns all violations."""
        while self.tasks:
            await asyncio.wait(self.tasks)
        await asyncio.sleep(SETTLE_S)
        await self.fleet.wait_until_converged()
        self.sample()
        return check_run(self.run_history)

    def sample(self) -> None:
        """Records the configuration that each daemon has in force."""
        for daemon in self.fleet.daemons.values():
            ticket_numbers = {
                f"{kind.name}/{name}": entry.number
                for (kind, name), entry in daemon.state.entries.items()
            }
            self.run_history.samples.append(
                ConfigSample(
                    member_id=daemon.member.id, ticket_numbers=ticket_numbers
                )
            )

    async def sample_periodically(self) -> None:
        """Samples the configuration every `SAMPLE_INTERVAL_S` seconds."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise task.exception() or AssertionError

    def _find_daemon(self, number: int) -> Daemon | None:
        return self.fleet.daemons.get(f"entry-{number}")

    def _start_completion(self, action: actions.Complete) -> None:
        daemon = self._find_daemon(action.daemon)
        if daemon is None:
            return
        crash_marker = "crash-the-engine " if action.crashing else ""
        prompt_prefix = f"{len(self.caller.records):08d} {crash_marker}"
        prompt_bytes = action.prompt_tokens * BYTES_PER_TOKEN
        self._start_task(
            self.caller.complete(
                self.fleet.caller_url(f"entry-{action.daemon}"),
                f"entry-{action.daemon}",
                model=MODEL,
                prompt=prompt_prefix
                + "x" * max(0, prompt_bytes - len(prompt_prefix)),
                tokens=action.answer_tokens,
                deadline_s=action.deadline_s,
            )
        )

    def _start_booking(self, action: actions.Book) -> None:
        if self._find_daemon(action.daemon) is None:
            return
        url = self.fleet.caller_url(f"entry-{action.daemon}")
        self._start_task(
            self.caller.call_plain(
                f"{url}/services/{PLAIN_SERVICE}",
                f"entry-{action.daemon}",
                method="POST",
                path="/bookings",
                body={"slot": f"slot-{action.key}"},
                key=f"key-{action.key}",
                deadline_s=PLAIN_DEADLINE_S,
            )
        )

    def _inject_daemon_fault(
        self, action: actions.KillDaemon | actions.FreezeDaemon
    ) -> None:
        number = action.daemon
        unavailable = self.down_daemons | self.frozen_daemons
        if self._find_daemon(number) is None or number in unavailable:
            return
        outage = DaemonOutage(
            daemon=f"entry-{number}",
            began_at=monotonic_s(),
            killed=isinstance(action, actions.KillDaemon),
        )
        self.run_history.daemon_outages.append(outage)
        match action:
            case actions.KillDaemon(down_s=down_s):
                self.down_daemons.add(number)
                self.fleet.kill_daemon(number)
                self._start_task(self._restart_after(number, down_s, outage))
            case actions.FreezeDaemon(seconds=seconds):
                self.frozen_daemons.add(number)
                self.fleet.freeze_daemon(number)
                self._start_task(self._thaw_after(number, seconds, outage))

    async def _restart_after(
        self, number: int, seconds: float, outage: DaemonOutage
    ) -> None:
        await asyncio.sleep(seconds)
        await self.fleet.start_daemon(number)
        outage.recovered_at = monotonic_s()
        self.down_daemons.discard(number)

    async def _thaw_after(
        self, number: int, seconds: float, outage: DaemonOutage
    ) -> None:
        await asyncio.sleep(seconds)
        self.fleet.thaw_daemon(number)
        outage.recovered_at = monotonic_s()
        self.frozen_daemons.discard(number)

    def _replace_daemon(self, number: int) -> None:
        unavailable = self.down_daemons | self.frozen_daemons
        if self._find_daemon(number) is None or number in unavailable:
            return
        self.down_daemons.add(number)
        self._start_task(self._restart_gracefully(number))

    async def _restart_gracefully(self, number: int) -> None:
        await self.fleet.stop_daemon(number)
        await self.fleet.start_daemon(number)
        self.down_daemons.discard(number)

    def _inject_external_fault(self, action: actions.Action) -> None:
        engines = list(self.fleet.engines.values())
        platform = self.fleet.platform
        match action:
            case actions.CrashEngine(engine=number):
                engines[number].crash()
            case actions.ColdEngine(engine=number):
                if not engines[number].cold:  # only a warm engine can turn cold
                    engines[number].turn_cold()
            case actions.FreezeEngine(engine=number, seconds=seconds):
                engines[number].freeze(seconds)
            case actions.DropConnections(engine=number):
                engines[number].drop_connections()
            case actions.LoseAnswers(count=count):
                platform.lose_answers += count
            case actions.PlatformOutage(seconds=seconds):
                platform.outage = True
                self._start_task(self._call_after(seconds, self._end_outage))
            case actions.SlowPlatform(delay_s=delay_s, seconds=seconds):
                platform.delay_s = delay_s
                self._start_task(self._call_after(seconds, self._end_delay))

    async def _call_after(
        self, seconds: float, callback: Callable[[], None]
    ) -> None:
        await asyncio.sleep(seconds)
        callback()

    def _end_outage(self) -> None:
        self.fleet.platform.outage = False

    def _end_delay(self) -> None:
        self.fleet.platform.delay_s = 0.0

    async def _move_zone(self, action: actions.MoveZone) -> None:
        zone = self.fleet.options.zones[action.zone]
        if zone in self.moving_zones:
            return
        self.moving_zones.add(zone)
        taken_out_at = await self._apply_change(
            self.fleet.zone_change(zone, out=True), action.daemon
        )
        if taken_out_at is not None:
            await self._return_zone(action, zone, taken_out_at)
        self.moving_zones.discard(zone)

    async def _return_zone(
        self, action: actions.MoveZone, zone: str, taken_out_at: float
    ) -> None:
        periods = [
            UnschedulablePeriod(endpoint=name, accepted_at=taken_out_at)
            for name in self._endpoints_in_zone(zone)
        ]
        self.run_history.unschedulable_periods += periods
        await asyncio.sleep(action.out_s)
        for period in periods:  # the ticket may take effect at once
            period.schedulable_at = monotonic_s()
        await self._apply_change(
            self.fleet.zone_change(zone),
            action.daemon,
            max_attempts=APPLY_MAX_ATTEMPTS,
        )

    def _endpoints_in_zone(self, zone: str) -> list[str]:
        names = [*self.fleet.engines, *self.fleet.plain]
        return [
            name
            for number, name in enumerate(names)
            if self.fleet.zone(number) == zone
        ]

    async def _race_tickets(self, first: int, second: int) -> None:
        changes = [
            Change(
                kind=ObjectKind.SERVICE,
                name=MODEL,
                service=Service(kind=ServiceKind.MODEL, max_attempts=attempts),
            )
            for attempts in (3, 4)
        ]
        await asyncio.gather(
            self._apply_change(changes[0], first),
            self._apply_change(changes[1], second),
        )

    async def _apply_change(
        self, change: Change, daemon: int, max_attempts: int = 1
    ) -> float | None:
        """Applies a ticket with a bounded number of attempts.

        Returns:
            Loop time of the acceptance, in seconds; None if no attempt
            succeeded.
        """
        ticket = self.fleet.ticket([change])
        for _ in range(max_attempts):
            names = [f"entry-{daemon}", *self.fleet.daemons]
            running = [name for name in names if name in self.fleet.daemons]
            with contextlib.suppress(Exception):  # e.g. no daemon is running
                await self.fleet.apply(ticket, running[0])
                return monotonic_s()
            await asyncio.sleep(APPLY_RETRY_INTERVAL_S)
        return None


@contextlib.asynccontextmanager
async def open_chaos_run(
    *,
    connector: Callable[[], aiohttp.BaseConnector],
    options: FleetOptions | None = None,
) -> AsyncIterator[ChaosRun]:
    """Starts a fleet for a randomised run; requires a `FreezableLoop`."""
    options = options or FleetOptions(
        engines=actions.ENGINE_COUNT,
        daemons=actions.DAEMON_COUNT,
        plain_services=2,
        connector=connector,
        base_port=DAEMON_BASE_PORT,
        engine=EngineOptions(cold_delay_s=COLD_DELAY_S),
    )
    async with open_fleet(options) as fleet:
        chaos = ChaosRun(fleet=fleet)
        sampler = asyncio.create_task(chaos.sample_periodically())
        try:
            yield chaos
        finally:
            sampler.cancel()


__all__ = ["ChaosRun", "open_chaos_run"]

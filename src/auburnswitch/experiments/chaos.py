"""Applies actions to a fleet in virtual time and checks what came of them."""

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
    """A fleet under randomised actions.

    Attributes:
        fleet: The fleet.
        run_history: What is known for the checker.
        caller: Sends calls and records them.
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
        """Applies one action; one that makes no sense now does nothing."""
        match action:
            case actions.Wait(seconds=seconds):
                await asyncio.sleep(seconds)
            case actions.Complete():
                self._complete(action)
            case actions.Book():
                self._book(action)
            case actions.KillDaemon() | actions.FreezeDaemon():
                self._disturb_daemon(action)
            case actions.ReplaceDaemon(daemon=number):
                self._replace(number)
            case actions.MoveZone():
                self._start(self._move_zone(action))
            case actions.RaceTickets(first=first, second=second):
                self._start(self._race(first, second))
            case _:
                self._disturb_outside(action)

    async def settle(self) -> list[Violation]:
        """Ends all faults, waits for rest and returns the violations."""
        while self.tasks:
            await asyncio.wait(self.tasks)
        await asyncio.sleep(SETTLE_S)
        await self.fleet.wait_until_converged()
        self.sample()
        return check_run(self.run_history)

    def sample(self) -> None:
        """Notes the configuration that each daemon has in force."""
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
        """Samples once a second."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise task.exception() or AssertionError

    def _daemon(self, number: int) -> Daemon | None:
        return self.fleet.daemons.get(f"entry-{number}")

    def _complete(self, action: actions.Complete) -> None:
        daemon = self._daemon(action.daemon)
        if daemon is None:
            return
        marker = "crash-the-engine " if action.crashing else ""
        first = f"{len(self.caller.records):08d} {marker}"
        size = action.prompt_tokens * BYTES_PER_TOKEN
        self._start(
            self.caller.complete(
                self.fleet.caller_url(f"entry-{action.daemon}"),
                f"entry-{action.daemon}",
                model=MODEL,
                prompt=first + "x" * max(0, size - len(first)),
                tokens=action.answer_tokens,
                deadline_s=action.deadline_s,
            )
        )

    def _book(self, action: actions.Book) -> None:
        if self._daemon(action.daemon) is None:
            return
        url = self.fleet.caller_url(f"entry-{action.daemon}")
        self._start(
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

    def _disturb_daemon(
        self, action: actions.KillDaemon | actions.FreezeDaemon
    ) -> None:
        number = action.daemon
        busy = self.down_daemons | self.frozen_daemons
        if self._daemon(number) is None or number in busy:
            return
        loss = DaemonOutage(
            daemon=f"entry-{number}",
            began_at=monotonic_s(),
            killed=isinstance(action, actions.KillDaemon),
        )
        self.run_history.daemon_outages.append(loss)
        match action:
            case actions.KillDaemon(down_s=down_s):
                self.down_daemons.add(number)
                self.fleet.kill_daemon(number)
                self._start(self._start_later(number, down_s, loss))
            case actions.FreezeDaemon(seconds=seconds):
                self.frozen_daemons.add(number)
                self.fleet.freeze_daemon(number)
                self._start(self._thaw_later(number, seconds, loss))

    async def _start_later(
        self, number: int, seconds: float, loss: DaemonOutage
    ) -> None:
        await asyncio.sleep(seconds)
        await self.fleet.start_daemon(number)
        loss.recovered_at = monotonic_s()
        self.down_daemons.discard(number)

    async def _thaw_later(
        self, number: int, seconds: float, loss: DaemonOutage
    ) -> None:
        await asyncio.sleep(seconds)
        self.fleet.thaw_daemon(number)
        loss.recovered_at = monotonic_s()
        self.frozen_daemons.discard(number)

    def _replace(self, number: int) -> None:
        busy = self.down_daemons | self.frozen_daemons
        if self._daemon(number) is None or number in busy:
            return
        self.down_daemons.add(number)
        self._start(self._replace_now(number))

    async def _replace_now(self, number: int) -> None:
        await self.fleet.stop_daemon(number)
        await self.fleet.start_daemon(number)
        self.down_daemons.discard(number)

    def _disturb_outside(self, action: actions.Action) -> None:
        engines = list(self.fleet.engines.values())
        platform = self.fleet.platform
        match action:
            case actions.CrashEngine(engine=number):
                engines[number].crash()
            case actions.ColdEngine(engine=number):
                if not engines[number].cold:  # only what was warm turns cold
                    engines[number].turn_cold()
            case actions.FreezeEngine(engine=number, seconds=seconds):
                engines[number].freeze(seconds)
            case actions.DropConnections(engine=number):
                engines[number].drop_connections()
            case actions.LoseAnswers(count=count):
                platform.lose_answers += count
            case actions.PlatformOutage(seconds=seconds):
                platform.outage = True
                self._start(self._later(seconds, self._end_outage))
            case actions.SlowPlatform(delay_s=delay_s, seconds=seconds):
                platform.delay_s = delay_s
                self._start(self._later(seconds, self._end_delay))

    async def _later(self, seconds: float, act: Callable[[], None]) -> None:
        await asyncio.sleep(seconds)
        act()

    def _end_outage(self) -> None:
        self.fleet.platform.outage = False

    def _end_delay(self) -> None:
        self.fleet.platform.delay_s = 0.0

    async def _move_zone(self, action: actions.MoveZone) -> None:
        zone = self.fleet.options.zones[action.zone]
        if zone in self.moving_zones:
            return
        self.moving_zones.add(zone)
        taken_out = await self._apply_change(
            self.fleet.zone_change(zone, out=True), action.daemon
        )
        if taken_out is not None:
            await self._bring_back(action, zone, taken_out)
        self.moving_zones.discard(zone)

    async def _bring_back(
        self, action: actions.MoveZone, zone: str, taken_out: float
    ) -> None:
        periods = [
            UnschedulablePeriod(endpoint=name, accepted_at=taken_out)
            for name in self._endpoints_in(zone)
        ]
        self.run_history.unschedulable_periods += periods
        await asyncio.sleep(action.out_s)
        for closing in periods:  # the ticket back may be in force at once
            closing.schedulable_at = monotonic_s()
        await self._apply_change(
            self.fleet.zone_change(zone),
            action.daemon,
            tries=APPLY_MAX_ATTEMPTS,
        )

    def _endpoints_in(self, zone: str) -> list[str]:
        names = [*self.fleet.engines, *self.fleet.plain]
        return [
            name
            for number, name in enumerate(names)
            if self.fleet.zone(number) == zone
        ]

    async def _race(self, first: int, second: int) -> None:
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
        self, change: Change, daemon: int, tries: int = 1
    ) -> float | None:
        """Applies a ticket; returns when it was accepted, None if it wasn't."""
        ticket = self.fleet.ticket([change])
        for _ in range(tries):
            names = [f"entry-{daemon}", *self.fleet.daemons]
            up = [name for name in names if name in self.fleet.daemons]
            with contextlib.suppress(Exception):  # none may be up
                await self.fleet.apply(ticket, up[0])
                return monotonic_s()
            await asyncio.sleep(APPLY_RETRY_INTERVAL_S)
        return None


@contextlib.asynccontextmanager
async def open_chaos_run(
    *,
    connector: Callable[[], aiohttp.BaseConnector],
    options: FleetOptions | None = None,
) -> AsyncIterator[ChaosRun]:
    """Starts a fleet for a randomised run; needs a `FreezableLoop`."""
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

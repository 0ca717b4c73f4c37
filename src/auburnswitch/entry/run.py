"""Runs an entry daemon until it receives a stop signal."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

from expression import Result

from auburnswitch.clock import monotonic_s
from auburnswitch.entry.entry_daemon import EntryDaemon
from auburnswitch.entry.monitoring_apps import MetricsApp, ReadinessApp
from auburnswitch.entry.signals import reload_on_signal, stop_on_signal
from auburnswitch.http_server import ListenError, open_http_server
from auburnswitch.observe.logs import log_event
from auburnswitch.observe.nonblocking_logs import configure_nonblocking_logs
from auburnswitch.observe.tasks import TaskSet, open_task_set
from auburnswitch.schema.events import EventId
from auburnswitch.settings.loader import load_entry_settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.types import ASGIApp

    from auburnswitch.http_server import HttpServer
    from auburnswitch.schema.entry import EntrySettings

DRAIN_POLL_INTERVAL_S: Final = 0.05
CUT_OFF_WAIT_S: Final = 0.2
CUT_OFF_POLL_INTERVAL_S: Final = 0.01
CALLERS_CLOSE_TIMEOUT_S: Final = 0.2
EXIT_OK: Final = 0
EXIT_BAD_SETTINGS: Final = 2
EXIT_CANNOT_LISTEN: Final = 3


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


@contextlib.asynccontextmanager
async def open_entry_daemon(
    settings: EntrySettings,
) -> AsyncIterator[EntryDaemon]:
    """Runs an entry daemon until the context ends.

    Raises:
        ListenError: A listener's address cannot be bound.
    """
    tasks = TaskSet()
    daemon = EntryDaemon(
        settings=settings,
        tasks=tasks,
        rng=random.Random(),
    )
    listen = settings.listen
    async with (
        _open_metrics_server(daemon),
        daemon.gossip.open(),
        daemon.state_exchange.open(listen.peer_host, listen.peer_port),
        _open_listener(
            "readiness",
            ReadinessApp(is_ready=lambda: daemon.ready),
            listen.readiness,
        ),
        open_task_set(tasks),  # the tasks end before what they use closes
        _open_listener(
            "callers",
            daemon.app,
            listen.callers,
            close_timeout_s=CALLERS_CLOSE_TIMEOUT_S,
        ),
    ):
        daemon.start()
        log_event(
            EventId.ENTRY_STARTED,
            instance=settings.instance.name,
            zone=settings.instance.zone,
            callers=listen.callers,
        )
        yield daemon


@contextlib.asynccontextmanager
async def _open_metrics_server(daemon: EntryDaemon) -> AsyncIterator[None]:
    address = daemon.settings.listen.metrics
    if not address:
        yield
        return
    async with _open_listener("metrics", MetricsApp(daemon=daemon), address):
        yield


@contextlib.asynccontextmanager
async def _open_listener(
    name: str, app: ASGIApp, address: str, *, close_timeout_s: float = 0.0
) -> AsyncIterator[HttpServer]:
    """Serves an application and logs when its listener has closed."""
    host, port = _split_address(address)
    async with open_http_server(
        app, host=host, port=port, close_timeout_s=close_timeout_s
    ) as server:
        yield server
    log_event(EventId.ENTRY_LISTENER_CLOSED, listener=name)


async def drain(daemon: EntryDaemon) -> None:
    """Keeps serving until no request is in flight or the stop must end."""
    stopping_at = monotonic_s()
    daemon.begin_drain()
    log_event(
        EventId.ENTRY_STOPPING,
        in_flight=daemon.app.in_flight,
        grace_s=daemon.settings.bounds.stop_grace_s,
    )
    stop = daemon.stop
    await asyncio.sleep(stop.deregistered_at - stopping_at)
    while daemon.app.in_flight and monotonic_s() < stop.ends_at:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    for open_request in daemon.app.open_requests:
        open_request.log_unfinished(stopping_at, monotonic_s())
    log_event(
        EventId.ENTRY_DRAINED,
        in_flight=daemon.app.in_flight,
        after_s=round(monotonic_s() - stopping_at, 3),
    )
    daemon.end_drain()
    with contextlib.suppress(TimeoutError):  # the rest ends with the process
        async with asyncio.timeout(CUT_OFF_WAIT_S):
            while not daemon.idle:
                await asyncio.sleep(CUT_OFF_POLL_INTERVAL_S)


async def serve(settings: EntrySettings, path: Path) -> int:
    """Runs a daemon until SIGTERM or SIGINT; SIGHUP reloads its settings."""
    with stop_on_signal() as stop:
        try:
            async with open_entry_daemon(settings) as daemon:
                _resume_garbage_collection()
                with reload_on_signal(lambda: reload_settings(daemon, path)):
                    await stop.wait()
                await drain(daemon)
        except ListenError as error:
            print(f"auburnswitch entry: {error}", file=sys.stderr)
            return EXIT_CANNOT_LISTEN
    log_event(EventId.ENTRY_STOPPED)
    return EXIT_OK


def _resume_garbage_collection() -> None:
    """Ends the pause during the start; what exists now is never collected."""
    gc.freeze()
    gc.enable()


def reload_settings(daemon: EntryDaemon, path: Path) -> None:
    """Applies the bounds from the settings file if the file is valid."""
    match load_entry_settings(path):
        case Result(tag="ok", ok=settings):
            for name in settings.bounds.descriptions:
                value = getattr(settings.bounds, name)
                setattr(daemon.settings.bounds, name, value)
            log_event(EventId.SETTINGS_RELOADED)
        case Result(error=problems):
            log_event(
                EventId.SETTINGS_REJECTED,
                problems=[str(problem) for problem in problems],
            )


def main(settings_file: str) -> int:
    """Runs the daemon with a settings file and returns its exit code."""
    path = Path(settings_file)
    match load_entry_settings(path):
        case Result(tag="ok", ok=settings):
            configure_nonblocking_logs(
                settings.log.level, settings.log.max_lines_per_s
            )
            return asyncio.run(serve(settings, path))
        case Result(error=problems):
            for problem in problems:
                print(f"auburnswitch entry: {problem}", file=sys.stderr)
    return EXIT_BAD_SETTINGS


def run() -> None:
    """Runs the daemon with the settings file named on the command line."""
    if len(sys.argv) != 2:
        print("usage: auburnswitch-entry SETTINGS_FILE", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    sys.exit(main(sys.argv[1]))


__all__ = ["drain", "main", "open_entry_daemon", "run", "serve"]

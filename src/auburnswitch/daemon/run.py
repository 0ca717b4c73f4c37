"""Runs a daemon until it receives a stop signal."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

import aiohttp
import fire
from expression import Result

from auburnswitch.daemon.daemon import Daemon
from auburnswitch.daemon.stop import CUT_OFF_WAIT_S, drain
from auburnswitch.http_client import open_client_session
from auburnswitch.http_server import ListenError, open_http_server
from auburnswitch.observe.invariants import Invariants
from auburnswitch.observe.logs import configure_logs, log_event
from auburnswitch.observe.tasks import open_task_set
from auburnswitch.schema.events import EventId
from auburnswitch.settings.loader import load_settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from auburnswitch.members.peer_connection import Dialer
    from auburnswitch.schema.settings import Settings

# Lets the app refuse headers above its limit with its own result code.
HEADER_MARGIN_BYTES: Final = 65536
EXIT_OK: Final = 0
EXIT_BAD_SETTINGS: Final = 2
EXIT_CANNOT_LISTEN: Final = 3


@contextlib.asynccontextmanager
async def open_daemon(
    settings: Settings,
    *,
    connector: Callable[..., aiohttp.BaseConnector] | None = None,
    strict_invariants: bool = False,
    dial: Dialer = asyncio.open_connection,
) -> AsyncIterator[Daemon]:
    """Runs a daemon until the context ends, without a graceful stop.

    Args:
        settings: Validated settings.
        connector: Creates the connector of outgoing HTTP connections from its
            options; None for the default one.
        strict_invariants: Whether an invariant violation raises an error.
        dial: Opens the connections to peers.

    Yields:
        The running daemon; call ``drain`` for a graceful stop.

    Raises:
        ListenError: A listener's address cannot be bound.
    """
    has_grace_time = settings.daemon.stop_grace_s > 0
    close_timeout_s = CUT_OFF_WAIT_S if has_grace_time else None
    connector = connector or aiohttp.TCPConnector
    async with (
        open_client_session(connector, reuse_connections=False) as session,
        open_client_session(
            connector, reuse_connections=True
        ) as engine_session,
        open_task_set() as tasks,
    ):
        daemon = Daemon(
            settings=settings,
            session=session,
            engine_session=engine_session,
            tasks=tasks,
            invariants=Invariants(strict=strict_invariants),
            dial=dial,
        )
        with contextlib.closing(daemon.metrics):
            async with (
                daemon.peer_server.open(),
                open_task_set(daemon.cleanup_tasks),  # requests start clean-ups
                open_http_server(
                    daemon.operator_app.build(),
                    host=settings.operators.host,
                    port=settings.operators.port,
                    close_timeout_s=close_timeout_s,
                ) as daemon.operator_server,
                open_http_server(
                    daemon.in_flight,
                    host=settings.callers.host,
                    port=settings.callers.port,
                    close_timeout_s=close_timeout_s,
                    max_header_bytes=(
                        settings.callers.max_header_bytes + HEADER_MARGIN_BYTES
                    ),
                ) as daemon.caller_server,
            ):
                daemon.member.port = daemon.peer_server.port
                daemon.start()
                log_event(
                    EventId.DAEMON_STARTED,
                    member=daemon.member.id,
                    callers=daemon.caller_server.url,
                    operators=daemon.operator_server.url,
                    peers=f"{daemon.member.host}:{daemon.member.port}",
                )
                yield daemon


async def serve(settings: Settings) -> int:
    """Runs a daemon until SIGTERM or SIGINT, then stops it gracefully."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    try:
        async with open_daemon(settings) as daemon:
            await stop.wait()
            await drain(daemon)
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
    """Runs the daemon with the settings file named on the command line."""
    sys.exit(fire.Fire(main, serialize=lambda _: None))


__all__ = ["main", "open_daemon", "run", "serve"]

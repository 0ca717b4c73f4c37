"""Simulates a plain HTTP service that stores bookings."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.standins.control import set_switches
from auburnswitch.standins.history import History, HistoryKind
from auburnswitch.standins.lagged_value import LaggedValue
from auburnswitch.standins.listener import Listener, Pause, open_listener
from auburnswitch.standins.plain_api import plain_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

DEFAULT_SERVICE_TIME_S: Final = 0.05
DEFAULT_RESTART_S: Final = 2.0
DEFAULT_LOAD_LAG_S: Final = 0.5
SWITCHES: Final = frozenset(
    {
        "fail_next",
        "leaving",
        "lose_answers",
        "restart_s",
        "restart_silent",
        "service_time_s",
    }
)


class PlainServiceStandIn:
    """A booking service that executes every request it receives.

    The service does not deduplicate by idempotency key, so that a second
    execution shows in the history and in the bookings.

    Attributes:
        name: Actor name in the history.
        history: Receives a record of each execution.
        booking_count: Number of bookings ever created.
        bookings: Details of bookings by id; they survive a crash.
        service_time_s: Execution time of each request.
        fail_next: Number of next requests that are answered 500 after their
            execution.
        lose_answers: Number of next requests whose connection is aborted after
            their execution, before the response.
        restart_s: Downtime after a crash.
        restart_silent: Whether connections are accepted without a response
            during the downtime, instead of being refused.
        pause: Suspends the service while active.
        incarnation: Part of boot ids that distinguishes processes.
        boot_id: Changes with every start.
        running: Number of requests in progress.
        load: Load reports, which readers get with a lag.
    """

    __slots__ = (
        "_boot_count",
        "_leaving",
        "_listener",
        "booking_count",
        "bookings",
        "boot_id",
        "fail_next",
        "history",
        "incarnation",
        "load",
        "lose_answers",
        "name",
        "pause",
        "restart_s",
        "restart_silent",
        "running",
        "service_time_s",
    )

    def __init__(
        self,
        *,
        name: str = "plain",
        history: History | None = None,
        service_time_s: float = DEFAULT_SERVICE_TIME_S,
        restart_s: float = DEFAULT_RESTART_S,
        load_lag_s: float = DEFAULT_LOAD_LAG_S,
        incarnation: str = "",
    ) -> None:
        self.name = name
        self.history = history if history is not None else History()
        self.incarnation = incarnation
        self.bookings: dict[str, Any] = {}
        self.booking_count = 0
        self.service_time_s = service_time_s
        self.fail_next = 0
        self.lose_answers = 0
        self.restart_s = restart_s
        self.restart_silent = False
        self.pause = Pause()
        self.running = 0
        self._leaving = False
        self._boot_count = 0
        self._listener: Listener | None = None
        self.load: LaggedValue[dict[str, Any]] = LaggedValue(lag_s=load_lag_s)
        self._boot()

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return self.listener.url

    @property
    def listener(self) -> Listener:
        """The listener, once it has opened."""
        assert self._listener is not None
        return self._listener

    @property
    def leaving(self) -> bool:
        """Whether the service reports that it is leaving."""
        return self._leaving

    @leaving.setter
    def leaving(self, value: bool) -> None:
        self._leaving = value
        self.record_load()

    def freeze(self, seconds: float) -> None:
        """Suspends the service for some seconds; connections stay open."""
        self.pause.extend(seconds)

    def drop_connections(self) -> None:
        """Aborts all connections and cancels their requests."""
        if self._listener is not None:
            self._listener.abort_connections()

    def crash(self) -> None:
        """Loses connections and running requests, and restarts after a delay.

        The delay is `restart_s`.
        """
        self.history.add(self.name, HistoryKind.CRASHED, boot_id=self.boot_id)
        if self._listener is not None:
            self._listener.stop_for(self.restart_s, silent=self.restart_silent)
        self.pause.end()
        self._boot()

    def apply_control(self, switches: dict[str, Any]) -> None:
        """Sets switches by name and runs the requested actions."""
        remaining = dict(switches)
        freeze_s = float(remaining.pop("freeze_s", 0.0))
        crash = remaining.pop("crash", False)
        drop = remaining.pop("drop_connections", False)
        set_switches(self, remaining, SWITCHES)
        if freeze_s:
            self.freeze(freeze_s)
        if drop:
            self.drop_connections()
        if crash:
            self.crash()

    def _boot(self) -> None:
        self._boot_count += 1
        self.running = 0
        self.boot_id = f"{self.name}-{self.incarnation}{self._boot_count}"
        self.load.clear()
        self.record_load()
        self.history.add(self.name, HistoryKind.BOOTED, boot_id=self.boot_id)

    def record_load(self) -> None:
        """Records the current load, which reports return after a lag."""
        self.load.record(
            {
                "boot_id": self.boot_id,
                "running": self.running,
                "leaving": self.leaving,
            }
        )

    @contextlib.asynccontextmanager
    async def serve(self, *, host: str, port: int) -> AsyncIterator[None]:
        """Serves the API until the context exits."""
        async with open_listener(
            plain_app(self), host=host, port=port, pause=self.pause
        ) as listener:
            self._listener = listener
            yield


@contextlib.asynccontextmanager
async def open_plain_service(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    name: str = "plain",
    history: History | None = None,
    **options: Any,
) -> AsyncIterator[PlainServiceStandIn]:
    """Serves a plain service stand-in until the context exits.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 selects a free port.
        name: Actor name in the history and prefix of boot ids.
        history: Receives a record of each execution.
        **options: Further options of `PlainServiceStandIn`.

    Yields:
        The stand-in.
    """
    service = PlainServiceStandIn(name=name, history=history, **options)
    async with service.serve(host=host, port=port):
        yield service


__all__ = ["PlainServiceStandIn", "open_plain_service"]

"""A stand-in of a plain service that keeps bookings."""

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
    """A booking service that runs every request it receives.

    It does not recognise a repeated idempotency key, so that a second run
    shows in the history and in the bookings.

    Attributes:
        name: Actor in the history.
        history: Where it records each run.
        booking_count: Count of bookings ever made.
        bookings: What callers booked, by id; it outlives a crash.
        service_time_s: Time that each request takes.
        fail_next: Requests, from now on, that are answered 500 after they
            have run.
        lose_answers: Requests, from now on, that run and whose connection
            breaks before the answer.
        restart_s: Time that the service is down after a crash.
        restart_silent: Whether connections are left without an answer while
            it is down, instead of being refused.
        pause: While it lasts, the service does nothing.
        incarnation: Part of boot ids that tells processes apart.
        boot_id: Changes with every start.
        running: Requests that run.
        load: Load reports, read with their lag.
    """

    __slots__ = (
        "_boots",
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
        self._boots = 0
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
        """Whether the service says that it is leaving."""
        return self._leaving

    @leaving.setter
    def leaving(self, value: bool) -> None:
        self._leaving = value
        self.record_load()

    def freeze(self, seconds: float) -> None:
        """Stops doing anything for a time; connections stay open."""
        self.pause.extend(seconds)

    def drop_connections(self) -> None:
        """Breaks every connection; the requests do not run on."""
        if self._listener is not None:
            self._listener.abort_connections()

    def crash(self) -> None:
        """Drops connections and what runs, and restarts later."""
        self.history.add(self.name, HistoryKind.CRASHED, boot_id=self.boot_id)
        if self._listener is not None:
            self._listener.stop_for(self.restart_s, silent=self.restart_silent)
        self.pause.end()
        self._boot()

    def apply_control(self, switches: dict[str, Any]) -> None:
        """Sets switches by name and runs the actions among them."""
        others = dict(switches)
        freeze_s = float(others.pop("freeze_s", 0.0))
        crash = others.pop("crash", False)
        drop = others.pop("drop_connections", False)
        set_switches(self, others, SWITCHES)
        if freeze_s:
            self.freeze(freeze_s)
        if drop:
            self.drop_connections()
        if crash:
            self.crash()

    def _boot(self) -> None:
        self._boots += 1
        self.running = 0
        self.boot_id = f"{self.name}-{self.incarnation}{self._boots}"
        self.load.clear()
        self.record_load()
        self.history.add(self.name, HistoryKind.BOOTED, boot_id=self.boot_id)

    def record_load(self) -> None:
        """Records the load for later reports."""
        self.load.record(
            {
                "boot_id": self.boot_id,
                "running": self.running,
                "leaving": self.leaving,
            }
        )

    @contextlib.asynccontextmanager
    async def serve(self, *, host: str, port: int) -> AsyncIterator[None]:
        """Listens until the context ends."""
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
    """Serves a plain service stand-in until the context ends.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 takes a free one.
        name: Actor in the history and start of its boot ids.
        history: Where it records each run.
        **options: Further options of `PlainServiceStandIn`.

    Yields:
        The stand-in.
    """
    service = PlainServiceStandIn(name=name, history=history, **options)
    async with service.serve(host=host, port=port):
        yield service


__all__ = ["PlainServiceStandIn", "open_plain_service"]

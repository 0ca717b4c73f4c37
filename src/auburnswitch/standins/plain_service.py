"""A stand-in of a plain service that keeps bookings."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Final

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from auburnswitch.standins.control import control_routes, set_switches
from auburnswitch.standins.history import History, HistoryKind
from auburnswitch.standins.lagged import Lagged
from auburnswitch.standins.listener import Listener, Pause, open_listener

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

DEFAULT_SLOTS: Final = ("09:00", "09:30", "10:00", "10:30", "11:00", "11:30")
DEFAULT_SERVICE_TIME_S: Final = 0.05
DEFAULT_RESTART_S: Final = 2.0
DEFAULT_LOAD_LAG_S: Final = 0.5
SWITCHES: Final = frozenset(
    {"service_time_s", "fail_next", "leaving", "restart_s", "restart_silent"}
)


class Booking:
    """One booking.

    Attributes:
        booking_id: Its id.
        details: What the caller sent.
    """

    __slots__ = ("booking_id", "details")

    def __init__(self, *, booking_id: str, details: Any) -> None:
        self.booking_id = booking_id
        self.details = details

    def to_json(self) -> dict[str, Any]:
        """Returns the booking as the API shows it."""
        return {"id": self.booking_id, "booking": self.details}


class PlainServiceStandIn:
    """A booking service that runs every request it receives.

    It does not recognise a repeated idempotency key, so that a second run
    shows in the history and in the bookings.

    Attributes:
        name: Actor in the history.
        history: Where it records each run.
        bookings: Bookings by id; they outlive a crash.
        service_time_s: Time that each request takes.
        fail_next: Requests, from now on, that are answered 500 after they
            have run.
        restart_s: Time that the service is down after a crash.
        restart_silent: Whether connections are left without an answer while
            it is down, instead of being refused.
        pause: While it lasts, the service does nothing.
        incarnation: Part of boot ids that tells processes apart.
        boot_id: Changes with every start.
        running: Requests that run.
    """

    __slots__ = (
        "_boots",
        "_leaving",
        "_listener",
        "_load",
        "bookings",
        "boot_id",
        "fail_next",
        "history",
        "incarnation",
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
        self.bookings: dict[str, Booking] = {}
        self.service_time_s = service_time_s
        self.fail_next = 0
        self.restart_s = restart_s
        self.restart_silent = False
        self.pause = Pause()
        self.running = 0
        self._leaving = False
        self._boots = 0
        self._listener: Listener | None = None
        self._load: Lagged[dict[str, Any]] = Lagged(lag_s=load_lag_s)
        self._boot()

    @property
    def url(self) -> str:
        """Base URL of the service."""
        assert self._listener is not None
        return self._listener.url

    @property
    def leaving(self) -> bool:
        """Whether the service says that it is leaving."""
        return self._leaving

    @leaving.setter
    def leaving(self, value: bool) -> None:
        self._leaving = value
        self._record_load()

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
            self._listener.take_down(self.restart_s, silent=self.restart_silent)
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

    def app(self) -> Starlette:
        """Returns the API as an application."""
        routes = [
            Route("/slots", self._list_slots, methods=["GET"]),
            Route("/bookings/{id}", self._show_booking, methods=["GET"]),
            Route("/bookings", self._book, methods=["POST"]),
            Route("/load", self._show_load, methods=["GET"]),
        ]
        return Starlette(routes=[*control_routes(self), *routes])

    def _boot(self) -> None:
        self._boots += 1
        self.running = 0
        self.boot_id = f"{self.name}-{self.incarnation}{self._boots}"
        self._load.clear()
        self._record_load()
        self.history.add(self.name, HistoryKind.BOOTED, boot_id=self.boot_id)

    def _record_load(self) -> None:
        self._load.record(
            {
                "boot_id": self.boot_id,
                "running": self.running,
                "leaving": self.leaving,
            }
        )

    @contextlib.asynccontextmanager
    async def _run(self, request: Request) -> AsyncIterator[None]:
        headers = request.headers
        self.history.add(
            self.name,
            HistoryKind.PLAIN_RUN,
            method=request.method,
            path=request.url.path,
            request_id=headers.get("x-request-id", ""),
            attempt=headers.get("x-attempt", ""),
            idempotency_key=headers.get("idempotency-key", ""),
            leaving=self.leaving,
        )
        boot_id = self.boot_id
        self.running += 1
        self._record_load()
        try:
            await asyncio.sleep(self.service_time_s)
            await self.pause.wait()
            yield
        finally:
            if boot_id == self.boot_id:
                self.running -= 1
                self._record_load()

    def _answer(self, content: dict[str, Any], status: int = 200) -> Response:
        if self.fail_next > 0:
            self.fail_next -= 1
            return JSONResponse({"error": "failed"}, 500)
        return JSONResponse(content, status)

    async def _list_slots(self, request: Request) -> Response:
        async with self._run(request):
            return self._answer({"slots": list(DEFAULT_SLOTS)})

    async def _show_booking(self, request: Request) -> Response:
        async with self._run(request):
            booking = self.bookings.get(request.path_params["id"])
            if booking is None:
                return self._answer({"error": "no such booking"}, 404)
            return self._answer(booking.to_json())

    async def _book(self, request: Request) -> Response:
        try:
            details = await request.json()
        except ValueError as error:
            return JSONResponse({"error": str(error)}, 400)
        async with self._run(request):
            booking_id = f"b{len(self.bookings) + 1}"
            booking = Booking(booking_id=booking_id, details=details)
            self.bookings[booking_id] = booking
            return self._answer(booking.to_json(), 201)

    async def _show_load(self, request: Request) -> Response:
        return JSONResponse(self._load.read())

    @contextlib.asynccontextmanager
    async def serve(self, *, host: str, port: int) -> AsyncIterator[None]:
        """Listens until the context ends."""
        async with open_listener(
            self.app(), host=host, port=port, pause=self.pause
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


__all__ = ["Booking", "PlainServiceStandIn", "open_plain_service"]

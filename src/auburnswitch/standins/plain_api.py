"""Serves the HTTP API of the plain service stand-in."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Final

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from auburnswitch.standins.control import control_routes
from auburnswitch.standins.history import HistoryKind
from auburnswitch.standins.listener import ARRIVAL_TIME_S
from auburnswitch.standins.lost_response import LostResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

    from auburnswitch.standins.plain_service import PlainServiceStandIn

SLOTS: Final = ("09:00", "09:30", "10:00", "10:30", "11:00", "11:30")


class PlainApi:
    """Handles the HTTP requests to the service and executes each of them.

    Attributes:
        service: The service.
    """

    __slots__ = ("service",)

    def __init__(self, *, service: PlainServiceStandIn) -> None:
        self.service = service

    def routes(self) -> list[Route]:
        """Returns the routes of the API."""
        booking_path = "/bookings/{id}"
        return [
            Route("/slots", self.list_slots, methods=["GET"]),
            Route("/bookings", self.create_booking, methods=["POST"]),
            Route(booking_path, self.get_booking, methods=["GET"]),
            Route(booking_path, self.update_booking, methods=["PUT"]),
            Route(booking_path, self.cancel_booking, methods=["DELETE"]),
            Route("/load", self.get_load, methods=["GET"]),
        ]

    async def list_slots(self, request: Request) -> Response:
        """Lists the bookable time slots."""
        async with self._execute(request):
            return self._response({"slots": list(SLOTS)})

    async def create_booking(self, request: Request) -> Response:
        """Creates a booking, even if the request repeats an earlier one."""
        try:
            details = await request.json()
        except ValueError as error:
            return JSONResponse({"error": str(error)}, 400)
        async with self._execute(request):
            self.service.booking_count += 1
            booking_id = f"b{self.service.booking_count}"
            self.service.bookings[booking_id] = details
            return self._booking_response(booking_id, 201)

    async def get_booking(self, request: Request) -> Response:
        """Returns a booking."""
        async with self._execute(request):
            return self._booking_response(request.path_params["id"])

    async def update_booking(self, request: Request) -> Response:
        """Replaces a booking."""
        try:
            details = await request.json()
        except ValueError as error:
            return JSONResponse({"error": str(error)}, 400)
        async with self._execute(request):
            booking_id = request.path_params["id"]
            if booking_id in self.service.bookings:
                self.service.bookings[booking_id] = details
            return self._booking_response(booking_id)

    async def cancel_booking(self, request: Request) -> Response:
        """Cancels a booking."""
        async with self._execute(request):
            booking_id = request.path_params["id"]
            response = self._booking_response(booking_id)
            self.service.bookings.pop(booking_id, None)
            return response

    async def get_load(self, request: Request) -> Response:
        """Returns the load as it was `load_lag_s` ago."""
        return JSONResponse(self.service.load.read())

    @contextlib.asynccontextmanager
    async def _execute(self, request: Request) -> AsyncIterator[None]:
        service = self.service
        headers = request.headers
        service.history.add(
            service.name,
            HistoryKind.PLAIN_RUN,
            method=request.method,
            path=request.url.path,
            request_id=headers.get("x-request-id", ""),
            attempt=headers.get("x-attempt", ""),
            idempotency_key=headers.get("idempotency-key", ""),
            leaving=service.leaving,
            arrived_s=ARRIVAL_TIME_S.get(None),
        )
        boot_id = service.boot_id
        service.running += 1
        service.record_load()
        try:
            await asyncio.sleep(service.service_time_s)
            await service.pause.wait()
            yield
        finally:
            if boot_id == service.boot_id:
                service.running -= 1
                service.record_load()

    def _booking_response(self, booking_id: str, status: int = 200) -> Response:
        if booking_id not in self.service.bookings:
            return self._response({"error": "no such booking"}, 404)
        details = self.service.bookings[booking_id]
        return self._response({"id": booking_id, "booking": details}, status)

    def _response(self, content: dict[str, Any], status: int = 200) -> Response:
        service = self.service
        if service.lose_answers > 0:
            service.lose_answers -= 1
            return LostResponse(listener=service.listener, hang=False)
        if service.fail_next > 0:
            service.fail_next -= 1
            return JSONResponse({"error": "failed"}, 500)
        return JSONResponse(content, status)


def plain_app(service: PlainServiceStandIn) -> Starlette:
    """Returns a plain service's API as an ASGI application."""
    api = PlainApi(service=service)
    return Starlette(routes=[*control_routes(service), *api.routes()])


__all__ = ["PlainApi", "plain_app"]

"""The HTTP API of the plain service stand-in."""

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
    """Runs every request that it receives.

    Attributes:
        service: The service.
    """

    __slots__ = ("service",)

    def __init__(self, *, service: PlainServiceStandIn) -> None:
        self.service = service

    def routes(self) -> list[Route]:
        """Returns the routes of the API."""
        one = "/bookings/{id}"
        return [
            Route("/slots", self.list_slots, methods=["GET"]),
            Route("/bookings", self.create_booking, methods=["POST"]),
            Route(one, self.get_booking, methods=["GET"]),
            Route(one, self.update_booking, methods=["PUT"]),
            Route(one, self.cancel_booking, methods=["DELETE"]),
            Route("/load", self.get_load, methods=["GET"]),
        ]

    async def list_slots(self, request: Request) -> Response:
        """Lists the slots."""
        async with self._run(request):
            return self._answer({"slots": list(SLOTS)})

    async def create_booking(self, request: Request) -> Response:
        """Makes a booking, also when it has been made before."""
        try:
            details = await request.json()
        except ValueError as error:
            return JSONResponse({"error": str(error)}, 400)
        async with self._run(request):
            self.service.booking_count += 1
            booking_id = f"b{self.service.booking_count}"
            self.service.bookings[booking_id] = details
            return self._booking_answer(booking_id, 201)

    async def get_booking(self, request: Request) -> Response:
        """Shows a booking."""
        async with self._run(request):
            return self._booking_answer(request.path_params["id"])

    async def update_booking(self, request: Request) -> Response:
        """Replaces a booking."""
        try:
            details = await request.json()
        except ValueError as error:
            return JSONResponse({"error": str(error)}, 400)
        async with self._run(request):
            booking_id = request.path_params["id"]
            if booking_id in self.service.bookings:
                self.service.bookings[booking_id] = details
            return self._booking_answer(booking_id)

    async def cancel_booking(self, request: Request) -> Response:
        """Cancels a booking."""
        async with self._run(request):
            booking_id = request.path_params["id"]
            answer = self._booking_answer(booking_id)
            self.service.bookings.pop(booking_id, None)
            return answer

    async def get_load(self, request: Request) -> Response:
        """Reports the load of a short time ago."""
        return JSONResponse(self.service.load.read())

    @contextlib.asynccontextmanager
    async def _run(self, request: Request) -> AsyncIterator[None]:
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

    def _booking_answer(self, booking_id: str, status: int = 200) -> Response:
        if booking_id not in self.service.bookings:
            return self._answer({"error": "no such booking"}, 404)
        details = self.service.bookings[booking_id]
        return self._answer({"id": booking_id, "booking": details}, status)

    def _answer(self, content: dict[str, Any], status: int = 200) -> Response:
        service = self.service
        if service.lose_answers > 0:
            service.lose_answers -= 1
            return LostResponse(listener=service.listener, hang=False)
        if service.fail_next > 0:
            service.fail_next -= 1
            return JSONResponse({"error": "failed"}, 500)
        return JSONResponse(content, status)


def plain_app(service: PlainServiceStandIn) -> Starlette:
    """Returns a plain service's API as an application."""
    api = PlainApi(service=service)
    return Starlette(routes=[*control_routes(service), *api.routes()])


__all__ = ["PlainApi", "plain_app"]

"""Provides the daemon's ASGI application for operators."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from expression import Result
from starlette.applications import Starlette
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from auburnswitch.observe.logs import log_event
from auburnswitch.operators.audit import AuditFilter, audit_entries
from auburnswitch.operators.ticket_validation import validate_ticket
from auburnswitch.results import Refusal, RefusalError, refusal
from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.events import EventId
from auburnswitch.schema.objects import Ticket
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.requests import Request

    from auburnswitch.clock import WallClock
    from auburnswitch.configuration.tickets import TicketStore
    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.observe.metrics import Metrics
    from auburnswitch.operators.keys import OperatorKeys


class OperatorApp:
    """Serves tickets, status, health and metrics.

    Attributes:
        keys: Operator keys; if there are none, calls that need one are refused.
        tickets: Accepts and reads tickets.
        endpoint_manager: Provides the endpoints' owners and latest hints.
        metrics: The metrics to export.
        clock: Provides the acceptance time of tickets.
        get_admission_refusal: Returns why new work is refused, or None.
        get_status: Returns the daemon's status as a JSON-serializable dict.
        get_in_force: Returns the daemons that have applied a ticket, and those
            that have not.
    """

    __slots__ = (
        "clock",
        "endpoint_manager",
        "get_admission_refusal",
        "get_in_force",
        "get_status",
        "keys",
        "metrics",
        "tickets",
    )

    def __init__(
        self,
        *,
        keys: OperatorKeys,
        tickets: TicketStore,
        endpoint_manager: EndpointManager,
        metrics: Metrics,
        clock: WallClock,
        get_admission_refusal: Callable[[], Refusal | None],
        get_status: Callable[[], dict[str, Any]],
        get_in_force: Callable[[Ticket], tuple[list[str], list[str]]],
    ) -> None:
        self.keys = keys
        self.tickets = tickets
        self.endpoint_manager = endpoint_manager
        self.metrics = metrics
        self.clock = clock
        self.get_admission_refusal = get_admission_refusal
        self.get_status = get_status
        self.get_in_force = get_in_force

    def build(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/healthz", self._healthz),
                Route("/readyz", self._readyz),
                Route("/metrics", self._metrics),
                Route("/status", self._status),
                Route("/endpoints", self._endpoints),
                Route("/tickets", self._list_tickets),
                Route("/tickets", self._apply_ticket, methods=["POST"]),
                Route("/tickets/{number:int}", self._show_ticket),
                Route("/tickets/{number:int}/in-force", self._show_in_force),
                Route("/audit", self._audit),
            ],
            exception_handlers={RefusalError: self._on_refusal},
        )

    async def _healthz(self, _: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _readyz(self, _: Request) -> Response:
        refused = self.get_admission_refusal()
        if refused is None:
            return PlainTextResponse("ready\n")
        return _refusal_response(refused)

    async def _metrics(self, _: Request) -> Response:
        return Response(
            self.metrics.export(), media_type="text/plain; version=0.0.4"
        )

    async def _status(self, request: Request) -> Response:
        self._check_key(request)
        return JSONResponse(self.get_status())

    async def _endpoints(self, request: Request) -> Response:
        self._check_key(request)
        endpoint_manager = self.endpoint_manager
        rows = []
        for name, spec in sorted(endpoint_manager.state.endpoints.items()):
            hint = to_json(endpoint_manager.latest_hint(name))
            row = {"service": spec.service, "zone": spec.zone, **hint}
            rows.append(row | {"owner": endpoint_manager.owner_of(name)})
        return JSONResponse({"endpoints": rows})

    async def _apply_ticket(self, request: Request) -> Response:
        operator = self._check_key(request)
        try:
            ticket = from_json(Ticket, await request.json())
        except (ValueError, SchemaError) as error:
            return self._refuse_ticket([str(error)])
        report = validate_ticket(ticket, self.tickets.state)
        if report.errors:
            return self._refuse_ticket(report.errors)
        ticket.accepted_at = self.clock.now_s()
        ticket.operator = operator
        match await self.tickets.accept(ticket):
            case Result(tag="ok", ok=stored):
                body = {"ticket": to_json(stored), "warnings": report.warnings}
                return JSONResponse(body)
            case Result(error=refused):
                return _refusal_response(refused)

    async def _list_tickets(self, request: Request) -> Response:
        self._check_key(request)
        match await self.tickets.list():
            case Result(tag="ok", ok=tickets):
                body = [to_json(ticket) for ticket in tickets]
                return JSONResponse({"tickets": body})
            case Result(error=refused):
                return _refusal_response(refused)

    async def _show_ticket(self, request: Request) -> Response:
        self._check_key(request)
        match await self.tickets.read(request.path_params["number"]):
            case Result(tag="ok", ok=ticket):
                return JSONResponse({"ticket": to_json(ticket)})
            case Result(error=refused):
                return _refusal_response(refused)

    async def _show_in_force(self, request: Request) -> Response:
        self._check_key(request)
        number = request.path_params["number"]
        match await self.tickets.read(number):
            case Result(tag="ok", ok=ticket):
                in_force, pending = self.get_in_force(ticket)
                return JSONResponse(
                    {
                        "number": number,
                        "in_force": in_force,
                        "pending": pending,
                    }
                )
            case Result(error=refused):
                return _refusal_response(refused)

    async def _audit(self, request: Request) -> Response:
        self._check_key(request)
        query = request.query_params
        try:
            since = float(query.get("since", "-inf"))
        except ValueError:
            since = math.nan
        if math.isnan(since):
            message = "since: must be seconds since the epoch"
            return _refusal_response(refusal(ResultCode.BAD_FIELD, message))
        audit_filter = AuditFilter(
            object=query.get("object", ""),
            author=query.get("author", ""),
            since=since,
        )
        match await self.tickets.list():
            case Result(tag="ok", ok=tickets):
                entries = list(audit_entries(tickets, audit_filter))
                return JSONResponse({"entries": entries})
            case Result(error=refused):
                return _refusal_response(refused)

    def _refuse_ticket(self, errors: list[str]) -> Response:
        log_event(EventId.TICKET_REFUSED, reason="; ".join(errors))
        message = "; ".join(errors)
        return _refusal_response(refusal(ResultCode.TICKET_INVALID, message))

    def _check_key(self, request: Request) -> str:
        header = request.headers.get("authorization", "")
        operator = self.keys.find_operator(header)
        if operator is None:
            raise RefusalError(refusal(ResultCode.BAD_OPERATOR_KEY))
        return operator

    async def _on_refusal(self, _: Request, error: Exception) -> Response:
        assert isinstance(error, RefusalError)
        return _refusal_response(error.refusal)


def _refusal_response(refused: Refusal) -> Response:
    return JSONResponse(
        refused.to_json(),
        status_code=refused.http_status,
        headers=refused.headers(),
    )


__all__ = ["OperatorApp"]

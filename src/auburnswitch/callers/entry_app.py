"""Provides the entry daemon's ASGI application for callers.

Requests are routed according to the configured routes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.callers.caller_writer import CallerWriter, EntryRefusalError
from auburnswitch.callers.open_request import OpenRequest, since_stop_ms
from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.platform.requests import decode_request
from auburnswitch.routing.crashes.crash_registry import compute_fingerprint
from auburnswitch.routing.crashes.prompt_parts import fingerprint_parts
from auburnswitch.routing.delivery.delivery_job import DeliveryJob
from auburnswitch.routing.delivery.outcomes import (
    Delivered,
    DeliveryFailed,
    RetryAdvice,
)
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from starlette.types import Receive, Scope, Send

    from auburnswitch.configuration.installation import Installation
    from auburnswitch.configuration.route_table import RouteTable
    from auburnswitch.observe.statistics import EntryStatistics
    from auburnswitch.platform.requests import CallerRequest, Headers
    from auburnswitch.routing.availability.endpoint_availability import (
        EndpointAvailability,
    )
    from auburnswitch.routing.delivery.delivery_runner import DeliveryRunner
    from auburnswitch.routing.delivery.stop_deadline import StopDeadline
    from auburnswitch.schema.installation import IngressLimits

BAD_REQUEST: Final = 400
UNAUTHORIZED: Final = 401
NOT_FOUND: Final = 404
BODY_TOO_LARGE: Final = 413
HEADERS_TOO_LARGE: Final = 431
BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504
DEFAULT_ROUTE_TIMEOUT_S: Final = 30.0
RETRY_AFTER_STARTUP_S: Final = 0.5
RETRY_AFTER_OUTAGE_S: Final = 3.0  # store unavailable
EXPECTED_STARTUP_S: Final = 1.0
RETRY_AFTER_DRAIN_S: Final = 0.05  # another daemon can accept it at once
RETRY_AFTER_OVERLOAD_RANGE_S: Final = (0.6, 1.8)  # spreads the retries
# Endpoints recover within seconds.
RETRY_AFTER_UNAVAILABLE_RANGE_S: Final = (1.5, 3.0)


class ResponseAbortedError(Exception):
    """Aborts the connection so that the caller sees a truncated response."""


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class EntryApp:
    """An ASGI application that routes requests to the installation's services.

    Attributes:
        has_live_peers: Returns whether another daemon accepts requests.
        stop: The end of a planned stop. Each response of a stopping daemon
            requests that the caller closes its connection.
        started_at: Loop time of the daemon's start, in seconds.
        open_requests: Requests whose response is not complete.
    """

    def __init__(
        self,
        *,
        installation: Installation,
        delivery_runner: DeliveryRunner,
        availability: EndpointAvailability,
        rng: random.Random,
        statistics: EntryStatistics,
        stop: StopDeadline,
        has_live_peers: Callable[[], bool],
    ) -> None:
        self.has_live_peers = has_live_peers
        self.stop = stop
        self.statistics = statistics
        self.installation = installation
        self.delivery_runner = delivery_runner
        self.availability = availability
        self.rng = rng
        self.started_at = monotonic_s()
        self.open_requests: set[OpenRequest] = set()

    @property
    def in_flight(self) -> int:
        """Number of requests whose response is not complete."""
        return len(self.open_requests)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        ]
        request = decode_request(
            method=scope["method"],
            raw_path=scope["raw_path"],
            query=scope["query_string"],
            headers=headers,
        )
        writer = CallerWriter(
            send=send, should_close=lambda: self.stop.stopping
        )
        open_request = OpenRequest(
            id=request.id, arrived_at=monotonic_s(), writer=writer
        )
        self.open_requests.add(open_request)
        try:
            await self._serve(request, headers, receive, open_request)
        finally:
            self.open_requests.discard(open_request)

    async def _serve(
        self,
        request: CallerRequest,
        headers: Headers,
        receive: Receive,
        open_request: OpenRequest,
    ) -> None:
        writer, arrived_at = open_request.writer, open_request.arrived_at
        try:
            table = self._require_route_table()
            self._check_headers(headers, table.config.limits)
            body = await read_body(receive, table.config.limits.max_body_bytes)
            job = self._make_job(request, body, arrived_at)
        except EntryRefusalError as refused:
            await writer.refuse(refused)
            self._record_outcome(
                request, arrived_at, f"refused, {refused}", None
            )
            return
        except CallerDisconnectedError:
            return
        open_request.job = job
        await self._deliver(job, receive, writer)

    def _require_route_table(self) -> RouteTable:
        table = self.installation.table
        if table is None or not self.installation.complete:
            is_starting = monotonic_s() - self.started_at < EXPECTED_STARTUP_S
            raise EntryRefusalError(
                UNAVAILABLE,
                "no configuration yet",
                RETRY_AFTER_STARTUP_S if is_starting else RETRY_AFTER_OUTAGE_S,
            )
        return table

    def _check_headers(self, headers: Headers, limits: IngressLimits) -> None:
        # Each header line has 4 more bytes: a colon, a space, CR and LF.
        size_bytes = sum(len(name) + len(value) + 4 for name, value in headers)
        if size_bytes > limits.max_header_bytes:
            raise EntryRefusalError(HEADERS_TOO_LARGE, "headers too large")

    def _make_job(
        self, request: CallerRequest, body: bytes, arrived_at: float
    ) -> DeliveryJob:
        table = self._require_route_table()
        if not request.id or not request.host:
            raise EntryRefusalError(BAD_REQUEST, "no request id or no host")
        route = table.route(request.host, request.path)
        if route is None:
            raise EntryRefusalError(NOT_FOUND, "no such route")
        team = table.team(request.caller_key)
        if team is None and not route.anonymous:
            raise EntryRefusalError(UNAUTHORIZED, "unknown caller key")
        name = table.choose_service(route, self.rng)
        service = table.service(name)
        if service is None:
            raise EntryRefusalError(
                UNAVAILABLE, "no such service", RETRY_AFTER_STARTUP_S
            )
        timeout_s = route.timeout_s or DEFAULT_ROUTE_TIMEOUT_S
        caller_timeout_s = request.deadline_s or timeout_s
        return DeliveryJob(
            request=request,
            body=body,
            route=route,
            service=service,
            team=team.name if team else "",
            arrived_at=arrived_at,
            deadline_at=arrived_at + min(timeout_s, caller_timeout_s),
            caller_deadline_at=arrived_at + caller_timeout_s,
            fingerprint=compute_fingerprint(request, body),
            parts=fingerprint_parts(service.name, request.shared_parts),
        )

    async def _deliver(
        self, job: DeliveryJob, receive: Receive, writer: CallerWriter
    ) -> None:
        delivery = asyncio.ensure_future(
            self.delivery_runner.deliver(job, writer)
        )
        disconnect = asyncio.ensure_future(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (delivery, disconnect), return_when=asyncio.FIRST_COMPLETED
            )
            if not delivery.done():
                self._record_outcome(
                    job.request, job.arrived_at, "caller left", job
                )
                return
            outcome = delivery.result()
        except Exception as error:
            log_event(
                EventId.TASK_FAILED,
                task="delivery",
                request=job.request.id,
                error=repr(error),
            )
            raise
        finally:
            disconnect.cancel()
            delivery.cancel()
            await asyncio.gather(delivery, disconnect, return_exceptions=True)
        await self._finish(job, outcome, writer)

    async def _finish(
        self,
        job: DeliveryJob,
        outcome: Delivered | DeliveryFailed,
        writer: CallerWriter,
    ) -> None:
        match outcome:
            case Delivered(status=status, end_confirmed=confirmed):
                doubt = "" if confirmed else ", end unconfirmed"
                result = f"delivered, {status}{doubt}"
                self._record_outcome(job.request, job.arrived_at, result, job)
                return
            case DeliveryFailed(reason=reason):
                self._record_outcome(
                    job.request, job.arrived_at, f"failed, {reason}", job
                )
        if writer.started:
            raise ResponseAbortedError(outcome.reason)
        await writer.refuse(self._make_refusal(job, outcome))

    def _make_refusal(
        self, job: DeliveryJob, failed: DeliveryFailed
    ) -> EntryRefusalError:
        if not failed.may_have_run:
            return EntryRefusalError(
                UNAVAILABLE,
                failed.reason,
                self._choose_retry_after_s(job, failed.retry),
            )
        if job.time_left_s() <= 0:
            return EntryRefusalError(GATEWAY_TIMEOUT, failed.reason)
        return EntryRefusalError(BAD_GATEWAY, failed.reason)

    def _choose_retry_after_s(
        self, job: DeliveryJob, advice: RetryAdvice
    ) -> float | None:
        match advice:
            case RetryAdvice.NEVER:
                return None
            case RetryAdvice.AT_ONCE if self.has_live_peers():
                return RETRY_AFTER_DRAIN_S
            case RetryAdvice.AT_ONCE:
                return self.rng.uniform(*RETRY_AFTER_UNAVAILABLE_RANGE_S)
            case RetryAdvice.SOON:
                range_s = RETRY_AFTER_OVERLOAD_RANGE_S
            case RetryAdvice.LATER:
                range_s = RETRY_AFTER_UNAVAILABLE_RANGE_S
        known_s = self.availability.retry_after_s(job.service.name)
        return self.rng.uniform(*range_s) if known_s is None else known_s

    def _record_outcome(
        self,
        request: CallerRequest,
        arrived_at: float,
        outcome: str,
        job: DeliveryJob | None,
    ) -> None:
        took_s = monotonic_s() - arrived_at
        kind = outcome.split(",")[0]
        self.statistics.record_request(request.prompt_tokens, kind, took_s)
        log_event(
            EventId.ENTRY_REQUEST_ENDED,
            request=request.id,
            route=job.route.name if job else "",
            tokens=request.prompt_tokens,
            attempts=job.attempts if job else 0,
            config=self.installation.config_version,
            took_ms=round(took_s * 1000, 1),
            time_left_ms=round(job.time_left_s() * 1000, 1) if job else 0.0,
            since_stop_ms=since_stop_ms(arrived_at, self.stop.stopping_at),
            outcome=outcome,
        )


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Reads the complete body.

    Raises:
        CallerDisconnectedError: The connection ended before the body.
        EntryRefusalError: The body is larger than ``max_bytes``.
    """
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        part = message.get("body", b"")
        size_bytes += len(part)
        if size_bytes > max_bytes:
            raise EntryRefusalError(BODY_TOO_LARGE, "body too large")
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


__all__ = ["ResponseAbortedError", "CallerDisconnectedError", "EntryApp"]

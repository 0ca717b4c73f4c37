"""Simulates an endpoint of the platform, with injectable faults."""

from __future__ import annotations

import asyncio
import enum
import json
from collections import deque
from typing import TYPE_CHECKING, Final

from auburnswitch.http_protocol import CONNECTION_DELIMITED
from auburnswitch.standins.asgi_messages import (
    read_body,
    send_chunk,
    send_response,
    wait_for_disconnect,
)
from auburnswitch.standins.received_request import (
    FIRST_BOOT_MS,
    ReceivedRequest,
    deferral_s,
)

if TYPE_CHECKING:
    from starlette.types import Message, Receive, Scope, Send

SIGNATURE: Final = b"stand-in"
LEAVING_HEADER: Final = (b"server-leaving", b"1")
WORK_MS_HEADER: Final = "x-work-ms"  # sets the time of one request's work
_MS_PER_S: Final = 1000.0


class Fault(enum.Enum):
    """A fault that an endpoint applies to one request."""

    NONE = "none"
    NOT_EXECUTED = "responds 503 and marks the request as not executed"
    SERVER_ERROR = "responds 500"
    DISCONNECT = "closes the connection before the response"
    DISCONNECT_MID_EVENT = "closes the connection in the middle of an event"
    UNMARKED_END = "ends its answer with its connection, which marks the end"
    UNMARKED_MID_EVENT = "does so in the middle of an event"
    WRONG_REQUEST_ID = "responds with the id of another request"
    UNSIGNED = "responds without a signature"
    NO_RESPONSE = "never responds"


UNMARKED_FAULTS: Final = (Fault.UNMARKED_END, Fault.UNMARKED_MID_EVENT)


class AbortConnectionError(Exception):
    """Raised to make the server close the connection."""


class EndpointStandIn:
    """Serves requests, memory orders and load reports as an endpoint does.

    Attributes:
        id: The endpoint's id.
        boot_ms: Start of the endpoint's process, in milliseconds since the
            epoch.
        states_boot: Whether its health checks state its start.
        announces_in_reports: Whether load reports state that it is leaving.
        leaving: Whether the endpoint is leaving, as all its responses state.
        retry_after: Retry-After header with which it refuses all requests,
            empty if it accepts them.
        event_count: Number of events in a streamed answer.
        event_interval_s: Time between two events.
        pauses_s: Time to wait before an event, by its number, in addition to
            the interval; number 0 is the start of the response.
        plain_body: Body of a plain response, None for one with the id of the
            request.
        faults: Faults of the next requests, in order of arrival.
        received_requests: All requests received, misdirected ones included.
        received_orders: All orders received.
        reservations: Reserved tokens by reservation key.
        capacity_tokens: Memory that can be reserved, in tokens.
        client_disconnects: Number of streams whose client disconnected before
            the end.
        running: Number of requests in progress.
        slowdown: Reported execution time relative to the normal one.
        disconnect_allowed: Delays disconnects in the middle of an event until
            it is set, which it is at first.
    """

    def __init__(self, *, endpoint_id: str, event_count: int = 5) -> None:
        self.id = endpoint_id
        self.boot_ms = FIRST_BOOT_MS
        self.states_boot = True
        self.announces_in_reports = True
        self.leaving = False
        self.retry_after = ""
        self.event_count = event_count
        self.event_interval_s = 0.01
        self.pauses_s: dict[int, float] = {}
        self.plain_body: bytes | None = None
        self.faults: deque[Fault] = deque()
        self.received_requests: list[ReceivedRequest] = []
        self.received_orders: list[dict[str, object]] = []
        self.reservations: dict[str, int] = {}
        self._expires_at: dict[str, float] = {}
        self.capacity_tokens = 100_000
        self.client_disconnects = 0
        self.running = 0
        self.slowdown = 1.0
        self.disconnect_allowed = asyncio.Event()
        self.disconnect_allowed.set()

    def restart(self) -> None:
        """Starts a new process under the same id, which is not leaving."""
        self.boot_ms += 1
        self.leaving = False
        self.retry_after = ""
        self.reservations.clear()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] == "http":
            await self._serve(
                scope, receive, self._announce_leaving(scope["path"], send)
            )

    def _announce_leaving(self, path: str, send: Send) -> Send:
        is_silent = path == "/v1/report" and not self.announces_in_reports

        async def send_announced(message: Message) -> None:
            starts = message["type"] == "http.response.start"
            if starts and self.leaving and not is_silent:
                headers = [*message["headers"], LEAVING_HEADER]
                message = {**message, "headers": headers}
            await send(message)

        return send_announced

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        body = await read_body(receive)
        if scope["path"] == "/v1/order":
            await self._apply_order(json.loads(body), send)
            return
        if scope["path"] == "/v1/report":
            await self._send_report(send)
            return
        if scope["path"] == "/health":
            await self._send_health(send)
            return
        fault = self.faults.popleft() if self.faults else Fault.NONE
        expected = headers.get("x-expect-instance", self.id)
        misdirected = expected != self.id
        refuses = bool(self.retry_after) or fault is Fault.NOT_EXECUTED
        received = ReceivedRequest(
            headers=headers,
            target=scope["raw_path"].decode(),
            body=body,
            ran=not misdirected and not refuses,
            received_at=asyncio.get_running_loop().time(),
            boot_ms=self.boot_ms,
            leaving=self.leaving,
            deferral_s=0.0 if misdirected else deferral_s(self.retry_after),
        )
        self.received_requests.append(received)
        if misdirected:
            await send_response(send, 421, [self._id_header()])
            return
        if self.retry_after:
            await self._refuse_until_later(send)
            return
        self.running += 1
        try:
            await self._respond(headers, fault, receive, send)
        finally:
            self.running -= 1
            received.ended_at = asyncio.get_running_loop().time()

    async def _send_health(self, send: Send) -> None:
        body = json.dumps({"born": self.boot_ms}) if self.states_boot else ""
        status = 503 if self.leaving else 200
        await send_response(send, status, [self._id_header()], body.encode())

    def _id_header(self) -> tuple[bytes, bytes]:
        return (b"x-instance-id", self.id.encode())

    async def _refuse_until_later(self, send: Send) -> None:
        retry_after = (b"retry-after", self.retry_after.encode())
        await send_response(send, 503, [(b"x-not-executed", b"1"), retry_after])

    async def _respond(
        self,
        headers: dict[str, str],
        fault: Fault,
        receive: Receive,
        send: Send,
    ) -> None:
        await asyncio.sleep(self.pauses_s.get(0, 0))
        request_id = headers.get("x-attempt-id", "").encode()
        signed_headers = [
            (b"x-attempt-id", request_id),
            (b"x-response-seal", SIGNATURE),
        ]
        match fault:
            case Fault.NOT_EXECUTED:
                await send_response(send, 503, [(b"x-not-executed", b"1")])
            case Fault.SERVER_ERROR:
                await send_response(send, 500, signed_headers, b"failed")
            case Fault.DISCONNECT:
                await _abort_connection(receive)
            case Fault.NO_RESPONSE:
                while (await receive())["type"] != "http.disconnect":
                    pass
            case Fault.WRONG_REQUEST_ID:
                mismatched_headers = [
                    (b"x-attempt-id", b"0000"),
                    signed_headers[1],
                ]
                await send_response(
                    send, 200, mismatched_headers, b"for another request"
                )
            case Fault.UNSIGNED:
                await send_response(send, 200, signed_headers[:1], b"unsigned")
            case _ if "x-token-counts" in headers:
                first = int(headers.get("last-event-id", "0")) + 1
                interval_s = self.event_interval_s
                if WORK_MS_HEADER in headers:
                    interval_s = _work_s(headers) / self.event_count
                await self._send_stream(
                    first, fault, signed_headers, receive, send, interval_s
                )
            case _:
                if await wait_for_disconnect(receive, _work_s(headers)):
                    return
                body = self.plain_body or b"answer of " + request_id
                if fault in UNMARKED_FAULTS:
                    start = {"type": "http.response.start", "status": 200}
                    start[CONNECTION_DELIMITED] = True
                    await send({**start, "headers": signed_headers})
                    await send({"type": "http.response.body", "body": body})
                    return
                await send_response(send, 200, signed_headers, body)

    async def _send_stream(
        self,
        first: int,
        fault: Fault,
        headers: list[tuple[bytes, bytes]],
        receive: Receive,
        send: Send,
        interval_s: float,
    ) -> None:
        content_type = (b"content-type", b"text/event-stream")
        start = {"type": "http.response.start", "status": 200}
        start[CONNECTION_DELIMITED] = fault in UNMARKED_FAULTS
        await send({**start, "headers": [*headers, content_type]})
        disconnected = asyncio.ensure_future(receive())
        for number in range(first, self.event_count + 1):
            await asyncio.sleep(self.pauses_s.get(number, 0))
            if disconnected.done():
                self.client_disconnects += 1
                return
            event = f"id: {number}\ndata: {self.id} {number}\n\n".encode()
            if fault is Fault.DISCONNECT_MID_EVENT and number == first + 1:
                await send_chunk(send, event[: len(event) // 2])
                await self.disconnect_allowed.wait()
                disconnected.cancel()
                raise AbortConnectionError
            if fault is Fault.UNMARKED_MID_EVENT and number == first + 1:
                await send_chunk(send, event[: len(event) // 2])
                break
            await send_chunk(send, event)
            await asyncio.wait((disconnected,), timeout=interval_s)
        disconnected.cancel()
        await send({"type": "http.response.body", "body": b""})

    def expire_reservations(self) -> None:
        """Removes reservations that were not renewed before they expired."""
        now = asyncio.get_running_loop().time()
        for key in [*self.reservations]:
            if self._expires_at[key] < now:
                del self.reservations[key]

    async def _send_report(self, send: Send) -> None:
        self.expire_reservations()
        report = {
            "Running": self.running,
            "Waiting": 0,
            "KvUsed": sum(self.reservations.values()),
            "pace": self.slowdown,
            "born": self.boot_ms,
        }
        await send_response(send, 200, [], json.dumps(report).encode())

    async def _apply_order(self, order: dict[str, object], send: Send) -> None:
        self.received_orders.append(order)
        key = str(order["Id"])
        self.expire_reservations()
        if order["Op"] == "release":
            self.reservations.pop(key, None)
            await send_response(send, 200, [])
            return
        if self.leaving and key not in self.reservations:
            await send_response(send, 503, [])
            return
        tokens = int(str(order["Tokens"]))
        other_tokens = sum(v for k, v in self.reservations.items() if k != key)
        granted = other_tokens + tokens <= self.capacity_tokens
        if granted:
            self.reservations[key] = tokens
            hold_s = int(str(order["HoldMs"])) / _MS_PER_S
            now = asyncio.get_running_loop().time()
            self._expires_at[key] = now + hold_s
        await send_response(send, 200 if granted else 409, [])


async def _abort_connection(receive: Receive) -> None:
    """Aborts the connection instead of letting the server answer with 500."""
    receive.__self__.transport.abort()  # type: ignore[attr-defined]
    while (await receive())["type"] != "http.disconnect":
        pass


def _work_s(headers: dict[str, str]) -> float:
    return float(headers.get(WORK_MS_HEADER, "0")) / _MS_PER_S


__all__ = ["WORK_MS_HEADER", "EndpointStandIn", "Fault", "ReceivedRequest"]

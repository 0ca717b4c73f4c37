"""A stand-in for an endpoint of the platform, with faults on demand."""

from __future__ import annotations

import asyncio
import enum
import json
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

SIGNATURE: Final = b"stand-in"
_MS_PER_S: Final = 1000.0


class Fault(enum.Enum):
    """What an endpoint does wrong with one request."""

    NONE = "none"
    NOT_EXECUTED = "refuses it as not run"
    SERVER_ERROR = "answers 500"
    DISCONNECT = "closes the connection before it answers"
    DISCONNECT_MID_EVENT = "closes the connection in the middle of an event"
    WRONG_REQUEST_ID = "answers with the id of another request"
    UNSIGNED = "answers without a signature"
    NO_RESPONSE = "never answers"


class AbortConnectionError(Exception):
    """Makes the server close the connection."""


@dataclass(slots=True, kw_only=True)
class ReceivedRequest:
    """A request that came to the endpoint.

    Attributes:
        headers: Its headers.
        target: Path and query.
        body: Its body.
        ran: The endpoint worked on it.
    """

    headers: dict[str, str]
    target: str
    body: bytes
    ran: bool

    @property
    def request_id(self) -> str:
        """Id of the caller's attempt, empty if it has none."""
        return self.headers.get("x-attempt-id", "")


class EndpointStandIn:
    """Answers requests as an endpoint does.

    Attributes:
        id: The endpoint's id.
        event_count: Events of a streamed answer.
        event_interval_s: Time between two of them.
        faults: What goes wrong with the next requests, in their order.
        received_requests: Requests so far.
        reservations: Reserved tokens by key.
        capacity_tokens: Memory that can be reserved.
        client_disconnects: Streams whose caller left before their end.
        running: Requests that it works on.
        slowdown: Time that its work takes, relative to the usual.
    """

    def __init__(self, *, endpoint_id: str, event_count: int = 5) -> None:
        self.id = endpoint_id
        self.event_count = event_count
        self.event_interval_s = 0.01
        self.faults: deque[Fault] = deque()
        self.received_requests: list[ReceivedRequest] = []
        self.reservations: dict[str, int] = {}
        self._expires_at: dict[str, float] = {}
        self.capacity_tokens = 100_000
        self.client_disconnects = 0
        self.running = 0
        self.slowdown = 1.0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        body = await _read(receive)
        if scope["path"] == "/v1/order":
            await self._order(json.loads(body), send)
            return
        if scope["path"] == "/v1/report":
            await self._report(send)
            return
        fault = self.faults.popleft() if self.faults else Fault.NONE
        expected = headers.get("x-expect-instance", self.id)
        wrong = expected != self.id
        arrival = ReceivedRequest(
            headers=headers,
            target=scope["raw_path"].decode(),
            body=body,
            ran=not wrong and fault is not Fault.NOT_EXECUTED,
        )
        self.received_requests.append(arrival)
        if wrong:
            await _answer(send, 421, [(b"x-instance-id", self.id.encode())])
            return
        self.running += 1
        try:
            await self._run(headers, fault, receive, send)
        finally:
            self.running -= 1

    async def _run(
        self,
        headers: dict[str, str],
        fault: Fault,
        receive: Receive,
        send: Send,
    ) -> None:
        request_id = headers.get("x-attempt-id", "").encode()
        signed = [
            (b"x-attempt-id", request_id),
            (b"x-response-seal", SIGNATURE),
        ]
        match fault:
            case Fault.NOT_EXECUTED:
                await _answer(send, 503, [(b"x-not-executed", b"1")])
            case Fault.SERVER_ERROR:
                await _answer(send, 500, signed, b"failed")
            case Fault.DISCONNECT:
                raise AbortConnectionError
            case Fault.NO_RESPONSE:
                while (await receive())["type"] != "http.disconnect":
                    pass
            case Fault.WRONG_REQUEST_ID:
                other = [(b"x-attempt-id", b"0000"), signed[1]]
                await _answer(send, 200, other, b"for another request")
            case Fault.UNSIGNED:
                await _answer(send, 200, signed[:1], b"unsigned")
            case _ if "x-token-counts" in headers:
                first = int(headers.get("last-event-id", "0")) + 1
                await self._stream(first, fault, signed, receive, send)
            case _:
                await _answer(send, 200, signed, b"answer of " + request_id)

    async def _stream(
        self,
        first: int,
        fault: Fault,
        headers: list[tuple[bytes, bytes]],
        receive: Receive,
        send: Send,
    ) -> None:
        kind = (b"content-type", b"text/event-stream")
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": [*headers, kind]})
        gone = asyncio.ensure_future(receive())
        for number in range(first, self.event_count + 1):
            if gone.done():
                self.client_disconnects += 1
                return
            event = f"id: {number}\ndata: {self.id} {number}\n\n".encode()
            if fault is Fault.DISCONNECT_MID_EVENT and number == first + 1:
                event = event[: len(event) // 2]
            await _send_part(send, event)
            if fault is Fault.DISCONNECT_MID_EVENT and number == first + 1:
                gone.cancel()
                raise AbortConnectionError
            await asyncio.sleep(self.event_interval_s)
        gone.cancel()
        await send({"type": "http.response.body", "body": b""})

    def expire_reservations(self) -> None:
        """Ends the reservations that were not renewed in time."""
        now = asyncio.get_running_loop().time()
        for key in [*self.reservations]:
            if self._expires_at[key] < now:
                del self.reservations[key]

    async def _report(self, send: Send) -> None:
        self.expire_reservations()
        report = {
            "Running": self.running,
            "Waiting": 0,
            "KvUsed": sum(self.reservations.values()),
            "pace": self.slowdown,
        }
        await _answer(send, 200, [], json.dumps(report).encode())

    async def _order(self, order: dict[str, object], send: Send) -> None:
        key = str(order["Id"])
        self.expire_reservations()
        if order["Op"] == "release":
            self.reservations.pop(key, None)
            await _answer(send, 200, [])
            return
        tokens = int(str(order["Tokens"]))
        others = sum(v for k, v in self.reservations.items() if k != key)
        granted = others + tokens <= self.capacity_tokens
        if granted:
            self.reservations[key] = tokens
            hold_s = int(str(order["HoldMs"])) / _MS_PER_S
            now = asyncio.get_running_loop().time()
            self._expires_at[key] = now + hold_s
        await _answer(send, 200 if granted else 409, [])


async def _read(receive: Receive) -> bytes:
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body


async def _send_part(send: Send, data: bytes) -> None:
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def _answer(
    send: Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes = b"",
) -> None:
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": [*headers, length]})
    await send({"type": "http.response.body", "body": body})


__all__ = ["ReceivedRequest", "Fault", "EndpointStandIn"]

"""Generates requests of callers and records and checks the responses."""

from __future__ import annotations

import asyncio
import errno
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import aiohttp

from auburnswitch.body_budget import BodyBudget
from auburnswitch.http_client import ConnectionLostError, send_at_most_once
from auburnswitch.http_exchange import (
    ConnectError,
    ExchangeError,
    open_exchange,
)
from auburnswitch.soak.fleet import STREAM_EVENTS
from auburnswitch.standins.caller_headers import (
    is_leaving,
    is_signed,
    request_headers,
)
from auburnswitch.standins.endpoint import WORK_MS_HEADER

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from auburnswitch.soak.daemon_process import DaemonProcess, ProcessRun
    from auburnswitch.soak.fleet import SoakFleet

REQUEST_PATHS: Final = ("/chat/1", "/read/1", "/book/1")
REQUEST_INTERVAL_RANGE_S: Final = (0.02, 0.15)
RESPONSE_TIMEOUT_S: Final = 6.0
DEADLINE_S: Final = 3.0
LONG_PROMPT_SHARE: Final = 0.1
SINGLE_USE_SHARE: Final = 0.3  # of the requests, on connections of their own
MAX_SINGLE_USE_REQUESTS: Final = 100
MAX_BODY_BYTES: Final = 2**20
LONG_TOKEN_COUNTS: Final = "80000,50"  # exceeds one engine's memory
SHORT_TOKEN_COUNTS: Final = "900,50"
HTTP_OK: Final = 200
NOT_EXECUTED_STATUSES: Final = (408, 421, 429, 503)
_MS_PER_S: Final = 1000.0
_END_MARKING_HEADERS: Final = ("content-length", "transfer-encoding")


@dataclass(slots=True, kw_only=True)
class RequestRecord:
    """Request of a caller and its response.

    Attributes:
        id: Id of the request.
        path: Path of the request.
        key: Key of the caller.
        sent_at: Loop time at which the request was sent, in seconds.
        tokens: Prompt and answer tokens, empty for a plain request.
        work_s: Time for which an endpoint works on it, in seconds; 0 for the
            endpoint's own time.
        deadline_s: Time limit that the request states, in seconds.
        timeout_s: Time after which the caller gives up, in seconds.
        run: The process that the request was sent to.
        connected: Whether the connection was established.
        reset: Whether the connection was reset; the kernel resets one that is
            closed before its process has read everything.
        status: HTTP status of the response, 0 without a response.
        body: Body of the response, empty if it is incomplete.
        signed: Whether the response was signed by an endpoint.
        answered_at: Loop time at which the response began, in seconds.
        leaving: Whether the response states that its endpoint is leaving.
        retry_after_s: Value of Retry-After, None without.
        closes: Whether the response asks for the connection's close.
        complete: Whether the whole response has arrived.
        marked_end: Whether a length or chunks mark the end of the response.
        ended_at: Loop time at which the response or the connection ended, in
            seconds; None while it is open.
    """

    id: str
    path: str
    key: str
    sent_at: float
    tokens: str = ""
    work_s: float = 0.0
    deadline_s: float = DEADLINE_S
    timeout_s: float = RESPONSE_TIMEOUT_S
    run: ProcessRun | None = None
    connected: bool = True
    reset: bool = False
    status: int = 0
    body: bytes = b""
    signed: bool = False
    answered_at: float = 0.0
    leaving: bool = False
    retry_after_s: float | None = None
    closes: bool = False
    complete: bool = False
    marked_end: bool = True
    ended_at: float | None = None

    def record_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Records the head of the response, which has just arrived.

        Args:
            status: HTTP status.
            headers: Headers by their names in lower case.
        """
        self.status = status
        self.answered_at = asyncio.get_running_loop().time()
        self.leaving = is_leaving(headers)
        self.signed = is_signed(headers)
        self.closes = headers.get("connection") == "close"
        if "retry-after" in headers:
            self.retry_after_s = float(headers["retry-after"])
        self.marked_end = any(name in headers for name in _END_MARKING_HEADERS)


class WorkloadGenerator:
    """Sends requests to random daemons over persistent connections.

    Attributes:
        fleet: The fleet.
        rng: Random number generator that selects requests and daemons.
        records: All requests sent so far.
    """

    def __init__(self, *, fleet: SoakFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.records: list[RequestRecord] = []
        self._request_numbers = itertools.count(1)
        self._body_budget = BodyBudget(
            max_body_bytes=MAX_BODY_BYTES,
            max_total_bytes=MAX_BODY_BYTES * MAX_SINGLE_USE_REQUESTS,
        )

    async def run(self) -> None:
        """Sends requests until the task is cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_RANGE_S))
                await self.send_request(session)

    async def send_request(
        self, session: aiohttp.ClientSession
    ) -> RequestRecord:
        """Sends one request and records the response."""
        record = RequestRecord(
            id=self.next_id(),
            path=self.rng.choice(REQUEST_PATHS),
            key=self.rng.choice(("key-1", "key-2")),
            sent_at=asyncio.get_running_loop().time(),
        )
        daemon = self.rng.choice(self.fleet.daemons)
        if record.path.startswith("/chat"):
            is_long = self.rng.random() < LONG_PROMPT_SHARE
            record.tokens = LONG_TOKEN_COUNTS if is_long else SHORT_TOKEN_COUNTS
        if self.rng.random() < SINGLE_USE_SHARE:
            await self.exchange_once(daemon, record)
        else:
            await self.exchange(session, daemon, record)
        return record

    async def exchange(
        self,
        session: aiohttp.ClientSession,
        daemon: DaemonProcess,
        record: RequestRecord,
    ) -> None:
        """Sends a request to a daemon and records the response."""
        self.records.append(record)
        record.run = daemon.runs[-1]
        headers = request_headers(
            record.id,
            record.key,
            deadline_ms=round(record.deadline_s * _MS_PER_S),
            tokens=record.tokens,
        )
        if record.work_s:
            headers[WORK_MS_HEADER] = str(round(record.work_s * _MS_PER_S))
        url = f"http://{daemon.callers_address}{record.path}"
        method = _method(record)
        try:
            async with (
                asyncio.timeout(record.timeout_s),
                session.request(
                    method,
                    url,
                    headers=headers,
                    middlewares=(send_at_most_once,),
                ) as response,
            ):
                record.record_head(response.status, response.headers)
                body = await response.read()
                # The client library takes a reset for a regular end.
                record.body = body if record.marked_end else b""
                record.complete = True
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            record.connected = False
        except ConnectionLostError as error:
            cause = error.__cause__
            record.reset = getattr(cause, "errno", None) == errno.ECONNRESET
        except (TimeoutError, aiohttp.ClientError, OSError):
            record.body = b""  # incomplete, so not checked
        record.ended_at = asyncio.get_running_loop().time()

    async def exchange_once(
        self, daemon: DaemonProcess, record: RequestRecord
    ) -> None:
        """Sends a request on a connection of its own and notices resets."""
        self.records.append(record)
        record.run = daemon.runs[-1]
        host, port = daemon.callers_address.split(":")
        headers = request_headers(record.id, record.key, tokens=record.tokens)
        try:
            async with (
                asyncio.timeout(record.timeout_s),
                open_exchange(
                    host,
                    int(port),
                    connect_timeout_s=record.timeout_s,
                    body_budget=self._body_budget,
                ) as exchange,
            ):
                exchange.send(
                    method=_method(record),
                    target=record.path,
                    headers=[*headers.items()],
                )
                head = await exchange.read_head()
                received = {n.decode(): v.decode() for n, v in head.headers}
                record.record_head(head.status_code, received)
                record.body = await exchange.read_all()
                record.complete = True
        except ConnectError:
            record.connected = False
        except (ExchangeError, TimeoutError):
            record.body = b""  # incomplete, so not checked
        record.ended_at = asyncio.get_running_loop().time()

    def next_id(self) -> str:
        """Returns the id of a new request."""
        return f"request-{next(self._request_numbers)}"


def _method(record: RequestRecord) -> str:
    return "GET" if record.path.startswith("/read") else "POST"


def find_response_problem(record: RequestRecord) -> str:
    """Returns the error in a complete successful response, empty if none."""
    if record.status != HTTP_OK or not record.body:
        return ""
    if not record.signed:
        return "success without a signature"
    if record.path.startswith("/chat"):
        lines = record.body.decode().splitlines()
        ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
        expected_ids = list(range(1, STREAM_EVENTS + 1))
        return "" if ids == expected_ids else f"events {ids}"
    expected_body = b"answer of " + record.id.encode()
    return "" if record.body == expected_body else f"body {record.body!r}"


__all__ = [
    "NOT_EXECUTED_STATUSES",
    "HTTP_OK",
    "WorkloadGenerator",
    "RequestRecord",
    "find_response_problem",
]

"""Callers that check each answer they get."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import aiohttp

from auburnswitch.http_client import send_at_most_once
from auburnswitch.soak.fleet import STREAM_EVENTS
from auburnswitch.standins.caller_headers import is_signed, request_headers

if TYPE_CHECKING:
    import random

    from auburnswitch.soak.fleet import SoakFleet

REQUEST_PATHS: Final = ("/chat/1", "/read/1", "/book/1")
REQUEST_INTERVAL_RANGE_S: Final = (0.02, 0.15)
RESPONSE_TIMEOUT_S: Final = 6.0
LONG_PROMPT_SHARE: Final = 0.1
LONG_TOKEN_COUNTS: Final = "80000,50"  # over one engine's memory
SHORT_TOKEN_COUNTS: Final = "900,50"
HTTP_OK: Final = 200
NOT_EXECUTED_STATUSES: Final = (408, 421, 429, 503)


@dataclass(slots=True, kw_only=True)
class RequestRecord:
    """What a caller saw of one request.

    Attributes:
        id: Id of the request.
        path: Its path.
        key: The caller's key.
        sent_at: Loop time of its sending, in seconds.
        status: Status of the answer, 0 if there was none.
        body: The answer, empty if it was cut.
        signed: The answer was signed by an endpoint.
    """

    id: str
    path: str
    key: str
    sent_at: float
    status: int = 0
    body: bytes = b""
    signed: bool = False


class WorkloadGenerator:
    """Sends requests to random daemons over kept connections.

    Attributes:
        records: All requests so far.
    """

    def __init__(self, *, fleet: SoakFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.records: list[RequestRecord] = []
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_RANGE_S))
                await self.send_request(session)

    async def send_request(
        self, session: aiohttp.ClientSession
    ) -> RequestRecord:
        """Sends one request and notes what comes of it."""
        outcome = RequestRecord(
            id=f"request-{next(self._numbers)}",
            path=self.rng.choice(REQUEST_PATHS),
            key=self.rng.choice(("key-1", "key-2")),
            sent_at=asyncio.get_running_loop().time(),
        )
        self.records.append(outcome)
        daemon = self.rng.choice(self.fleet.daemons)
        tokens = ""
        if outcome.path.startswith("/chat"):
            long = self.rng.random() < LONG_PROMPT_SHARE
            tokens = LONG_TOKEN_COUNTS if long else SHORT_TOKEN_COUNTS
        headers = request_headers(outcome.id, outcome.key, tokens=tokens)
        url = f"http://{daemon.callers_address}{outcome.path}"
        method = "GET" if outcome.path.startswith("/read") else "POST"
        try:
            async with (
                asyncio.timeout(RESPONSE_TIMEOUT_S),
                session.request(
                    method,
                    url,
                    headers=headers,
                    middlewares=(send_at_most_once,),
                ) as response,
            ):
                outcome.status = response.status
                outcome.signed = is_signed(response.headers)
                outcome.body = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            outcome.body = b""  # promises nothing, so nothing is checked
        return outcome


def find_response_problem(outcome: RequestRecord) -> str:
    """Returns what is wrong with a whole answer of success, or nothing."""
    if outcome.status != HTTP_OK or not outcome.body:
        return ""
    if not outcome.signed:
        return "success without a signature"
    if outcome.path.startswith("/chat"):
        lines = outcome.body.decode().splitlines()
        ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
        whole = list(range(1, STREAM_EVENTS + 1))
        return "" if ids == whole else f"events {ids}"
    expected = b"answer of " + outcome.id.encode()
    return "" if outcome.body == expected else f"body {outcome.body!r}"


__all__ = [
    "NOT_EXECUTED_STATUSES",
    "HTTP_OK",
    "WorkloadGenerator",
    "RequestRecord",
    "find_response_problem",
]

"""An HTTP client of an engine stand-in, for tests."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any

from auburnswitch.standins.engine import EngineStandIn, open_engine
from auburnswitch.standins.engine_options import EngineOptions
from tests.virtual_time import open_session

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp


class EngineClient:
    """Calls one engine stand-in."""

    def __init__(
        self, *, engine: EngineStandIn, session: aiohttp.ClientSession
    ) -> None:
        self.engine = engine
        self.session = session

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        request_id: str = "r1",
        attempt: int = 1,
    ) -> tuple[int, Any]:
        """Sends one request; returns the status and the decoded response."""
        headers = {
            "X-Request-Id": request_id,
            "X-Attempt": str(attempt),
            "X-Member-Id": "m1",
        }
        async with self.session.request(
            method, self.engine.url + path, json=body, headers=headers
        ) as response:
            text = await response.text()
            if response.content_type == "text/event-stream":
                return response.status, read_events(text)
            return response.status, json.loads(text)

    async def complete(
        self, prompt: str, max_tokens: int = 4, request_id: str = "r1", **fields
    ) -> tuple[int, Any]:
        """Requests a completion; `fields` are added to the body."""
        body = {"prompt": prompt, "max_tokens": max_tokens, **fields}
        return await self.call(
            "POST", "/v1/completions", body, request_id=request_id
        )


def read_events(text: str) -> list[Any]:
    """Decodes the events of an SSE stream, which must be complete."""
    lines = [line for line in text.split("\n") if line]
    assert lines[-1] == "data: [DONE]", lines[-1]
    return [json.loads(line.removeprefix("data: ")) for line in lines[:-1]]


def join_text(events: list[Any]) -> str:
    """Returns the concatenated text of completion events."""
    return "".join(event["choices"][0]["text"] for event in events)


@contextlib.asynccontextmanager
async def open_client(**options: Any) -> AsyncIterator[EngineClient]:
    """Opens an engine, warm by default, and yields a client of the engine."""
    options.setdefault("starts_warm", True)
    async with (
        open_session() as session,
        open_engine(
            options=EngineOptions(**options), session=session
        ) as engine,
    ):
        yield EngineClient(engine=engine, session=session)

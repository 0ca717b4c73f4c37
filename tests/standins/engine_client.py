"""A small client of an engine, for tests."""

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
        """Makes one call; returns status and decoded answer."""
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
                return response.status, read_frames(text)
            return response.status, json.loads(text)

    async def complete(
        self, prompt: str, max_tokens: int = 4, request_id: str = "r1", **more
    ) -> tuple[int, Any]:
        """Asks for a completion."""
        body = {"prompt": prompt, "max_tokens": max_tokens, **more}
        return await self.call(
            "POST", "/v1/completions", body, request_id=request_id
        )


def read_frames(text: str) -> list[Any]:
    """Decodes an SSE stream that must be whole."""
    lines = [line for line in text.split("\n") if line]
    assert lines[-1] == "data: [DONE]", lines[-1]
    return [json.loads(line.removeprefix("data: ")) for line in lines[:-1]]


def frames_text(frames: list[Any]) -> str:
    """Returns the answer that frames carry."""
    return "".join(frame["choices"][0]["text"] for frame in frames)


@contextlib.asynccontextmanager
async def open_client(**options: Any) -> AsyncIterator[EngineClient]:
    """Opens an engine, warm unless asked otherwise, and a client of it."""
    options.setdefault("starts_warm", True)
    async with (
        open_session() as session,
        open_engine(
            options=EngineOptions(**options), session=session
        ) as engine,
    ):
        yield EngineClient(engine=engine, session=session)

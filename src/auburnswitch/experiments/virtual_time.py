"""Runs coroutines on an event loop with virtual time and in-memory sockets."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp

from auburnswitch.experiments.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

ResultT = TypeVar("ResultT")


class SimulatedConnector(aiohttp.TCPConnector):
    """Opens connections on the running loop's in-memory network."""

    async def _wrap_create_connection(
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        *args: Any,
        addr_infos: list[Any],
        req: Any,
        client_error: type[aiohttp.ClientConnectorError] = (
            aiohttp.ClientConnectorError
        ),
        **kwargs: Any,
    ) -> tuple[asyncio.BaseTransport, asyncio.Protocol]:
        host, port = addr_infos[0][4][:2]
        loop = asyncio.get_running_loop()
        try:
            return await loop.create_connection(protocol_factory, host, port)
        except OSError as error:
            raise client_error(req.connection_key, error) from error


@contextlib.asynccontextmanager
async def open_session(**options: Any) -> AsyncIterator[aiohttp.ClientSession]:
    """Opens a client session on the in-memory network.

    Unlike aiohttp's default, no call is sent twice when a kept connection
    breaks, since tests count what stand-ins receive.
    """
    options.setdefault("connector", SimulatedConnector(limit=0))
    async with aiohttp.ClientSession(**options) as session:
        session._retry_connection = False
        yield session


def run_virtual(function: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Runs a coroutine function to its end in virtual time.

    Args:
        function: Takes no arguments.

    Returns:
        What it returns.
    """
    loop = VirtualLoop()
    try:
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            return runner.run(_await(function))
    finally:
        asyncio.set_event_loop(None)


async def _await(function: Callable[[], Awaitable[ResultT]]) -> ResultT:
    return await function()


__all__ = ["SimulatedConnector", "open_session", "run_virtual"]

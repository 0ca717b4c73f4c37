"""Runs one stand-in in its own process."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import sys
import uuid
from typing import TYPE_CHECKING, Any

import aiohttp
import fire

from auburnswitch.http_server import ListenError
from auburnswitch.standins.engine import open_engine
from auburnswitch.standins.engine_options import EngineOptions
from auburnswitch.standins.plain_service import open_plain_service
from auburnswitch.standins.platform import open_platform
from auburnswitch.standins.weight_store import open_weight_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Commands:
    """Serves one stand-in until SIGTERM or SIGINT."""

    def platform(
        self, host: str = "127.0.0.1", port: int = 0, **options: Any
    ) -> None:
        """Serves the platform's object API and instance list.

        Args:
            host: IP address to listen on.
            port: TCP port to listen on; 0 selects a free port.
            **options: Options of `PlatformStandIn`.
        """
        _run(open_platform(host=host, port=port, **options))

    def engine(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        name: str = "engine",
        **options: Any,
    ) -> None:
        """Serves a model engine.

        Args:
            host: IP address to listen on.
            port: TCP port to listen on; 0 selects a free port.
            name: Name of the engine.
            **options: Fields of `EngineOptions`.
        """
        _run(_open_engine(host, port, name, EngineOptions(**options)))

    def plain(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        name: str = "plain",
        **options: Any,
    ) -> None:
        """Serves a plain service.

        Args:
            host: IP address to listen on.
            port: TCP port to listen on; 0 selects a free port.
            name: Name of the service.
            **options: Options of `PlainServiceStandIn`.
        """
        options.setdefault("incarnation", _new_incarnation())
        _run(open_plain_service(host=host, port=port, name=name, **options))

    def weights(
        self, host: str = "127.0.0.1", port: int = 0, **options: Any
    ) -> None:
        """Serves the weight store.

        Args:
            host: IP address to listen on.
            port: TCP port to listen on; 0 selects a free port.
            **options: Options of `WeightStoreStandIn`.
        """
        _run(open_weight_store(host=host, port=port, **options))


@contextlib.asynccontextmanager
async def _open_engine(
    host: str, port: int, name: str, options: EngineOptions
) -> AsyncIterator[Any]:
    async with (
        aiohttp.ClientSession() as session,
        open_engine(
            host=host,
            port=port,
            name=name,
            options=options,
            session=session,
            incarnation=_new_incarnation(),
        ) as engine,
    ):
        yield engine


def _new_incarnation() -> str:
    return uuid.uuid4().hex[:8] + "-"


def _run(standin_context: contextlib.AbstractAsyncContextManager[Any]) -> None:
    logging.basicConfig(level=logging.WARNING)
    try:
        asyncio.run(_serve(standin_context))
    except ListenError as error:
        sys.exit(str(error))


async def _serve(
    standin_context: contextlib.AbstractAsyncContextManager[Any],
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    async with standin_context as standin:
        print(standin.url, flush=True)
        await stopped.wait()


if __name__ == "__main__":
    fire.Fire(Commands, name="auburnswitch.standins")


__all__ = ["Commands"]

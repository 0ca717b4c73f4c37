"""Simulates the rate-limited model weight store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, Final

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from auburnswitch.standins.control import control_routes, set_switches
from auburnswitch.standins.history import History, HistoryKind
from auburnswitch.standins.listener import Listener, open_listener
from auburnswitch.standins.token_bucket import TokenBucket, retry_after_header

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

DEFAULT_LOADS_PER_SECOND: Final = 0.5
DEFAULT_BURST_LOADS: Final = 2.0
DEFAULT_WEIGHT_BYTES: Final = 16_000_000_000
SWITCHES: Final = frozenset({"outage"})


class WeightStoreStandIn:
    """Grants loads of model weights up to a rate limit.

    Attributes:
        name: Actor name in the history.
        history: Receives a record of each granted load.
        load_limiter: Rate limit of loads.
        sizes_bytes: Sizes of weights by model name; other models have the
            default size.
        rejected_loads: Number of loads rejected by the rate limit.
        outage: Whether all calls are answered 503.
    """

    __slots__ = (
        "_listener",
        "history",
        "load_limiter",
        "name",
        "outage",
        "rejected_loads",
        "sizes_bytes",
    )

    def __init__(
        self,
        *,
        name: str = "weights",
        history: History | None = None,
        loads_per_second: float = DEFAULT_LOADS_PER_SECOND,
        burst_loads: float = DEFAULT_BURST_LOADS,
    ) -> None:
        self.name = name
        self.history = history if history is not None else History()
        self.load_limiter = TokenBucket(
            rate=loads_per_second, burst=burst_loads
        )
        self.sizes_bytes: dict[str, int] = {}
        self.rejected_loads = 0
        self.outage = False
        self._listener: Listener | None = None

    @property
    def url(self) -> str:
        """Base URL of the store."""
        assert self._listener is not None
        return self._listener.url

    def apply_control(self, switches: dict[str, Any]) -> None:
        """Sets switches by name."""
        set_switches(self, switches, SWITCHES)

    def app(self) -> Starlette:
        """Returns the API as an ASGI application."""
        path = "/weights/{name}/{version}"
        route = Route(path, self._start_load, methods=["GET"])
        return Starlette(routes=[*control_routes(self), route])

    async def _start_load(self, request: Request) -> Response:
        if self.outage:
            return JSONResponse({"error": "outage"}, 503)
        wait_s = self.load_limiter.take()
        if wait_s:
            self.rejected_loads += 1
            return JSONResponse({}, 429, retry_after_header(wait_s))
        name = request.path_params["name"]
        version = request.path_params["version"]
        self.history.add(
            self.name, HistoryKind.LOAD_GRANTED, model=name, version=version
        )
        size_bytes = self.sizes_bytes.get(name, DEFAULT_WEIGHT_BYTES)
        return JSONResponse(
            {"name": name, "version": version, "bytes": size_bytes}
        )

    @contextlib.asynccontextmanager
    async def serve(self, *, host: str, port: int) -> AsyncIterator[None]:
        """Serves the API until the context exits."""
        async with open_listener(self.app(), host=host, port=port) as listener:
            self._listener = listener
            yield


@contextlib.asynccontextmanager
async def open_weight_store(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    history: History | None = None,
    **options: Any,
) -> AsyncIterator[WeightStoreStandIn]:
    """Serves a weight store stand-in until the context exits.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 selects a free port.
        history: Receives a record of each granted load.
        **options: Further options of `WeightStoreStandIn`.

    Yields:
        The stand-in.
    """
    store = WeightStoreStandIn(history=history, **options)
    async with store.serve(host=host, port=port):
        yield store


__all__ = ["WeightStoreStandIn", "open_weight_store"]

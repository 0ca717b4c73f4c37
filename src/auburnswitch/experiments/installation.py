"""A small installation on loopback: a store, endpoints and entry daemons."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING, Any, Final, NamedTuple

import aiohttp

from auburnswitch.entry.run import open_entry_daemon
from auburnswitch.http_server import open_http_server
from auburnswitch.schema.entry import (
    EntrySettings,
    InstanceSettings,
    ListenSettings,
    StoreSettings,
)
from auburnswitch.standins import operators
from auburnswitch.standins.callers import request_headers
from auburnswitch.standins.installation_store import InstallationStore
from auburnswitch.standins.ports import free_port
from auburnswitch.standins.runner import Runner

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping, Sequence

    from auburnswitch.entry.entry_daemon import EntryDaemon
    from auburnswitch.standins.runner import Arrival

CALLER_KEYS: Final = ("key-1", "key-2")
READY_TIMEOUT_S: Final = 3.0
POLL_S: Final = 0.01
WATCH_WAIT_S: Final = 0.5

_request_ids = itertools.count(1)


class CallResult(NamedTuple):
    """What a caller got.

    Attributes:
        status: HTTP status.
        body: The whole body.
        headers: Headers of the answer.
    """

    status: int
    body: bytes
    headers: Mapping[str, str]


def make_config(
    version: int = 1, *, keys: Sequence[str] = CALLER_KEYS, **more: Any
) -> dict[str, Any]:
    """Returns a configuration for the endpoints of this installation.

    Args:
        version: Its version.
        keys: Keys of the only team.
        **more: Fields that go before the usual ones.
    """
    return operators.make_config(version, list(keys), **more)


class SmallInstallation:
    """A running installation.

    Attributes:
        store: The store of the installation.
        session: HTTP client of its callers.
        store_address: Where the store listens.
        runners: Endpoints by id.
        addresses: Where they listen, by id.
        daemons: The entry daemons.
    """

    __slots__ = (
        "addresses",
        "daemons",
        "runners",
        "session",
        "store",
        "store_address",
    )

    def __init__(
        self,
        *,
        store: InstallationStore,
        session: aiohttp.ClientSession,
        store_address: str,
    ) -> None:
        self.store = store
        self.session = session
        self.store_address = store_address
        self.runners: dict[str, Runner] = {}
        self.addresses: dict[str, str] = {}
        self.daemons: list[EntryDaemon] = []

    def put_entry(self, endpoint: str, service: str, **more: Any) -> None:
        """Writes an endpoint's entry into the store."""
        operators.put_endpoint(
            self.store, endpoint, service, self.addresses[endpoint], **more
        )

    @property
    def arrivals(self) -> list[Arrival]:
        """Requests that came to any endpoint."""
        return [a for r in self.runners.values() for a in r.arrivals]

    def url(self, daemon: int = 0) -> str:
        """Returns the base URL of a daemon's listener for callers."""
        return f"http://{self.daemons[daemon].settings.listen.callers}"

    async def call(
        self,
        path: str,
        *,
        method: str = "POST",
        daemon: int = 0,
        tokens: str = "",
        key: str = CALLER_KEYS[0],
        headers: dict[str, str] | None = None,
        body: bytes = b"body",
    ) -> CallResult:
        """Makes one request as a caller.

        Args:
            path: Path and query.
            method: HTTP method.
            daemon: Number of the daemon that is asked.
            tokens: Prompt and answer tokens, empty for a plain request.
            key: The caller's key.
            headers: Headers that go before the usual ones.
            body: Body, which only a POST has.
        """
        request_id = f"request-{next(_request_ids)}"
        sent = request_headers(request_id, key, tokens=tokens) | (headers or {})
        data = body if method == "POST" else None
        async with self.session.request(
            method, self.url(daemon) + path, headers=sent, data=data
        ) as response:
            return CallResult(
                status=response.status,
                body=await response.read(),
                headers=response.headers,
            )


@contextlib.asynccontextmanager
async def open_installation(
    *,
    engines: int = 2,
    desks: int = 2,
    daemons: int = 1,
    first_config: dict[str, Any] | None = None,
) -> AsyncIterator[SmallInstallation]:
    """Runs an installation until the context ends; its daemons are ready.

    Args:
        engines: Model engines.
        desks: Endpoints of a plain service.
        daemons: Entry daemons.
        first_config: Configuration at the start, None for a usual one.
    """
    store = InstallationStore()
    async with contextlib.AsyncExitStack() as stack:
        listener = await stack.enter_async_context(
            open_http_server(store.build(), host="127.0.0.1", port=0)
        )
        fleet = SmallInstallation(
            store=store,
            session=await stack.enter_async_context(aiohttp.ClientSession()),
            store_address=f"127.0.0.1:{listener.port}",
        )
        services = {f"engine-{n}": "engines" for n in range(engines)}
        services |= {f"desk-{n}": "desk" for n in range(desks)}
        for name, service in services.items():
            runner = fleet.runners[name] = Runner(runner_id=name)
            server = await stack.enter_async_context(
                open_http_server(runner, host="127.0.0.1", port=0)
            )
            fleet.addresses[name] = f"127.0.0.1:{server.port}"
            fleet.put_entry(name, service)
        operators.put_config(store, first_config or make_config())
        for number in range(daemons):
            settings = entry_settings(f"entry-{number}", fleet.store_address)
            daemon = await stack.enter_async_context(
                open_entry_daemon(settings)
            )
            fleet.daemons.append(daemon)
        await until(lambda: all(daemon.ready for daemon in fleet.daemons))
        yield fleet


def entry_settings(name: str, store_address: str) -> EntrySettings:
    """Returns the settings of an entry daemon on free ports."""
    return EntrySettings(
        instance=InstanceSettings(name=name, zone="zone-1"),
        listen=ListenSettings(
            callers=f"127.0.0.1:{free_port()}",
            readiness=f"127.0.0.1:{free_port()}",
            peer_host="127.0.0.1",
            peer_port=free_port(),
        ),
        store=StoreSettings(address=store_address, watch_wait_s=WATCH_WAIT_S),
    )


async def until(
    condition: Callable[[], bool], timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: It did not in time.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(POLL_S)


__all__ = [
    "CALLER_KEYS",
    "CallResult",
    "SmallInstallation",
    "entry_settings",
    "make_config",
    "open_installation",
    "until",
]

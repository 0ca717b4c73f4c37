"""Runs a small installation of stand-ins and entry daemons on loopback."""

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
from auburnswitch.standins import installation_objects
from auburnswitch.standins.caller_headers import request_headers
from auburnswitch.standins.endpoint import EndpointStandIn
from auburnswitch.standins.installation_store import InstallationStore
from auburnswitch.standins.ports import free_port

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping, Sequence

    from auburnswitch.entry.entry_daemon import EntryDaemon
    from auburnswitch.standins.endpoint import ReceivedRequest

CALLER_KEYS: Final = ("key-1", "key-2")
READY_TIMEOUT_S: Final = 3.0
POLL_INTERVAL_S: Final = 0.01
WATCH_WAIT_S: Final = 0.5

_request_ids = itertools.count(1)


class CallResult(NamedTuple):
    """The response that a caller received.

    Attributes:
        status: HTTP status.
        body: The complete body.
        headers: Response headers.
    """

    status: int
    body: bytes
    headers: Mapping[str, str]


def make_config(
    version: int = 1, *, keys: Sequence[str] = CALLER_KEYS, **overrides: Any
) -> dict[str, Any]:
    """Returns a configuration for the endpoints of this installation.

    Args:
        version: Version of the configuration.
        keys: Caller keys of its only team.
        **overrides: Fields that override the defaults.
    """
    return installation_objects.make_config(version, list(keys), **overrides)


class LoopbackInstallation:
    """A running installation.

    Attributes:
        store: The store of the installation.
        session: HTTP client of its callers.
        store_address: Listening address of the store, as ``host:port``.
        endpoints: Endpoint stand-ins by endpoint id.
        addresses: Listening addresses of the endpoints, by endpoint id.
        daemons: The entry daemons.
    """

    __slots__ = (
        "addresses",
        "daemons",
        "endpoints",
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
        self.endpoints: dict[str, EndpointStandIn] = {}
        self.addresses: dict[str, str] = {}
        self.daemons: list[EntryDaemon] = []

    def put_endpoint(
        self, endpoint: str, service: str, **overrides: Any
    ) -> None:
        """Writes an endpoint's entry into the store."""
        installation_objects.put_endpoint(
            self.store,
            endpoint,
            service,
            self.addresses[endpoint],
            born=self.endpoints[endpoint].boot_ms,
            **overrides,
        )

    @property
    def received_requests(self) -> list[ReceivedRequest]:
        """Requests that the endpoints have received."""
        return [
            request
            for endpoint in self.endpoints.values()
            for request in endpoint.received_requests
        ]

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
            daemon: Number of the daemon that receives the request.
            tokens: Prompt and answer tokens, separated by a comma; empty for
                a plain request.
            key: The caller's key.
            headers: Headers that override the defaults.
            body: Request body; sent with POST only.
        """
        request_id = f"request-{next(_request_ids)}"
        sent_headers = request_headers(request_id, key, tokens=tokens) | (
            headers or {}
        )
        data = body if method == "POST" else None
        async with self.session.request(
            method, self.url(daemon) + path, headers=sent_headers, data=data
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
    plain_services: int = 2,
    daemons: int = 1,
    initial_config: dict[str, Any] | None = None,
) -> AsyncIterator[LoopbackInstallation]:
    """Runs an installation until the context ends; yields it once ready.

    Args:
        engines: Number of model engines.
        plain_services: Number of endpoints of the plain service.
        daemons: Number of entry daemons.
        initial_config: Initial configuration; None for the default one.
    """
    store = InstallationStore()
    async with contextlib.AsyncExitStack() as stack:
        listener = await stack.enter_async_context(
            open_http_server(store.make_app(), host="127.0.0.1", port=0)
        )
        fleet = LoopbackInstallation(
            store=store,
            session=await stack.enter_async_context(aiohttp.ClientSession()),
            store_address=f"127.0.0.1:{listener.port}",
        )
        services = {f"engine-{n}": "engines" for n in range(engines)}
        services |= {f"desk-{n}": "desk" for n in range(plain_services)}
        for name, service in services.items():
            endpoint = fleet.endpoints[name] = EndpointStandIn(endpoint_id=name)
            server = await stack.enter_async_context(
                open_http_server(endpoint, host="127.0.0.1", port=0)
            )
            fleet.addresses[name] = f"127.0.0.1:{server.port}"
            fleet.put_endpoint(name, service)
        installation_objects.put_config(store, initial_config or make_config())
        for number in range(daemons):
            settings = entry_settings(f"entry-{number}", fleet.store_address)
            daemon = await stack.enter_async_context(
                open_entry_daemon(settings)
            )
            fleet.daemons.append(daemon)
        await wait_until(lambda: all(daemon.ready for daemon in fleet.daemons))
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


async def wait_until(
    condition: Callable[[], bool], timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: The condition did not hold within `timeout_s`.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)


__all__ = [
    "CALLER_KEYS",
    "CallResult",
    "LoopbackInstallation",
    "entry_settings",
    "make_config",
    "open_installation",
    "wait_until",
]

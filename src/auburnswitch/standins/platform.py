"""Simulates the platform: object API and instance list."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.standins.control import set_switches
from auburnswitch.standins.history import History
from auburnswitch.standins.instances import (
    DEFAULT_INSTANCES_LAG_S,
    InstanceList,
    InstanceState,
)
from auburnswitch.standins.listener import Listener, open_listener
from auburnswitch.standins.object_store import DEFAULT_KEPT_EVENTS, ObjectStore
from auburnswitch.standins.platform_api import platform_app
from auburnswitch.standins.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

DEFAULT_WRITES_PER_SECOND: Final = 300.0
DEFAULT_READS_PER_SECOND: Final = 2_000.0
DEFAULT_MAX_VALUE_BYTES: Final = 1_000_000
SWITCHES: Final = frozenset(
    {"outage", "silent", "delay_s", "lose_answers", "hang_lost", "watch_broken"}
)


class PlatformStandIn:
    """Object API with rate limits and injectable faults.

    Attributes:
        name: Actor name in the history.
        history: Receives a record of each accepted write and lost response.
        store: Stores the objects.
        instances: The instance list.
        max_value_bytes: Maximum size of a value.
        calls: Number of calls by kind.
        statuses: Number of responses by status.
        write_limiter: Rate limit of writes.
        read_limiter: Rate limit of reads.
        delay_s: Delay of each call.
        lose_answers: Number of next accepted writes whose responses are lost.
        hang_lost: Whether a lost response hangs instead of aborting the
            connection.
        watch_broken: Whether watches return no events.
    """

    __slots__ = (
        "_listener",
        "_outage",
        "_responding",
        "calls",
        "delay_s",
        "hang_lost",
        "history",
        "instances",
        "lose_answers",
        "max_value_bytes",
        "name",
        "read_limiter",
        "statuses",
        "store",
        "watch_broken",
        "write_limiter",
    )

    def __init__(
        self,
        *,
        name: str = "platform",
        history: History | None = None,
        writes_per_second: float = DEFAULT_WRITES_PER_SECOND,
        reads_per_second: float = DEFAULT_READS_PER_SECOND,
        max_value_bytes: int = DEFAULT_MAX_VALUE_BYTES,
        kept_events: int = DEFAULT_KEPT_EVENTS,
        instances_lag_s: float = DEFAULT_INSTANCES_LAG_S,
    ) -> None:
        self.name = name
        self.history = history if history is not None else History()
        self.store = ObjectStore(kept_events=kept_events)
        self.instances = InstanceList(lag_s=instances_lag_s)
        self.max_value_bytes = max_value_bytes
        self.calls: collections.Counter[str] = collections.Counter()
        self.statuses: collections.Counter[int] = collections.Counter()
        self.write_limiter = TokenBucket(
            rate=writes_per_second, burst=writes_per_second
        )
        self.read_limiter = TokenBucket(
            rate=reads_per_second, burst=reads_per_second
        )
        self.delay_s = 0.0
        self.lose_answers = 0
        self.hang_lost = False
        self.watch_broken = False
        self._outage = False
        self._responding = asyncio.Event()
        self._responding.set()
        self._listener: Listener | None = None

    @property
    def url(self) -> str:
        """Base URL of the API."""
        return self.listener.url

    @property
    def listener(self) -> Listener:
        """The listener, once it has opened."""
        assert self._listener is not None
        return self._listener

    @property
    def outage(self) -> bool:
        """Whether all calls are answered 503, including pending watches."""
        return self._outage

    @outage.setter
    def outage(self, value: bool) -> None:
        self._outage = value
        self.store.notify_all_waiters()

    @property
    def silent(self) -> bool:
        """Whether calls get no response until this is switched off."""
        return not self._responding.is_set()

    @silent.setter
    def silent(self, value: bool) -> None:
        if value:
            self._responding.clear()
        else:
            self._responding.set()

    async def wait_until_not_silent(self) -> None:
        """Returns once calls get responses."""
        await self._responding.wait()

    def apply_control(self, switches: dict[str, Any]) -> None:
        """Sets switches by name and updates the instance list."""
        remaining = dict(switches)
        added = remaining.pop("instances", [])
        removed = remaining.pop("removed_instances", [])
        set_switches(self, remaining, SWITCHES)
        for entry in added:
            state = InstanceState(entry.get("state", "live"))
            self.instances.set(entry["name"], entry["zone"], state)
        for name in removed:
            self.instances.remove(name)

    @contextlib.asynccontextmanager
    async def serve(self, *, host: str, port: int) -> AsyncIterator[None]:
        """Serves the API until the context exits."""
        app = platform_app(self)
        async with open_listener(app, host=host, port=port) as listener:
            self._listener = listener
            yield


@contextlib.asynccontextmanager
async def open_platform(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    history: History | None = None,
    **options: Any,
) -> AsyncIterator[PlatformStandIn]:
    """Serves a platform stand-in until the context exits.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 selects a free port.
        history: Receives a record of each accepted write and lost response.
        **options: Further options of `PlatformStandIn`.

    Yields:
        The stand-in.
    """
    platform = PlatformStandIn(history=history, **options)
    async with platform.serve(host=host, port=port):
        yield platform


__all__ = ["PlatformStandIn", "open_platform"]

"""A stand-in of the platform: object API and instance list."""

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
    """Object API with rate limits and switches for its faults.

    Attributes:
        name: Actor in the history.
        history: Where accepted writes are recorded.
        store: The objects.
        instances: The instance list.
        max_value_bytes: Largest value.
        calls: Counts of calls by kind.
        statuses: Counts of answers by status.
        write_limiter: Rate limit of writes.
        read_limiter: Rate limit of reads.
        delay_s: Time that each call takes.
        lose_answers: Writes, from now on, whose answers are lost.
        hang_lost: A lost answer never comes, instead of a broken connection.
        watch_broken: Watches see no events.
    """

    __slots__ = (
        "_listener",
        "_outage",
        "_unsilenced",
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
        self._unsilenced = asyncio.Event()
        self._unsilenced.set()
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
        """Whether every call is answered 503, waiting watches too."""
        return self._outage

    @outage.setter
    def outage(self, value: bool) -> None:
        self._outage = value
        self.store.notify_all_waiters()

    @property
    def silent(self) -> bool:
        """Whether no call is answered until this is off again."""
        return not self._unsilenced.is_set()

    @silent.setter
    def silent(self, value: bool) -> None:
        if value:
            self._unsilenced.clear()
        else:
            self._unsilenced.set()

    async def wait_until_not_silent(self) -> None:
        """Returns once calls are answered."""
        await self._unsilenced.wait()

    def apply_control(self, switches: dict[str, Any]) -> None:
        """Sets switches by name and changes the instance list."""
        others = dict(switches)
        added = others.pop("instances", [])
        removed = others.pop("removed_instances", [])
        set_switches(self, others, SWITCHES)
        for entry in added:
            state = InstanceState(entry.get("state", "live"))
            self.instances.set(entry["name"], entry["zone"], state)
        for name in removed:
            self.instances.remove(name)

    @contextlib.asynccontextmanager
    async def serve(self, *, host: str, port: int) -> AsyncIterator[None]:
        """Listens until the context ends."""
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
    """Serves a platform stand-in until the context ends.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 takes a free one.
        history: Where it records what it does.
        **options: Further options of `PlatformStandIn`.

    Yields:
        The stand-in.
    """
    platform = PlatformStandIn(history=history, **options)
    async with platform.serve(host=host, port=port):
        yield platform


__all__ = ["PlatformStandIn", "open_platform"]

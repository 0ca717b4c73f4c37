"""Reserves memory at several engines for a prompt too large for one."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.observe.logs import log_event
from auburnswitch.platform.requests import PrefillHelper
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.routing.endpoint_selector import Placement
    from auburnswitch.schema.installation import EndpointEntry

RESERVATION_LEASE_MS: Final = (
    3400  # an engine frees it by itself if this daemon dies
)
RENEW_INTERVAL_S: Final = 1.0
MAX_RELEASE_ATTEMPTS: Final = 3
RELEASE_RETRY_DELAY_S: Final = 0.3


@dataclass(slots=True, kw_only=True)
class MemoryRefusal:
    """Some engines did not grant a reservation; none is kept.

    Attributes:
        endpoints: Their ids.
    """

    endpoints: list[str]


class MemoryReservations:
    """Makes, renews and ends reservations, all of a prompt or none.

    Attributes:
        calls: Calls to endpoints.
        prefix: Start of all keys, unique to this process.
        release_tasks: Tasks that still end reservations.
    """

    __slots__ = ("_number", "calls", "prefix", "release_tasks")

    def __init__(self, *, calls: PlatformEndpointClient, prefix: str) -> None:
        self.calls = calls
        self.prefix = prefix
        self.release_tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    @contextlib.asynccontextmanager
    async def reserve(
        self, request_id: str, placement: Placement
    ) -> AsyncIterator[list[PrefillHelper] | MemoryRefusal]:
        """Reserves a placement's memory until the context ends.

        Yields:
            The placement's helpers with their reservations, or the engines
            that did not grant one.
        """
        holders = [known.entry for known in placement.holders()]
        readers = [
            PrefillHelper(endpoint=known.entry)
            for known in placement.helpers[len(holders) :]
        ]
        if not holders:
            yield readers
            return
        self._number += 1
        key = f"{self.prefix}-{self._number}"
        tokens = placement.item.helper_memory_tokens
        try:
            refused = await self._reserve_all(holders, key, tokens)
            log_event(
                EventId.MEMORY_RESERVED,
                request=request_id,
                key=key,
                tokens=tokens,
                endpoints=[endpoint.id for endpoint in holders],
                refused=refused,
            )
            if refused:
                yield MemoryRefusal(endpoints=refused)
                return
            renewing = asyncio.create_task(self._renew(holders, key, tokens))
            try:
                held = [
                    PrefillHelper(endpoint=endpoint, reservation=key)
                    for endpoint in holders
                ]
                yield [*held, *readers]
            finally:
                renewing.cancel()
        finally:
            for endpoint in holders:
                self._start_release(endpoint, key)

    async def _reserve_all(
        self, endpoints: list[EndpointEntry], key: str, tokens: int
    ) -> list[str]:
        """Returns the ids of the engines that did not grant it."""
        answers = await asyncio.gather(
            *(
                self.calls.reserve(
                    e, key=key, tokens=tokens, lease_ms=RESERVATION_LEASE_MS
                )
                for e in endpoints
            )
        )
        return [
            endpoint.id
            for endpoint, granted in zip(endpoints, answers, strict=True)
            if not granted
        ]

    async def _renew(
        self, endpoints: list[EndpointEntry], key: str, tokens: int
    ) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            await self._reserve_all(endpoints, key, tokens)

    def _start_release(self, endpoint: EndpointEntry, key: str) -> None:
        task = asyncio.create_task(self._release(endpoint, key))
        self.release_tasks.add(task)
        task.add_done_callback(self.release_tasks.discard)

    async def _release(self, endpoint: EndpointEntry, key: str) -> None:
        for _ in range(MAX_RELEASE_ATTEMPTS):
            if await self.calls.release(endpoint, key=key):
                return
            await asyncio.sleep(RELEASE_RETRY_DELAY_S)
        log_event(EventId.MEMORY_NOT_RELEASED, key=key, endpoint=endpoint.id)


__all__ = ["MemoryReservations", "MemoryRefusal"]

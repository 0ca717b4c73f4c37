"""Reserves KV cache memory on several engines for one large prompt."""

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

    from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint
    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.routing.availability.endpoint_availability import (
        EndpointAvailability,
    )
    from auburnswitch.routing.selection.placement import Placement
    from auburnswitch.schema.installation import EndpointEntry

# If this daemon terminates, the engine frees the memory after the lease.
RESERVATION_LEASE_MS: Final = 3400
RENEW_INTERVAL_S: Final = 1.0
MAX_RELEASE_ATTEMPTS: Final = 3
RELEASE_RETRY_DELAY_S: Final = 0.3


@dataclass(slots=True, kw_only=True)
class MemoryRefusal:
    """A refused reservation; reservations on other engines are released.

    Attributes:
        endpoints: Ids of the engines that did not grant it.
    """

    endpoints: list[str]


class MemoryReservations:
    """Reserves and renews memory on all holders of a prompt, or on none.

    Attributes:
        endpoint_client: Client for calls to endpoints.
        availability: Decides which endpoints may get new reservations;
            renewals and releases belong to requests that they already have.
        prefix: Prefix of all reservation keys, unique to this process.
        release_tasks: Running tasks that release reservations.
    """

    __slots__ = (
        "_number",
        "availability",
        "endpoint_client",
        "prefix",
        "release_tasks",
    )

    def __init__(
        self,
        *,
        endpoint_client: PlatformEndpointClient,
        availability: EndpointAvailability,
        prefix: str,
    ) -> None:
        self.endpoint_client = endpoint_client
        self.availability = availability
        self.prefix = prefix
        self.release_tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    @contextlib.asynccontextmanager
    async def reserve(
        self, request_id: str, placement: Placement
    ) -> AsyncIterator[list[PrefillHelper] | MemoryRefusal]:
        """Reserves a placement's memory until the context manager exits.

        Yields:
            The placement's helpers with their reservations, or the engines
            that did not grant one.
        """
        holders = [endpoint.entry for endpoint in placement.holders()]
        unreserved_helpers = [
            PrefillHelper(endpoint=endpoint.entry)
            for endpoint in placement.helpers[len(holders) :]
        ]
        if not holders:
            yield unreserved_helpers
            return
        withdrawn = self._find_withdrawn(placement.holders())
        if withdrawn:
            yield MemoryRefusal(endpoints=withdrawn)
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
            renewal_task = asyncio.create_task(
                self._renew(holders, key, tokens)
            )
            try:
                reserved_helpers = [
                    PrefillHelper(endpoint=endpoint, reservation=key)
                    for endpoint in holders
                ]
                yield [*reserved_helpers, *unreserved_helpers]
            finally:
                renewal_task.cancel()
        finally:
            for endpoint in holders:
                self._start_release(endpoint, key)

    def _find_withdrawn(self, holders: list[TrackedEndpoint]) -> list[str]:
        """Returns the ids of the engines that may get no new reservation."""
        return [
            endpoint.entry.id
            for endpoint in holders
            if not self.availability.is_usable(endpoint)
        ]

    async def _reserve_all(
        self, endpoints: list[EndpointEntry], key: str, tokens: int
    ) -> list[str]:
        """Returns the ids of the engines that did not grant a reservation."""
        grants = await asyncio.gather(
            *(
                self.endpoint_client.reserve(
                    e, key=key, tokens=tokens, lease_ms=RESERVATION_LEASE_MS
                )
                for e in endpoints
            )
        )
        return [
            endpoint.id
            for endpoint, granted in zip(endpoints, grants, strict=True)
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
            if await self.endpoint_client.release(endpoint, key=key):
                return
            await asyncio.sleep(RELEASE_RETRY_DELAY_S)
        log_event(EventId.MEMORY_NOT_RELEASED, key=key, endpoint=endpoint.id)


__all__ = ["MemoryReservations", "MemoryRefusal"]

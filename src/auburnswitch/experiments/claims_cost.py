"""Measures claim throughput and store writes per claim.

Compares claims that are committed in groups with a baseline that writes one
object per claim and writes it again for the outcome, on the same platform
stand-in and arrivals.

Usage: python -m auburnswitch.experiments.claims_cost [--seconds 4]
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import zlib
from typing import TYPE_CHECKING, Any, Final, Protocol

import aiohttp
import fire

from auburnswitch.claims.claim_store import ClaimStore, hash_key
from auburnswitch.claims.shard import (
    ClaimAcquired,
    ClaimOutcome,
    ClaimUnavailable,
)
from auburnswitch.claims.shard_writer import PendingChange
from auburnswitch.clock import WallClock, monotonic_s
from auburnswitch.object_store.client import (
    ABSENT,
    CallPriority,
    ObjectStoreClient,
)
from auburnswitch.observe.tasks import open_task_set
from auburnswitch.schema.base import to_json
from auburnswitch.schema.objects import Claim, ClaimState
from auburnswitch.schema.settings import PlatformSettings
from auburnswitch.standins.platform import PlatformStandIn, open_platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

DAEMON_COUNT: Final = 9
SHARD_COUNT: Final = 16
STORE_DELAY_S: Final = 0.003
PEER_DELAY_S: Final = 0.001
SERVICE_TIME_S: Final = 0.05
RATES_PER_S: Final = (20, 100, 400, 1200)
ANSWER_BODY: Final = b'{"id": "b1", "slot": "09:00"}' * 4
_TABLE_HEADER: Final = (
    "store     offered/s  claimed/s  refused  writes/claim  conflicts  "
    "bytes/claim  p50 ms  p95 ms"
)


class ClaimBackend(Protocol):
    """The interface that both claim backends implement."""

    async def claim(
        self, key_hash: str, request_hash: str, *, time_left_s: float
    ) -> ClaimOutcome | None:
        """Claims an idempotency key."""

    async def record(
        self, claim: Claim, status: int, content_type: str, body: bytes
    ) -> None:
        """Records the response of a claimed request."""


class PerObjectClaimBackend:
    """Baseline that stores each claim as one object and rewrites it once."""

    __slots__ = ("store",)

    def __init__(self, *, store: ObjectStoreClient) -> None:
        self.store = store

    async def claim(
        self, key_hash: str, request_hash: str, *, time_left_s: float
    ) -> ClaimOutcome | None:
        """Claims a key by creating its object."""
        claim = Claim(
            key_hash=key_hash,
            request_hash=request_hash,
            deadline_at=monotonic_s() + time_left_s,
        )
        put = await self.store.put(
            f"claims/{key_hash}",
            to_json(claim),
            expected_version=ABSENT,
            priority=CallPriority.CLAIM,
        )
        return ClaimAcquired(claim=claim) if put.is_ok() else None

    async def record(
        self, claim: Claim, status: int, content_type: str, body: bytes
    ) -> None:
        """Rewrites the claim's object with the response."""
        claim.state, claim.status = ClaimState.DONE, status
        claim.content_type, claim.body = content_type, body.decode()
        await self.store.put(
            f"claims/{claim.key_hash}",
            to_json(claim),
            priority=CallPriority.CLAIM,
        )


class BookingLoad:
    """Generates bookings at a given rate, spread over all daemons.

    Attributes:
        latencies_s: Latency of each successful claim, in seconds.
        refused: Number of failed claims.
        rng: Random generator of arrival times, keys and daemons.
    """

    __slots__ = ("latencies_s", "refused", "rng")

    def __init__(self) -> None:
        self.latencies_s: list[float] = []
        self.refused = 0
        self.rng = random.Random(1)

    async def run(
        self, backends: list[ClaimBackend], rate_per_s: float, seconds: float
    ) -> float:
        """Sends bookings; returns the time until the last ended, in seconds."""
        started = time.perf_counter()
        async with asyncio.TaskGroup() as group:
            at_s = 0.0
            while (at_s := at_s + self.rng.expovariate(rate_per_s)) < seconds:
                wait_s = started + at_s - time.perf_counter()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                key = hash_key("team", "service", str(self.rng.random()))
                group.create_task(self._book(self.rng.choice(backends), key))
        return time.perf_counter() - started

    async def _book(self, backend: ClaimBackend, key: str) -> None:
        started = time.perf_counter()
        match await backend.claim(key, "", time_left_s=10):
            case ClaimAcquired(claim=claim):
                self.latencies_s.append(time.perf_counter() - started)
                await asyncio.sleep(SERVICE_TIME_S)
                await backend.record(
                    claim, 201, "application/json", ANSWER_BODY
                )
            case _:
                self.refused += 1


@contextlib.asynccontextmanager
async def open_claim_backends(
    platform: PlatformStandIn, *, grouped: bool
) -> AsyncIterator[list[ClaimBackend]]:
    """Opens one claim backend per daemon."""
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(open_task_set())
        backends: list[ClaimBackend] = []
        for number in range(DAEMON_COUNT):
            session = await stack.enter_async_context(
                aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
            )
            settings = PlatformSettings(
                url=platform.url, claim_shards=SHARD_COUNT
            )
            store = ObjectStoreClient(
                settings=settings,
                session=session,
                count_daemons=lambda: DAEMON_COUNT,
            )
            if not grouped:
                backends.append(PerObjectClaimBackend(store=store))
                continue
            claim_store = ClaimStore(
                store=store,
                settings=settings,
                clock=WallClock(),
                member_id=str(number),
                tasks=tasks,
                seed=number,
            )
            backends.append(claim_store)
        if grouped:
            _connect_stores(backends)
        yield backends


def _connect_stores(stores: list[Any]) -> None:
    """Makes every store forward a shard's changes to one committing store.

    Each forwarded change is delayed by `PEER_DELAY_S`, one round trip between
    daemons.
    """

    async def forward(
        shard: str, pending: PendingChange
    ) -> ClaimOutcome | None:
        committer = stores[zlib.crc32(shard.encode()) % len(stores)]
        await asyncio.sleep(PEER_DELAY_S)
        peer_change = PendingChange(change=pending.change, for_peer=True)
        outcome = await committer.commit_for_peer(peer_change, 1.0)
        pending.written = peer_change.written
        return None if isinstance(outcome, ClaimUnavailable) else outcome

    for store in stores:
        store.forward = forward


async def measure(rate_per_s: float, seconds: float, *, grouped: bool) -> str:
    """Measures one claim backend at one rate; returns a table row.

    Args:
        rate_per_s: Offered bookings per second.
        seconds: Time over which bookings arrive, in seconds.
        grouped: Whether to commit claims in groups rather than to write
            one object per claim.
    """
    async with (
        open_platform() as platform,
        open_claim_backends(platform, grouped=grouped) as backends,
    ):
        platform.delay_s = STORE_DELAY_S
        load = BookingLoad()
        took_s = await load.run(backends, rate_per_s, seconds)
        claimed = len(load.latencies_s)
        latencies_s = sorted(load.latencies_s) or [0.0]
        sizes_bytes = [
            len(str(stored.value)) for stored in platform.store.objects.values()
        ]
        return (
            f"{'grouped' if grouped else 'one each':8}  {rate_per_s:9}  "
            f"{claimed / took_s:9.0f}  {load.refused:7}  "
            f"{platform.calls['put'] / max(1, claimed):12.2f}  "
            f"{platform.statuses[412]:9}  "
            f"{sum(sizes_bytes) / max(1, claimed):11.0f}  "
            f"{1000 * latencies_s[len(latencies_s) // 2]:6.1f}  "
            f"{1000 * latencies_s[len(latencies_s) * 95 // 100]:6.1f}"
        )


async def run_all(seconds: float) -> None:
    """Prints a table row for each rate and claim backend."""
    print(_TABLE_HEADER)
    for rate_per_s in RATES_PER_S:
        for grouped in (False, True):
            print(
                await measure(rate_per_s, seconds, grouped=grouped), flush=True
            )


def main(seconds: float = 4.0) -> None:
    """Runs the measurement.

    Args:
        seconds: Time over which bookings arrive at each rate, in seconds.
    """
    asyncio.run(run_all(min(seconds, 60.0)))


if __name__ == "__main__":
    fire.Fire(main)


__all__ = ["PerObjectClaimBackend", "main", "measure"]

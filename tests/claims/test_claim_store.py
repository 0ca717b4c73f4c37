"""Tests of claims and of the shards that store them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import unittest

from auburnswitch.claims.claim_store import (
    AlreadyClaimed,
    ClaimAcquired,
    ClaimStore,
    ClaimUnavailable,
    hash_key,
)
from auburnswitch.claims.shard import AddClaim, root_shard
from auburnswitch.claims.shard_writer import PendingChange
from auburnswitch.clock import WallClock
from auburnswitch.object_store.client import ObjectStoreClient, VersionConflict
from auburnswitch.observe.tasks import open_task_set
from auburnswitch.schema.settings import PlatformSettings
from auburnswitch.standins.platform import open_platform
from tests.virtual_time import open_session, run_virtual


@contextlib.asynccontextmanager
async def open_claims(
    count: int = 1, platform_options=None, members: int = 1, **settings
):
    """Opens a platform and the claim stores of some daemons."""
    async with contextlib.AsyncExitStack() as stack:
        platform = await stack.enter_async_context(
            open_platform(**(platform_options or {}))
        )
        stores = []
        for number in range(count):
            session = await stack.enter_async_context(open_session())
            values = PlatformSettings(url=platform.url, **settings)
            claims = ClaimStore(
                store=ObjectStoreClient(
                    settings=values,
                    session=session,
                    count_daemons=lambda: members,
                ),
                settings=values,
                clock=WallClock(offset_s=1e9),
                member_id=f"entry-{number}.0",
                tasks=await stack.enter_async_context(open_task_set()),
                seed=number,
            )
            stores.append(claims)
        yield platform, stores


async def claim(claims: ClaimStore, key: str, *, time_left_s: float = 10):
    """Claims a key of one team."""
    return await claims.claim(
        hash_key("t", "s", key), "same", time_left_s=time_left_s
    )


class BatchTest(unittest.TestCase):
    def test_claims_of_a_shard_share_a_write(self):
        async def scenario():
            async with open_claims(claim_shards=4) as (platform, stores):
                await claim(stores[0], "first")
                before = platform.calls["put"]
                outcomes = await asyncio.gather(
                    *(claim(stores[0], str(n)) for n in range(200))
                )
                kinds = {type(outcome) for outcome in outcomes}
                return kinds, platform.calls["put"] - before

        kinds, writes = run_virtual(scenario)
        self.assertEqual(kinds, {ClaimAcquired})
        self.assertLessEqual(writes, 12)

    def test_large_fleet_does_not_starve_the_committing_daemon(self):
        async def scenario():
            async with open_claims(members=410) as (platform, stores):
                kinds = set()
                for number in range(100):
                    key = str(number)
                    outcome = await claim(stores[0], key)
                    kinds.add(type(outcome))
                    await stores[0].record(outcome.claim, 201, "", b"")
                    await asyncio.sleep(0.1)
                now = asyncio.get_running_loop().time()
                return kinds, platform.calls["put"] / now

        kinds, writes_per_second = run_virtual(scenario)
        self.assertEqual(kinds, {ClaimAcquired})
        self.assertLess(writes_per_second, 150)

    def test_daemons_with_different_settings_use_the_same_shards(self):
        async def scenario():
            async with open_claims(2, claim_shards=4) as (_, stores):
                stores[1].settings.claim_shards = 7
                keys = [str(n) for n in range(20)]
                for key in keys:
                    await claim(stores[0], key)
                return [type(await claim(stores[1], key)) for key in keys]

        self.assertEqual(set(run_virtual(scenario)), {AlreadyClaimed})

    def test_expired_claims_are_pruned(self):
        async def scenario():
            async with open_claims(claim_shards=1, claim_retention_s=100) as (
                platform,
                stores,
            ):
                for key in ("a", "b"):
                    await claim(stores[0], key, time_left_s=10)
                await asyncio.sleep(100)
                kept = await claim(stores[0], "a")
                await asyncio.sleep(20)
                expired = await claim(stores[0], "a")
                value = platform.store.objects["claims/0000"].value
                return type(kept), type(expired), len(value["claims"])

        self.assertEqual(
            run_virtual(scenario), (AlreadyClaimed, ClaimAcquired, 1)
        )

    def test_changes_with_another_nonce_are_ignored(self):
        async def scenario():
            async with open_claims(2) as (_, stores):
                altered = (await claim(stores[0], "a")).claim
                altered.nonce = "other"
                await claim(stores[1], "b")
                stores[1].drop(altered)
                stores[1].record_unknown(altered)
                await stores[1].flush(5)
                return await claim(stores[0], "a")

        outcome = run_virtual(scenario)
        self.assertIsInstance(outcome, AlreadyClaimed)
        self.assertEqual(outcome.claim.state, 0)

    def test_drop_makes_a_write_in_flight_fail(self):
        async def scenario():
            async with open_claims(claim_shards=1) as (platform, stores):
                claims = stores[0]
                dropped = (await claim(claims, "a")).claim
                version = platform.store.version("claims/0000")
                delayed_value = platform.store.objects["claims/0000"].value
                claims.drop(dropped)
                await claims.flush(5)
                claims.drop(dropped)
                await claims.flush(5)
                put = await claims.store.put(
                    "claims/0000", delayed_value, expected_version=version
                )
                final_version = platform.store.version("claims/0000")
                return put.error, final_version - version

        error, writes = run_virtual(scenario)
        self.assertIsInstance(error, VersionConflict)
        self.assertEqual(writes, 2)


class SplitTest(unittest.TestCase):
    def test_full_shards_are_split_and_keep_every_claim(self):
        async def scenario(count: int):
            async with open_claims(
                count, claim_shards=1, claim_split_bytes=4096
            ) as (platform, stores):
                rng = random.Random(1)
                keys = [str(n) for n in range(300)]
                first = await asyncio.gather(
                    *(claim(rng.choice(stores), key) for key in keys)
                )
                again = await asyncio.gather(
                    *(claim(rng.choice(stores), key) for key in keys)
                )
                shards = [
                    len(str(item.value))
                    for key, item in platform.store.objects.items()
                    if key.startswith("claims/")
                ]
                kinds = ({type(o) for o in first}, {type(o) for o in again})
                return kinds, len(shards), max(shards)

        for count in (1, 3):
            kinds, shards, largest = run_virtual(
                lambda count=count: scenario(count)
            )
            self.assertEqual(kinds, ({ClaimAcquired}, {AlreadyClaimed}))
            self.assertGreater(shards, 10)
            self.assertLess(largest, 100_000)

    def test_lost_answers_during_a_split(self):
        async def scenario(lost_at: int):
            async with open_claims(
                2, claim_shards=1, claim_split_bytes=1024
            ) as (platform, stores):
                keys = [str(n) for n in range(12)]
                for number, key in enumerate(keys):
                    if number == lost_at:
                        platform.lose_answers = 3
                    await claim(stores[number % 2], key)
                again = [await claim(stores[0], key) for key in keys]
                return {type(outcome) for outcome in again}

        for lost_at in range(12):
            with self.subTest(lost_at=lost_at):
                kinds = run_virtual(lambda lost_at=lost_at: scenario(lost_at))
                self.assertEqual(kinds, {AlreadyClaimed})

    def test_value_above_the_stores_limit_is_refused(self):
        async def scenario():
            async with open_claims(
                platform_options={"max_value_bytes": 300}, claim_shards=1
            ) as (_, stores):
                outcomes = [await claim(stores[0], key) for key in "abcdef"]
                again = [await claim(stores[0], key) for key in "abcdef"]
                return outcomes, again

        outcomes, again = run_virtual(scenario)
        for first, second in zip(outcomes, again, strict=True):
            if isinstance(first, ClaimAcquired):
                self.assertIsInstance(second, AlreadyClaimed)
            else:
                self.assertIsInstance(first, ClaimUnavailable)


class ForwardTest(unittest.TestCase):
    def test_lost_reply_of_the_committing_daemon(self):
        async def scenario():
            async with open_claims(2) as (platform, stores):
                requester, committer = stores

                async def forward(_, pending):
                    pending.written = True
                    forwarded = PendingChange(
                        change=pending.change, for_peer=True
                    )
                    await committer.commit_for_peer(forwarded, 1)

                requester.forward = forward
                outcome = await claim(requester, "a")
                again = await claim(committer, "a")
                return outcome, again, platform.calls["put"]

        outcome, again, puts = run_virtual(scenario)
        self.assertIsInstance(outcome, ClaimAcquired)
        self.assertIsInstance(again, AlreadyClaimed)
        self.assertEqual(puts, 2)

    def test_committing_daemon_leaves_drops_to_the_requester(self):
        async def scenario():
            async with open_claims(2) as (platform, stores):
                requester, committer = stores
                await claim(committer, "other")
                pending = PendingChange(
                    change=AddClaim(
                        claim=requester._new_claim("a" * 32, "", 10)
                    ),
                    for_peer=True,
                )
                platform.lose_answers, platform.hang_lost = 1, True
                outcome = await committer.commit_for_peer(pending, 1)
                await asyncio.sleep(10)
                key = (
                    f"claims/{root_shard('a' * 32, committer.shard_count):04d}"
                )
                stored = platform.store.objects[key].value["claims"]
                return outcome, pending.written, len(stored)

        outcome, written, stored = run_virtual(scenario)
        self.assertIsInstance(outcome, ClaimUnavailable)
        self.assertEqual((written, stored), (True, 1))

"""Tests of the limits of calls to the store."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import unittest

from auburnswitch.clock import monotonic_s
from auburnswitch.object_store.client import CallPriority, ObjectStoreClient
from auburnswitch.object_store.retry_after import parse_retry_after_s
from auburnswitch.schema.settings import PlatformSettings
from auburnswitch.standins.platform import open_platform
from tests.virtual_time import open_session, run_virtual


@contextlib.asynccontextmanager
async def open_store(members: int = 1, **settings):
    """Opens a platform and a client of its store."""
    async with open_platform() as platform, open_session() as session:
        values = PlatformSettings(url=platform.url, **settings)
        yield (
            platform,
            ObjectStoreClient(
                settings=values, session=session, count_daemons=lambda: members
            ),
        )


class RetryAfterTest(unittest.TestCase):
    def test_seconds_dates_and_unusable_values(self):
        now = datetime.datetime(2026, 12, 4, 12, tzinfo=datetime.UTC)
        for value, expected_s in (
            ("", 0),
            ("7", 7),
            ("2.5", 2.5),
            ("Fri, 04 Dec 2026 12:00:30 GMT", 30),
            ("Fri, 04 Dec 2026 11:00:00 GMT", 0),
            ("-3", 0),
            ("nan", 0),
            ("soon", 0),
            ("inf", 0),
            ("1e999", 0),
            ("Fri, 04 Dec 99999 12:00:30 GMT", 0),
            ("Fri, 04 Dec 99999999999999999999 12:00:30 GMT", 0),
            ("Fri, 04 Dec 2026 12:00:30 +99999999999999999999", 0),
        ):
            with self.subTest(value=value):
                self.assertEqual(parse_retry_after_s(value, now), expected_s)


class LimitTest(unittest.TestCase):
    def test_rate_is_a_share_of_the_fleet_rate(self):
        async def scenario():
            async with open_store(
                members=10, fleet_writes_per_second=100, call_timeout_s=60
            ) as (_, store):
                started = monotonic_s()
                await asyncio.gather(*(store.put(str(n), n) for n in range(60)))
                return monotonic_s() - started

        # 40 writes per second are not for claims: 4 for each of 10 daemons
        self.assertAlmostEqual(run_virtual(scenario), 14, delta=0.1)

    def test_concurrency_is_limited_and_claims_have_priority(self):
        async def scenario():
            async with open_store(max_concurrency=4) as (platform, store):
                platform.delay_s = 1.0
                ended: list[str] = []

                async def read(name: str, priority: CallPriority):
                    await store.get("a", priority=priority)
                    ended.append(name)

                tasks = [
                    asyncio.create_task(read("read", CallPriority.NORMAL))
                    for _ in range(3)
                ]
                await asyncio.sleep(0.1)
                tasks += [
                    asyncio.create_task(read("claim", CallPriority.CLAIM))
                    for _ in range(2)
                ]
                await asyncio.sleep(0.1)
                in_flight = platform.calls["get"]
                await asyncio.gather(*tasks)
                return in_flight, ended

        in_flight, ended = run_virtual(scenario)
        self.assertEqual(in_flight, 4)
        self.assertEqual(ended, ["read"] * 2 + ["claim"] * 2 + ["read"])


class BreakerTest(unittest.TestCase):
    def test_outage_of_one_hour(self):
        async def scenario(fault: str):
            async with open_store() as (platform, store):
                await store.put("a", 1)
                setattr(platform, fault, True)
                before = sum(platform.calls.values())
                waits_s = []
                for _ in range(3600):
                    started = monotonic_s()
                    await store.get("a")
                    waits_s.append(monotonic_s() - started)
                    await asyncio.sleep(max(0, 1 - waits_s[-1]))
                calls = sum(platform.calls.values()) - before
                setattr(platform, fault, False)
                await asyncio.sleep(2)
                return calls, sum(waits_s) / 3600, await store.get("a")

        for fault in ("outage", "silent"):
            with self.subTest(fault):
                calls, wait_s, read = run_virtual(
                    lambda fault=fault: scenario(fault)
                )
                self.assertLess(calls, 3600)
                self.assertLess(wait_s, 1.5)
                self.assertEqual(read.ok.value, 1)

    def test_rate_limited_calls_are_not_an_outage(self):
        async def scenario():
            async with open_store(calls_per_second=1000) as (platform, store):
                platform.read_limiter.rate = platform.read_limiter.burst = 5
                platform.read_limiter.tokens = 0
                read = [await store.get("a") for _ in range(8)]
                return read, store.breaker.failures

        read, failures = run_virtual(scenario)
        self.assertTrue(any(r.is_ok() for r in read))
        self.assertEqual(failures, 0)

"""Tests of the plain service and weight store stand-ins."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from auburnswitch.standins.history import HistoryKind
from auburnswitch.standins.plain_service import open_plain_service
from auburnswitch.standins.weight_store import open_weight_store
from tests.virtual_time import open_session, run_virtual


class PlainServiceTest(unittest.TestCase):
    def test_repeated_requests_run_again_and_are_recorded(self):
        async def run():
            async with (
                open_session() as session,
                open_plain_service(service_time_s=0.2) as service,
            ):
                headers = {"X-Request-Id": "r1", "Idempotency-Key": "k"}
                url = service.url + "/bookings"
                for _ in range(2):
                    async with session.post(
                        url, json={"slot": "09:00"}, headers=headers
                    ) as response:
                        self.assertEqual(response.status, 201)
                        booked = await response.json()
                async with session.get(f"{url}/{booked['id']}") as response:
                    self.assertEqual(await response.json(), booked)
                runs = list(service.history.select(HistoryKind.PLAIN_RUN))
                return booked, [run.fields["idempotency_key"] for run in runs]

        booked, keys = run_virtual(run)
        self.assertEqual(booked, {"id": "b2", "booking": {"slot": "09:00"}})
        self.assertEqual(keys, ["k", "k", ""])

    def test_failed_response_and_crash(self):
        async def run():
            async with (
                open_session() as session,
                open_plain_service(restart_s=1) as service,
            ):
                service.fail_next = 1
                url = service.url + "/bookings"
                async with session.post(url, json=1) as response:
                    self.assertEqual(response.status, 500)
                self.assertEqual(len(service.bookings), 1)
                call = asyncio.create_task(session.post(url, json=2))
                await asyncio.sleep(0.01)
                service.crash()
                with self.assertRaises(aiohttp.ServerDisconnectedError):
                    await call
                await asyncio.sleep(1.5)
                async with session.get(service.url + "/load") as response:
                    load = await response.json()
                return load, len(service.bookings)

        load, bookings = run_virtual(run)
        expected = {"boot_id": "plain-2", "running": 0, "leaving": False}
        self.assertEqual(load, expected)
        self.assertEqual(bookings, 1)

    def test_update_with_lost_response_takes_effect(self):
        async def run():
            async with (
                open_session() as session,
                open_plain_service() as service,
            ):
                url = service.url + "/bookings"
                async with session.post(url, json="a") as response:
                    await response.read()
                service.lose_answers = 1
                with self.assertRaises(aiohttp.ServerDisconnectedError):
                    await session.put(url + "/b1", json="b")
                changed = service.bookings["b1"]
                statuses = []
                for method in ("DELETE", "GET", "PUT"):
                    async with session.request(
                        method, url + "/b1", json="c"
                    ) as response:
                        statuses.append(response.status)
                return changed, statuses

        self.assertEqual(run_virtual(run), ("b", [200, 404, 404]))


class WeightStoreTest(unittest.TestCase):
    def test_rate_limit(self):
        async def run():
            async with (
                open_session() as session,
                open_weight_store(loads_per_second=0.1, burst_loads=1) as store,
            ):
                statuses = []
                for wait_s in (0, 5, 6):
                    await asyncio.sleep(wait_s)
                    url = store.url + "/weights/m/v1"
                    async with session.get(url) as response:
                        statuses.append(response.status)
                        retry_after = response.headers.get("Retry-After")
                        self.assertIn(retry_after, (None, "5"))
                return statuses

        self.assertEqual(run_virtual(run), [200, 429, 200])


if __name__ == "__main__":
    unittest.main()

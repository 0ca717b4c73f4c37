"""Tests of the platform stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import json
import unittest
from typing import Any

import aiohttp

from auburnswitch.standins.history import HistoryKind
from auburnswitch.standins.platform import open_platform
from tests.virtual_time import open_session, run_virtual


class Client:
    """Calls one platform stand-in."""

    def __init__(self, platform: Any, session: aiohttp.ClientSession) -> None:
        self.platform = platform
        self.session = session

    async def call(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any]:
        sent = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        async with self.session.request(
            method, self.platform.url + path, json=body, headers=sent
        ) as response:
            return response.status, json.loads(await response.text())


@contextlib.asynccontextmanager
async def open_client(**options: Any):
    async with open_session() as session, open_platform(**options) as platform:
        yield Client(platform, session)


class ObjectTest(unittest.TestCase):
    def test_conditional_writes(self):
        async def run():
            async with open_client() as client:
                path = "/objects/a/b"
                return [
                    await client.call("PUT", path, 1, If_None_Match="*"),
                    await client.call("PUT", path, 2, If_None_Match="*"),
                    await client.call("PUT", path, [3], If_Match="1"),
                    await client.call("PUT", path, 4, If_Match="1"),
                    await client.call("PUT", "/objects/c", 1, If_Match="1"),
                    await client.call("GET", path),
                    await client.call("DELETE", path, If_Match="1"),
                    await client.call("DELETE", path, If_Match="2"),
                    await client.call("GET", path),
                    await client.call("PUT", path, "x" * 1_000_000),
                ]

        responses = run_virtual(run)
        self.assertEqual(responses[0], (200, {"key": "a/b", "version": 1}))
        self.assertEqual(responses[1], (412, {"version": 1}))
        self.assertEqual(responses[2], (200, {"key": "a/b", "version": 2}))
        self.assertEqual(responses[3], (412, {"version": 2}))
        self.assertEqual(responses[4], (412, {"version": 0}))
        found = {"key": "a/b", "version": 2, "value": [3]}
        self.assertEqual(responses[5], (200, found))
        statuses = [status for status, _ in responses[6:]]
        self.assertEqual(statuses, [412, 200, 404, 413])

    def test_list_and_watch(self):
        async def run():
            async with open_client() as client:
                await client.call("PUT", "/objects/p/2", "two")
                await client.call("PUT", "/objects/p/1", "one")
                await client.call("PUT", "/objects/q/1", "other")
                _, listed = await client.call("GET", "/objects?prefix=p/")
                path = "/watch?prefix=p/&timeout=10&since="
                task = asyncio.create_task(client.call("GET", path + "3"))
                await asyncio.sleep(1)
                await client.call("PUT", "/objects/q/1", "other")
                await asyncio.sleep(1)
                self.assertFalse(task.done())
                await client.call("DELETE", "/objects/p/1")
                _, watched = await task
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                empty = await client.call("GET", path + "5")
                return listed, watched, empty, loop.time() - started_s

        listed, watched, empty, waited_s = run_virtual(run)
        keys = [item["key"] for item in listed["items"]]
        self.assertEqual((keys, listed["revision"]), (["p/1", "p/2"], 3))
        event = {"kind": "delete", "key": "p/1", "version": 5, "value": None}
        self.assertEqual(watched, {"events": [event], "revision": 5})
        self.assertEqual(empty, (200, {"events": [], "revision": 5}))
        self.assertAlmostEqual(waited_s, 10, delta=0.01)

    def test_watch_before_compacted_revision_is_rejected(self):
        async def run():
            async with open_client(kept_events=3) as client:
                for number in range(5):
                    await client.call("PUT", "/objects/a", number)
                old = await client.call("GET", "/watch?since=1&timeout=1")
                _, kept = await client.call("GET", "/watch?since=2&timeout=1")
                return old[0], len(kept["events"])

        self.assertEqual(run_virtual(run), (410, 3))


class FaultTest(unittest.TestCase):
    def test_rate_limits(self):
        async def run():
            async with open_client(writes_per_second=10) as client:
                calls = [
                    client.call("PUT", f"/objects/{i}", i) for i in range(15)
                ]
                responses = await asyncio.gather(*calls)
                await asyncio.sleep(0.55)
                later = [
                    await client.call("PUT", "/objects/a", 1) for _ in range(7)
                ]
                return [[a[0] for a in batch] for batch in (responses, later)]

        at_once, later = run_virtual(run)
        self.assertEqual(at_once.count(429), 5)
        self.assertEqual(later.count(429), 2)

    def test_writes_with_lost_responses_take_effect(self):
        async def run(hang: bool):
            async with open_client() as client:
                platform = client.platform
                platform.lose_answers, platform.hang_lost = 1, hang
                error = TimeoutError if hang else aiohttp.ClientError
                put = client.call("PUT", "/objects/a", 1, If_None_Match="*")
                with self.assertRaises(error):
                    await asyncio.wait_for(put, 5)
                lost = list(platform.history.select(HistoryKind.ANSWER_LOST))
                self.assertEqual(len(lost), 1)
                return await client.call("GET", "/objects/a")

        for hang in (False, True):
            status, found = run_virtual(lambda hang=hang: run(hang))
            self.assertEqual((status, found["version"]), (200, 1))

    def test_outage_silence_and_delay(self):
        async def run():
            async with open_client() as client:
                platform = client.platform
                watch = asyncio.create_task(client.call("GET", "/watch"))
                await asyncio.sleep(1)
                platform.outage = True
                statuses = [(await watch)[0]]
                statuses.append((await client.call("PUT", "/objects/a", 1))[0])
                platform.outage = False
                platform.silent = True
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(client.call("GET", "/objects"), 9)
                platform.silent = False
                platform.delay_s = 3.0
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                statuses.append((await client.call("GET", "/objects"))[0])
                return statuses, loop.time() - started_s, platform.calls["put"]

        statuses, took_s, puts = run_virtual(run)
        self.assertEqual((statuses, puts), ([503, 503, 200], 1))
        self.assertAlmostEqual(took_s, 3, delta=0.01)

    def test_broken_watch_returns_no_events_until_repaired(self):
        async def run():
            async with open_client() as client:
                client.platform.watch_broken = True
                await client.call("PUT", "/objects/a", 1)
                path = "/watch?since=0&timeout=2"
                _, broken = await client.call("GET", path)
                client.platform.watch_broken = False
                _, repaired = await client.call("GET", path)
                return broken, len(repaired["events"])

        broken, count = run_virtual(run)
        self.assertEqual(broken, {"events": [], "revision": 0})
        self.assertEqual(count, 1)

    def test_instance_list_lags(self):
        async def run():
            async with open_client(instances_lag_s=2) as client:
                body = {"instances": [{"name": "i1", "zone": "z1"}]}
                await client.call("POST", "/control", body)
                _, early = await client.call("GET", "/instances")
                await asyncio.sleep(2.1)
                _, late = await client.call("GET", "/instances")
                return early["instances"], late["instances"]

        early, late = run_virtual(run)
        self.assertEqual(early, [])
        expected = {"name": "i1", "zone": "z1", "state": "live"}
        self.assertEqual(late, [expected])


if __name__ == "__main__":
    unittest.main()

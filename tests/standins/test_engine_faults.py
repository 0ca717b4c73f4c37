"""Tests of the engine stand-in's faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
import unittest
from typing import TYPE_CHECKING

import aiohttp

from auburnswitch.standins.history import HistoryKind
from auburnswitch.standins.listener import Pause
from tests.standins.engine_client import EngineClient, open_client
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from auburnswitch.standins.engine import EngineStandIn


class ColdTest(unittest.TestCase):
    def test_overload_crashes_a_cold_engine(self):
        async def run():
            async with open_client(
                starts_warm=False, cold_max_running=2, restart_s=5
            ) as client:
                engine = client.engine
                boot_id = engine.boot_id
                results = await asyncio.gather(
                    *(client.complete("x", 50, f"r{i}") for i in range(3)),
                    return_exceptions=True,
                )
                with self.assertRaises(aiohttp.ClientConnectorError):
                    await client.call("GET", "/load")
                await asyncio.sleep(5.5)
                _, load = await client.call("GET", "/load")
                status, _ = await client.complete("x", 2)
                crash = next(engine.history.select(HistoryKind.CRASHED))
                return results, boot_id, load, status, crash

        results, boot_id, load, status, crash = run_virtual(run)
        for result in results:
            self.assertIsInstance(result, aiohttp.ServerDisconnectedError)
        self.assertNotEqual(load["boot_id"], boot_id)
        self.assertEqual(load["memory_used_tokens"], 0)
        self.assertEqual(status, 200)
        self.assertEqual(len(crash.fields["in_flight"]), 3)

    def test_successes_end_cold_state_and_turn_cold_restores_it(self):
        async def run():
            async with open_client(
                starts_warm=False, warm_after=2, cold_max_running=1
            ) as client:
                await client.complete("x", 2, "r1")
                await client.complete("x", 2, "r2")
                warm_results = await asyncio.gather(
                    client.complete("x", 2, "r3"), client.complete("x", 2, "r4")
                )
                client.engine.turn_cold()
                overload_results = await asyncio.gather(
                    client.complete("x", 2, "r5"),
                    client.complete("x", 2, "r6"),
                    return_exceptions=True,
                )
                return [status for status, _ in warm_results], overload_results

        warm_results, overload_results = run_virtual(run)
        self.assertEqual(warm_results, [200, 200])
        self.assertTrue(all(isinstance(c, Exception) for c in overload_results))

    def test_prompt_tokens_count_towards_cold_limit(self):
        async def run():
            async with open_client(
                starts_warm=False, cold_max_tokens=100
            ) as client:
                self.assertEqual((await client.complete("x" * 400))[0], 200)
                with self.assertRaises(aiohttp.ClientError):
                    await client.complete("x" * 404, request_id="r2")

        run_virtual(run)


class CrashTest(unittest.TestCase):
    def test_crash_marker_crashes_engine_at_end_of_prefill(self):
        async def run():
            async with open_client() as client:
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                prompt = "x" * 40_000 + "crash-the-engine"
                with self.assertRaises(aiohttp.ClientError):
                    await client.complete(prompt, stream=True)
                return loop.time() - started_s

        self.assertAlmostEqual(run_virtual(run), 0.5, delta=0.01)

    def test_crash_clears_streams_and_caches(self):
        async def run():
            async with open_client(restart_s=1) as client:
                await client.complete("x" * 4_000, 2)
                await client.call("POST", "/v1/prefill", {"prompt": "hello"})
                client.engine.crash()
                await asyncio.sleep(1.5)
                _, kv = await client.call("GET", "/v1/kv")
                _, streams = await client.call("GET", "/v1/streams")
                _, answer = await client.complete("x" * 4_000, 2)
                return kv, streams, answer["usage"]["cached_tokens"]

        self.assertEqual(run_virtual(run), ({"caches": []}, {"streams": []}, 0))

    def test_silent_restart_leaves_requests_unanswered(self):
        async def run():
            async with open_client(restart_s=5, restart_silent=True) as client:
                client.engine.crash()
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(client.call("GET", "/load"), 2)
                with self.assertRaises(aiohttp.ClientError):
                    await client.call("GET", "/load")
                return await client.call("GET", "/load")

        self.assertEqual(run_virtual(run)[0], 200)

    def test_freeze_delays_stream_without_losing_events(self):
        async def run():
            async with open_client() as client:
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                task = asyncio.create_task(
                    client.complete("x", 40, stream=True)
                )
                await asyncio.sleep(0.5)
                client.engine.freeze(10)
                _, events = await task
                return len(events), loop.time() - started_s

        count, took_s = run_virtual(run)
        self.assertEqual(count, 40)
        self.assertTrue(10.5 < took_s < 12)

    def test_pause_ends_between_two_clock_ticks(self):
        async def run():
            pause = Pause()
            pause.extend(0.1234564)
            task = asyncio.create_task(pause.wait())
            await asyncio.sleep(0.123456)
            for _ in range(100):  # the virtual clock does not advance here
                await asyncio.sleep(0)
            return task.done()

        self.assertTrue(run_virtual(run))

    def test_crash_ends_a_freeze(self):
        async def run():
            async with open_client(restart_s=1) as client:
                client.engine.freeze(60)
                task = asyncio.create_task(client.complete("x"))
                await asyncio.sleep(2)
                client.engine.crash()
                with self.assertRaises(aiohttp.ClientError):
                    await task
                await asyncio.sleep(1.5)
                return await asyncio.wait_for(client.complete("x"), 5)

        self.assertEqual(run_virtual(run)[0], 200)


class RandomRunTest(unittest.TestCase):
    def test_memory_accounting_under_random_load(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                run_virtual(lambda seed=seed: self.run_random(seed))

    def test_same_seed_same_history(self):
        dumps = [run_virtual(lambda: self.run_random(7)) for _ in range(2)]
        self.assertIn('"kind":"crashed"', dumps[0])
        self.assertEqual(dumps[0], dumps[1])

    async def run_random(self, seed: int) -> str:
        rng = random.Random(seed)
        async with open_client(memory_tokens=9_000, restart_s=1) as client:
            tasks = []
            for number in range(150):
                work = self.run_request(client, rng, f"r{number}")
                tasks.append(asyncio.create_task(work))
                await asyncio.sleep(rng.expovariate(10))
                self.check_memory(client.engine)
            await asyncio.gather(*tasks)
            for kv_id in list(client.engine.job_table.kv_caches):
                await client.call("DELETE", f"/v1/kv/{kv_id}")
            await asyncio.sleep(60)
            self.assertEqual(client.engine.batch.memory_used_tokens, 0)
            self.assertEqual(client.engine.batch.jobs(), [])
            return client.engine.history.dump()

    async def run_request(
        self, client: EngineClient, rng: random.Random, name: str
    ) -> None:
        prompt = rng.choice("abc") * rng.randint(1, 20_000)
        timeout_s = rng.expovariate(0.5)
        cancels, crashes = rng.random() < 0.3, rng.random() < 0.03
        if rng.random() < 0.3:
            call = client.call("POST", "/v1/prefill", {"prompt": prompt}, name)
        else:
            priority = rng.randint(0, 2)
            call = client.complete(prompt, 9, name, priority=priority)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await asyncio.wait_for(call, timeout_s)
        if crashes:
            client.engine.crash()
        if cancels:
            with contextlib.suppress(aiohttp.ClientError):
                await client.call("DELETE", f"/v1/streams/{name}/1")

    def check_memory(self, engine: EngineStandIn) -> None:
        batch = engine.batch
        retained = [
            job
            for job in engine.job_table.kv_caches.values()
            if job.kv_retained
        ]
        running = [*batch.prefilling, *batch.decoding, *retained]
        used = sum(job.memory_tokens for job in running)
        self.assertEqual(batch.memory_used_tokens, used)
        self.assertLessEqual(used, engine.options.memory_tokens)


if __name__ == "__main__":
    unittest.main()

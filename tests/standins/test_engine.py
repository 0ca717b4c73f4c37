"""Tests of the engine stand-in in normal operation."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.standins.answers import answer_text, prompt_digest
from auburnswitch.standins.engine import open_engine
from auburnswitch.standins.engine_options import EngineOptions
from tests.standins.engine_client import (
    EngineClient,
    join_text,
    open_client,
)
from tests.virtual_time import run_virtual


class StreamTest(unittest.TestCase):
    def test_stream_contains_complete_answer(self):
        async def run():
            async with open_client() as client:
                return await client.complete("hello", 5, stream=True)

        status, events = run_virtual(run)
        self.assertEqual(status, 200)
        expected = answer_text(prompt_digest("hello"), 5)
        self.assertEqual(join_text(events), expected)
        self.assertEqual(
            [event["sequence"] for event in events], list(range(5))
        )
        self.assertEqual(
            {(event["id"], event["attempt"]) for event in events}, {("r1", 1)}
        )
        reasons = [event["choices"][0]["finish_reason"] for event in events]
        self.assertEqual(reasons, [None] * 4 + ["length"])
        self.assertEqual(
            events[-1]["usage"],
            {"prompt_tokens": 2, "completion_tokens": 5, "cached_tokens": 0},
        )

    def test_completion_and_chat_responses(self):
        async def run():
            async with open_client() as client:
                completion = await client.complete("hello", 5)
                body = {"messages": [{"role": "user", "content": "x"}]}
                path = "/v1/chat/completions"
                body["max_tokens"] = 2
                chat = await client.call("POST", path, body, "r2")
                body["stream"] = True
                events = await client.call("POST", path, body, "r3")
                return completion[1], chat[1], events[1]

        completion, chat, events = run_virtual(run)
        text = completion["choices"][0]["text"]
        self.assertEqual(text, answer_text(prompt_digest("hello"), 5))
        expected = answer_text(prompt_digest("user: x\n"), 2)
        message = chat["choices"][0]["message"]
        self.assertEqual(message["content"], expected)
        deltas = [event["choices"][0]["delta"]["content"] for event in events]
        self.assertEqual("".join(deltas), expected)

    def test_continue_text_resumes_generation(self):
        async def run():
            async with open_client() as client:
                first = answer_text(prompt_digest("hello"), 3)
                return await client.complete(
                    "hello", 4, stream=True, continue_text=first
                )

        _, events = run_virtual(run)
        expected = answer_text(prompt_digest("hello"), 4, first=3)
        self.assertEqual(join_text(events), expected)
        self.assertEqual(events[0]["sequence"], 0)
        self.assertEqual(events[-1]["usage"]["prompt_tokens"], 5)

    def test_disconnected_stream_continues_and_can_be_resumed(self):
        async def run():
            async with open_client() as client:
                task = asyncio.create_task(
                    client.complete("hello", 100, stream=True)
                )
                await asyncio.sleep(1)
                task.cancel()
                await asyncio.sleep(0.5)
                self.assertEqual(client.engine.batch.memory_used_tokens, 102)
                _, events = await client.call("GET", "/v1/streams/r1/1?from=7")
                _, full_events = await client.call("GET", "/v1/streams/r1/1")
                await asyncio.sleep(11)
                status, _ = await client.call("GET", "/v1/streams/r1/1")
                return (
                    events,
                    full_events,
                    status,
                    client.engine.batch.memory_used_tokens,
                )

        events, full_events, status, memory_used = run_virtual(run)
        self.assertEqual(events[0]["sequence"], 7)
        self.assertEqual(full_events[7:], events)
        self.assertEqual(len(full_events), 100)
        self.assertEqual(status, 404)
        self.assertEqual(memory_used, 0)

    def test_cancel_frees_memory_and_ends_the_stream(self):
        async def run():
            async with open_client() as client:
                task = asyncio.create_task(
                    client.complete("hello", 100, stream=True)
                )
                await asyncio.sleep(1)
                listed = await client.call("GET", "/v1/streams")
                await client.call("DELETE", "/v1/streams/r1/1")
                memory_used = client.engine.batch.memory_used_tokens
                return listed[1]["streams"], memory_used, (await task)[1]

        listed, memory_used, events = run_virtual(run)
        expected = {"request_id": "r1", "attempt": 1, "member_id": "m1"}
        self.assertEqual(
            listed, [expected | {"tokens": 102, "finished": False}]
        )
        self.assertEqual(memory_used, 0)
        reason = events[-1]["choices"][0]["finish_reason"]
        self.assertEqual(reason, "cancelled")

    def test_invalid_requests_are_rejected(self):
        async def run():
            async with open_client(memory_tokens=10, model="m") as client:
                return [
                    (await client.complete("hello", 9))[0],
                    (await client.complete("", 4))[0],
                    (await client.complete("hello", "4"))[0],
                    (await client.complete("hello", 4, model="n"))[0],
                    (await client.complete("a", 4, kv_chain=[{}]))[0],
                ]

        self.assertEqual(run_virtual(run), [400, 400, 400, 404, 400])


class TimingTest(unittest.TestCase):
    async def measure_finish_times(
        self, client: EngineClient, requests: list[tuple[str, int, int]]
    ) -> list[float]:
        loop = asyncio.get_running_loop()

        async def time_request(name: str, tokens: int, priority: int) -> float:
            prompt = (name * tokens * 4)[: tokens * 4]
            await client.complete(prompt, 1, name, priority=priority)
            return loop.time()

        started_s = loop.time()
        tasks = []
        for request in requests:
            tasks.append(asyncio.create_task(time_request(*request)))
            await asyncio.sleep(0.01)
        return [await task - started_s for task in tasks]

    def test_higher_priority_gets_next_prefill_chunk(self):
        async def run():
            async with open_client() as client:
                requests = [("a", 40_000, 5), ("b", 2_000, 0)]
                return await self.measure_finish_times(client, requests)

        long_s, short_s = run_virtual(run)
        self.assertLess(short_s, 0.3)
        self.assertAlmostEqual(long_s, 2.1, delta=0.1)

    def test_requests_queue_when_memory_is_full(self):
        async def run():
            async with open_client(memory_tokens=30_000) as client:
                requests = [("a", 20_000, 0), ("b", 20_000, 0), ("c", 100, 0)]
                times = await self.measure_finish_times(client, requests)
                return times, client.engine.batch.memory_used_tokens

        (first_s, second_s, third_s), memory_used = run_virtual(run)
        self.assertAlmostEqual(first_s, 1.03, delta=0.05)
        self.assertAlmostEqual(second_s, 2.05, delta=0.06)
        self.assertGreater(third_s, first_s)
        self.assertEqual(memory_used, 0)

    def test_cached_prefix_skips_prefill(self):
        async def run():
            async with open_client(cache_event_loss=0.5, seed=3) as client:
                prompt = "x" * 40_000
                first = await client.complete(prompt, 1, "r1")
                started_s = asyncio.get_running_loop().time()
                second = await client.complete(prompt, 1, "r2")
                took_s = asyncio.get_running_loop().time() - started_s
                early = await client.call("GET", "/v1/cache/events?since=0")
                await asyncio.sleep(3)
                late = await client.call("GET", "/v1/cache/events?since=0")
                usages = [answer[1]["usage"] for answer in (first, second)]
                return usages, took_s, early[1], late[1]

        usages, took_s, early, late = run_virtual(run)
        self.assertEqual(usages[0]["cached_tokens"], 0)
        self.assertEqual(usages[1]["cached_tokens"], 39 * 256)
        self.assertLess(took_s, 0.1)
        self.assertEqual(early, {"events": [], "next": 0})
        self.assertTrue(0 < len(late["events"]) < late["next"] <= 39)

    def test_load_report_lags(self):
        async def run():
            async with open_client(load_lag_s=0.5) as client:
                task = asyncio.create_task(client.complete("x" * 80_000, 9))
                await asyncio.sleep(0.4)
                _, before = await client.call("GET", "/load")
                await asyncio.sleep(0.3)
                _, after = await client.call("GET", "/load")
                await task
                return before, after

        before, after = run_virtual(run)
        self.assertEqual((before["running"], after["running"]), (0, 1))
        self.assertEqual(after["memory_used_tokens"], 20_009)
        self.assertTrue(0 < after["prefill_queued_tokens"] < 20_000)


class KvChainTest(unittest.TestCase):
    def test_segmented_prompt_gives_answer_to_full_prompt(self):
        async def run():
            options = EngineOptions(starts_warm=True, memory_tokens=1_000)
            async with (
                open_client(memory_tokens=1_000) as client,
                open_engine(options=options, name="other") as helper_engine,
            ):
                helper_client = EngineClient(
                    engine=helper_engine, session=client.session
                )
                body = {"prompt": "a" * 3_600, "request_id": "r1"}
                kv = await helper_client.call("POST", "/v1/prefill", body)
                _, listed = await helper_client.call("GET", "/v1/kv")
                link = {"url": helper_engine.url, "kv_id": kv[1]["kv_id"]}
                answer = await client.complete("b" * 3_600, 5, kv_chain=[link])
                await helper_client.call("DELETE", "/v1/kv/" + link["kv_id"])
                memory_used = helper_engine.batch.memory_used_tokens
                after_free = await client.complete(
                    "b", 5, "r2", kv_chain=[link]
                )
                return (
                    kv[1],
                    listed["caches"],
                    answer[1],
                    memory_used,
                    after_free[0],
                )

        kv, listed, answer, memory_used, after_free = run_virtual(run)
        self.assertEqual(kv["tokens"], 900)
        self.assertEqual(listed[0]["kv_id"], kv["kv_id"])
        self.assertEqual(listed[0]["member_id"], "m1")
        digest = prompt_digest("a" * 3_600 + "b" * 3_600)
        text = answer["choices"][0]["text"]
        self.assertEqual(text, answer_text(digest, 5))
        self.assertEqual((memory_used, after_free), (0, 409))


class OrderTest(unittest.TestCase):
    def make_order(self, number: int, name: str = "m2") -> dict:
        return {
            "kind": "load_model",
            "name": name,
            "version": "v1",
            "fencing_number": number,
        }

    def test_stale_fencing_number_is_rejected_when_checked(self):
        async def run(checks: bool):
            async with open_client(checks_fencing=checks) as client:
                path = "/v1/orders"
                await client.call("POST", path, self.make_order(5))
                stale = await client.call(
                    "POST", path, self.make_order(4, "m3")
                )
                await asyncio.sleep(3)
                return stale, await client.call("GET", path)

        stale, orders = run_virtual(lambda: run(True))
        self.assertEqual(stale, (409, {"fencing_number": 5}))
        self.assertEqual(orders[1]["model"], "m2")
        stale, orders = run_virtual(lambda: run(False))
        self.assertEqual(stale, (200, {}))
        self.assertEqual(orders[1]["model"], "m3")


if __name__ == "__main__":
    unittest.main()

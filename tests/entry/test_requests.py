"""Tests of requests through an entry daemon, with endpoint failures."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from collections import deque

import aiohttp

from auburnswitch.experiments.installation import (
    make_config,
    open_installation,
    wait_until,
)
from auburnswitch.standins.endpoint import Fault

SHORT = "1000,50"


class RequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_is_forwarded_unchanged(self):
        async with open_installation() as fleet:
            status, body, headers = await fleet.call(
                "/book/a%2Fb?x=1&y=%20", headers={"X-Other": "kept"}
            )
        self.assertEqual(status, 200)
        self.assertIn("x-response-seal", headers)
        (arrival,) = fleet.received_requests
        self.assertEqual(arrival.body, b"body")
        self.assertEqual(arrival.target, "/book/a%2Fb")
        self.assertEqual(arrival.headers["x-other"], "kept")
        self.assertEqual(arrival.headers["x-tenant"], "walk-ins")
        self.assertNotIn("authorization", arrival.headers)
        self.assertLessEqual(int(arrival.headers["x-deadline-ms"]), 3000)
        self.assertTrue(body.startswith(b"answer of request-"))

    async def test_caller_cannot_set_its_team(self):
        async with open_installation() as fleet:
            await fleet.call("/book/1", headers={"X-Tenant": "another"})
        self.assertEqual(
            fleet.received_requests[0].headers["x-tenant"], "walk-ins"
        )

    async def test_unknown_route_and_key(self):
        async with open_installation() as fleet:
            self.assertEqual((await fleet.call("/none/1"))[0], 404)
            self.assertEqual((await fleet.call("/book/1", key="x"))[0], 401)
        self.assertEqual(fleet.received_requests, [])

    async def test_non_idempotent_is_sent_once(self):
        for fault in (Fault.DISCONNECT, Fault.WRONG_REQUEST_ID, Fault.UNSIGNED):
            with self.subTest(fault):
                async with open_installation() as fleet:
                    for endpoint in fleet.endpoints.values():
                        endpoint.faults.append(fault)
                    status, _, headers = await fleet.call("/book/1")
                self.assertEqual(status, 502)
                self.assertNotIn("retry-after", headers)
                self.assertEqual(len(fleet.received_requests), 1)

    async def test_endpoint_error_is_forwarded(self):
        async with open_installation() as fleet:
            for endpoint in fleet.endpoints.values():
                endpoint.faults.append(Fault.SERVER_ERROR)
            status, body, headers = await fleet.call("/book/1")
        self.assertEqual((status, body), (500, b"failed"))
        self.assertIn("x-response-seal", headers)
        self.assertEqual(len(fleet.received_requests), 1)

    async def test_request_that_was_not_executed_may_be_retried(self):
        async with open_installation() as fleet:
            for name in ("desk-0", "desk-1"):
                fleet.endpoints[name].faults.append(Fault.NOT_EXECUTED)
            status, _, headers = await fleet.call("/book/1")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertFalse(
            any(arrival.ran for arrival in fleet.received_requests)
        )

    async def test_idempotent_is_retried_elsewhere(self):
        for fault in (
            Fault.DISCONNECT,
            Fault.SERVER_ERROR,
            Fault.WRONG_REQUEST_ID,
        ):
            with self.subTest(fault):
                async with open_installation() as fleet:
                    fleet.endpoints["desk-0"].faults.append(fault)
                    fleet.put_endpoint("desk-1", "desk", State="draining")
                    await asyncio.sleep(0.05)
                    await self._check_retry_elsewhere(fleet)

    # An endpoint's answer was replaced by a 502 when a later attempt failed.
    async def test_endpoint_error_outlives_a_broken_retry(self):
        async with open_installation() as fleet:
            faults = deque([Fault.SERVER_ERROR, Fault.DISCONNECT])
            for endpoint in fleet.endpoints.values():
                endpoint.faults = faults
            status, body, headers = await fleet.call("/read/1", method="GET")
        self.assertEqual((status, body), (500, b"failed"))
        self.assertIn("x-response-seal", headers)
        self.assertEqual(len(fleet.received_requests), 2)

    # Retries were used up by requests for which there was no other endpoint.
    async def test_retry_that_is_not_made_is_not_counted(self):
        async with open_installation(plain_services=1) as fleet:
            daemon = fleet.daemons[0]
            daemon.settings.bounds.retry_ratio = 0.0
            daemon.settings.bounds.retry_extra = 2.0  # one in fact
            budget = daemon.app.delivery_runner.budget
            self.assertTrue(budget.has_retry("desk"))
            fleet.endpoints["desk-0"].faults.append(Fault.DISCONNECT)
            status, _, _ = await fleet.call("/read/1", method="GET")
            self.assertEqual(status, 502)
            self.assertTrue(budget.has_retry("desk"))

    async def _check_retry_elsewhere(self, fleet):
        call = asyncio.create_task(fleet.call("/read/1", method="GET"))
        await wait_until(lambda: fleet.received_requests)
        fleet.put_endpoint("desk-1", "desk")
        status, body, _ = await call
        if status == 200:
            self.assertTrue(body.startswith(b"answer of"))

    async def test_endpoint_with_another_id_does_not_run_the_request(self):
        async with open_installation(plain_services=1) as fleet:
            fleet.endpoints["desk-0"].id = "restarted"
            status, _, _ = await fleet.call("/book/1")
        self.assertEqual(status, 503)
        self.assertFalse(fleet.received_requests[0].ran)

    async def test_too_large_body_and_headers(self):
        limits = {"MaxBodyBytes": 100, "MaxHeaderBytes": 400}
        async with open_installation(
            initial_config=make_config(Limits=limits)
        ) as fleet:
            large_body = await fleet.call("/book/1", body=b"x" * 101)
            long_headers = await fleet.call(
                "/book/1", headers={"X-Long": "x" * 400}
            )
            at_limit = await fleet.call("/book/1", body=b"x" * 100)
        self.assertEqual(
            [large_body[0], long_headers[0], at_limit[0]], [413, 431, 200]
        )

    async def test_route_timeout_is_answered_in_time(self):
        config = make_config()
        config["Routes"][2]["TimeoutMs"] = 300
        async with open_installation(initial_config=config) as fleet:
            for endpoint in fleet.endpoints.values():
                endpoint.faults.append(Fault.NO_RESPONSE)
            started = asyncio.get_running_loop().time()
            status, _, _ = await fleet.call("/book/1")
            took_s = asyncio.get_running_loop().time() - started
        self.assertEqual(status, 504)
        self.assertLess(took_s, 0.8)

    async def test_request_that_crashes_endpoints_is_refused(self):
        async with open_installation(plain_services=4) as fleet:
            for endpoint in fleet.endpoints.values():
                endpoint.faults.extend([Fault.DISCONNECT] * 9)
            answers = [await fleet.call("/book/7") for _ in range(6)]
            other_answer = await fleet.call("/book/8", body=b"another")
        statuses = [status for status, _, _ in answers]
        self.assertEqual(statuses[:3], [502, 502, 502])
        self.assertEqual(statuses[-1], 503)
        self.assertNotIn("retry-after", answers[-1][2])
        self.assertLessEqual(len(fleet.received_requests), 7)
        # another request is still attempted
        self.assertEqual(other_answer[0], 502)


class StreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_events_in_order(self):
        async with open_installation() as fleet:
            status, body, _ = await fleet.call("/chat/1", tokens=SHORT)
        self.assertEqual(status, 200)
        self.assertEqual(_event_ids(body), [1, 2, 3, 4, 5])

    async def test_stream_is_resumed_elsewhere_after_a_partial_event(self):
        async with open_installation() as fleet:
            for name in ("engine-0", "engine-1"):
                fleet.endpoints[name].faults.append(Fault.DISCONNECT_MID_EVENT)
            # only engine-0 disconnects, and only it is open at first
            fleet.endpoints["engine-0"].disconnect_allowed.clear()
            fleet.endpoints["engine-1"].faults.clear()
            fleet.put_endpoint("engine-1", "engines", State="draining")
            await asyncio.sleep(0.05)
            call = asyncio.create_task(fleet.call("/chat/1", tokens=SHORT))
            await wait_until(
                lambda: fleet.endpoints["engine-0"].received_requests
            )
            fleet.put_endpoint("engine-1", "engines")
            installation = fleet.daemons[0].installation
            await wait_until(
                lambda: installation.is_open(installation.endpoints["engine-1"])
            )
            fleet.endpoints["engine-0"].disconnect_allowed.set()
            status, body, _ = await call
        self.assertEqual(status, 200)
        self.assertEqual(_event_ids(body), [1, 2, 3, 4, 5])
        resumed = fleet.endpoints["engine-1"].received_requests[0].headers
        self.assertEqual(resumed["last-event-id"], "1")

    async def test_broken_stream_without_another_engine_is_aborted(self):
        async with open_installation(engines=1) as fleet:
            fleet.endpoints["engine-0"].faults.append(
                Fault.DISCONNECT_MID_EVENT
            )
            with self.assertRaises(aiohttp.ClientError):
                await fleet.call("/chat/1", tokens=SHORT)

    async def test_last_event_id_of_the_caller(self):
        async with open_installation() as fleet:
            _, body, _ = await fleet.call(
                "/chat/1", tokens=SHORT, headers={"Last-Event-Id": "3"}
            )
        self.assertEqual(_event_ids(body), [4, 5])

    async def test_engine_stops_when_the_caller_disconnects(self):
        async with open_installation(engines=1) as fleet:
            endpoint = fleet.endpoints["engine-0"]
            endpoint.event_count, endpoint.event_interval_s = 200, 0.02
            call = asyncio.create_task(fleet.call("/chat/1", tokens=SHORT))
            await wait_until(lambda: endpoint.received_requests)
            await asyncio.sleep(0.05)
            call.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await call
            await wait_until(lambda: endpoint.client_disconnects, 0.5)

    async def test_memory_of_a_long_prompt_is_reserved_and_released(self):
        async with open_installation(engines=3) as fleet:
            status, _, _ = await fleet.call("/chat/1", tokens="80000,50")
            helpers = fleet.received_requests[0].headers["x-helpers"]
            engines = list(fleet.endpoints.values())
            await wait_until(lambda: not any(r.reservations for r in engines))
        self.assertEqual(status, 200)
        self.assertIn("/entry-0-", helpers)

    async def test_refused_memory_reservation_fails_the_request(self):
        async with open_installation(engines=2) as fleet:
            for endpoint in fleet.endpoints.values():
                endpoint.capacity_tokens = 10
            status, _, headers = await fleet.call("/chat/1", tokens="80000,50")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertEqual(fleet.received_requests, [])

    async def test_prompt_larger_than_all_memory_is_refused_at_once(self):
        async with open_installation(engines=2) as fleet:
            started = asyncio.get_running_loop().time()
            status, _, headers = await fleet.call("/chat/1", tokens="900000,50")
            took_s = asyncio.get_running_loop().time() - started
        self.assertEqual(status, 503)
        self.assertLess(took_s, 0.2)
        self.assertGreaterEqual(float(headers["retry-after"]), 1.5)


def _event_ids(body: bytes) -> list[int]:
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


if __name__ == "__main__":
    unittest.main()

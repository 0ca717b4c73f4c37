"""Tests of the stand-in for an endpoint of the platform."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.standins.endpoint import WORK_MS_HEADER, EndpointStandIn
from tests.virtual_time import run_virtual


async def send_order(endpoint: EndpointStandIn, **values) -> int:
    messages = []

    async def send(message):
        messages.append(message)

    await endpoint._apply_order(values, send)
    return messages[0]["status"]


async def serve_slow_request(client_leaves_after_s: float) -> float:
    """Serves a request of 3 s of work and returns when the work ended."""
    endpoint = EndpointStandIn(endpoint_id="desk")
    scope = {"type": "http", "path": "/read/1", "raw_path": b"/read/1"}
    scope["headers"] = [(WORK_MS_HEADER.encode(), b"3000")]
    messages = [{"type": "http.request"}]

    async def receive():
        if messages:
            return messages.pop()
        await asyncio.sleep(client_leaves_after_s)
        return {"type": "http.disconnect"}

    async def send(_):
        pass

    started_at = asyncio.get_running_loop().time()
    await endpoint(scope, receive, send)
    return endpoint.received_requests[0].ended_at - started_at


class WorkTest(unittest.TestCase):
    def test_works_until_the_end_or_until_the_client_leaves(self):
        for leaves_after_s, expected_s in ((9.0, 3.0), (1.0, 1.0)):
            ended_s = run_virtual(
                lambda s=leaves_after_s: serve_slow_request(s)
            )
            self.assertAlmostEqual(ended_s, expected_s)


class ReservationTest(unittest.TestCase):
    def test_reservation_expires_unless_renewed(self):
        async def run():
            endpoint = EndpointStandIn(endpoint_id="engine")
            reserve = {"Op": "reserve", "Id": "k", "Tokens": 60_000}
            self.assertEqual(
                await send_order(endpoint, **reserve, HoldMs=3400), 200
            )
            await asyncio.sleep(2)
            self.assertEqual(
                await send_order(endpoint, **reserve, HoldMs=3400), 200
            )
            await asyncio.sleep(2)
            endpoint.expire_reservations()
            self.assertIn("k", endpoint.reservations)
            await asyncio.sleep(2)
            endpoint.expire_reservations()
            self.assertEqual(endpoint.reservations, {})

        run_virtual(run)

    def test_reservations_are_limited_by_capacity(self):
        async def run():
            endpoint = EndpointStandIn(endpoint_id="engine")
            first = {"Op": "reserve", "Id": "a", "Tokens": 60_000}
            second = {"Op": "reserve", "Id": "b", "Tokens": 60_000}
            self.assertEqual(
                await send_order(endpoint, **first, HoldMs=900), 200
            )
            self.assertEqual(
                await send_order(endpoint, **second, HoldMs=900), 409
            )
            await send_order(endpoint, Op="release", Id="a")
            self.assertEqual(
                await send_order(endpoint, **second, HoldMs=900), 200
            )

        run_virtual(run)


if __name__ == "__main__":
    unittest.main()

"""Tests of the stand-in for an endpoint of the platform."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.standins.endpoint import EndpointStandIn
from tests.virtual_time import run_virtual


async def send_order(endpoint: EndpointStandIn, **values) -> int:
    messages = []

    async def send(message):
        messages.append(message)

    await endpoint._apply_order(values, send)
    return messages[0]["status"]


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

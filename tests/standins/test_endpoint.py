"""The stand-in of an endpoint of the platform."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.standins.endpoint import EndpointStandIn
from tests.virtual_time import run_virtual


async def order(runner: EndpointStandIn, **values) -> int:
    sent = []

    async def send(message):
        sent.append(message)

    await runner._order(values, send)
    return sent[0]["status"]


class ReservationTest(unittest.TestCase):
    def test_reservation_ends_by_itself_unless_it_is_renewed(self):
        async def run():
            runner = EndpointStandIn(endpoint_id="engine")
            reserve = {"Op": "reserve", "Id": "k", "Tokens": 60_000}
            self.assertEqual(await order(runner, **reserve, HoldMs=3400), 200)
            await asyncio.sleep(2)
            self.assertEqual(await order(runner, **reserve, HoldMs=3400), 200)
            await asyncio.sleep(2)
            runner.expire_reservations()
            self.assertIn("k", runner.reservations)
            await asyncio.sleep(2)
            runner.expire_reservations()
            self.assertEqual(runner.reservations, {})

        run_virtual(run)

    def test_memory_is_bounded(self):
        async def run():
            runner = EndpointStandIn(endpoint_id="engine")
            first = {"Op": "reserve", "Id": "a", "Tokens": 60_000}
            second = {"Op": "reserve", "Id": "b", "Tokens": 60_000}
            self.assertEqual(await order(runner, **first, HoldMs=900), 200)
            self.assertEqual(await order(runner, **second, HoldMs=900), 409)
            await order(runner, Op="release", Id="a")
            self.assertEqual(await order(runner, **second, HoldMs=900), 200)

        run_virtual(run)


if __name__ == "__main__":
    unittest.main()

"""Tests of tickets and requests in a whole fleet under store faults."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    PLAIN_SERVICE,
    FleetOptions,
    open_fleet,
)
from auburnswitch.experiments.ticket_spread import (
    DAEMON_COUNT,
    FAULTS,
    measure_ticket,
)
from auburnswitch.schema.results import ResultCode
from tests.virtual_time import SimulatedConnector, run_virtual

MAX_TIME_UNTIL_IN_FORCE_S = 8.0


class PropagationTest(unittest.TestCase):
    def test_ticket_is_in_force_in_time_under_each_fault(self):
        async def scenario(fault, before):
            options = FleetOptions(
                engines=1, daemons=DAEMON_COUNT, connector=SimulatedConnector
            )
            async with open_fleet(options) as fleet:
                await asyncio.sleep(12)
                return await measure_ticket(fleet, fault, before)

        for name, (fault, before) in FAULTS.items():
            with self.subTest(name):
                took_s = run_virtual(
                    lambda fault=fault, before=before: scenario(fault, before)
                )
                self.assertLess(took_s, MAX_TIME_UNTIL_IN_FORCE_S)


class OutageTest(unittest.TestCase):
    async def post(self, fleet, path: str, body, **headers: str):
        url = fleet.caller_url("entry-0") + path
        headers["Authorization"] = f"Bearer {CALLER_KEY}"
        async with fleet.session.post(
            url, json=body, headers=headers
        ) as response:
            answer = await response.json()
            return response.status, answer.get("error", {}).get("code")

    def test_store_outage_of_one_hour(self):
        async def scenario():
            options = FleetOptions(connector=SimulatedConnector)
            async with open_fleet(options) as fleet:
                prompt = {"model": MODEL, "prompt": "hi " * 99, "max_tokens": 4}
                path = f"/services/{PLAIN_SERVICE}/bookings"
                fleet.platform.outage = True
                completions, bookings = [], []
                for _ in range(60):
                    await asyncio.sleep(58)
                    completions.append(
                        await self.post(fleet, "/v1/completions", prompt)
                    )
                    bookings.append(
                        await self.post(
                            fleet, path, {}, **{"Idempotency-Key": "k"}
                        )
                    )
                ticket = fleet.ticket([fleet.zone_change("daejeon-1")])
                with self.assertRaisesRegex(RuntimeError, "unavailable"):
                    await fleet.apply(ticket)
                fleet.platform.outage = False
                await asyncio.sleep(5)
                await fleet.apply(ticket)
                await fleet.wait_until_converged()
                booking_after_outage = await self.post(
                    fleet, path, {}, **{"Idempotency-Key": "k"}
                )
                runs = sum(len(p.bookings) for p in fleet.plain.values())
                return (
                    set(completions),
                    set(bookings),
                    booking_after_outage,
                    runs,
                )

        completions, bookings, booking_after_outage, runs = run_virtual(
            scenario
        )
        self.assertEqual(completions, {(200, None)})
        self.assertEqual(bookings, {(503, int(ResultCode.STORE_UNAVAILABLE))})
        self.assertEqual((booking_after_outage, runs), ((201, None), 1))

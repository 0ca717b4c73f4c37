"""Tests of requests that are retried or refused while a daemon stops."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.entry.run import drain
from auburnswitch.experiments.installation import (
    make_config,
    open_installation,
    wait_until,
)
from auburnswitch.standins.endpoint import Fault

GRACE_S = 8.0
AFTER_S = 3.0  # new requests are no longer accepted, and 4 s are left
DEADLINE = {"X-Deadline-Ms": "20000"}


def patient_config():
    config = make_config()
    for route in config["Routes"]:
        route["TimeoutMs"] = 20_000
        if "GapAimMs" in route:
            route["GapAimMs"] = 5_000
    return config


class LateRetryTest(unittest.IsolatedAsyncioTestCase):
    # A stream in flight was broken off although a resume would have ended in
    # time.
    async def test_stream_is_resumed_late_in_a_stop(self):
        async with open_installation(initial_config=patient_config()) as fleet:
            daemon = fleet.daemons[0]
            daemon.settings.bounds.stop_grace_s = GRACE_S
            engines = [fleet.endpoints[f"engine-{n}"] for n in range(2)]
            for engine in engines:
                engine.disconnect_allowed.clear()
                engine.faults.append(Fault.DISCONNECT_MID_EVENT)
            call = asyncio.create_task(
                fleet.call("/chat/1", tokens="1000,50", headers=DEADLINE)
            )
            await wait_until(lambda: any(e.running for e in engines))
            stop = asyncio.create_task(drain(daemon))
            await asyncio.sleep(AFTER_S)
            for engine in engines:
                if not engine.running:
                    engine.faults.clear()
                engine.disconnect_allowed.set()
            try:
                status, body, _ = await call
            finally:
                await stop
        self.assertEqual(status, 200)
        self.assertEqual(body.count(b"id: "), 5)

    # The same for an idempotent request, which got 502.
    async def test_idempotent_request_is_retried_late_in_a_stop(self):
        async with open_installation(initial_config=patient_config()) as fleet:
            daemon = fleet.daemons[0]
            daemon.settings.bounds.stop_grace_s = GRACE_S
            desks = [fleet.endpoints[f"desk-{n}"] for n in range(2)]
            for desk in desks:
                desk.pauses_s[0] = AFTER_S
                desk.faults.append(Fault.DISCONNECT)
            call = asyncio.create_task(
                fleet.call("/read/1", method="GET", headers=DEADLINE)
            )
            await wait_until(lambda: any(d.running for d in desks))
            for desk in desks:
                if not desk.running:
                    desk.faults.clear()
                    desk.pauses_s.clear()
            stop = asyncio.create_task(drain(daemon))
            status, _, _ = await call
            await stop
        self.assertEqual(status, 200)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_that_is_expected_to_outlast_the_stop(self):
        config = patient_config()
        async with open_installation(initial_config=config) as fleet:
            daemon = fleet.daemons[0]
            daemon.settings.bounds.stop_grace_s = GRACE_S
            daemon.app.delivery_runner.durations.record("engines", 1.0, 30.0)
            daemon.begin_drain()
            refused = await fleet.call(
                "/chat/1", tokens="1000,50", headers=DEADLINE
            )
            self.assertEqual(fleet.received_requests, [])
            # a service without such attempts is still served
            served = await fleet.call("/read/1", method="GET", headers=DEADLINE)
        self.assertEqual((refused.status, served.status), (503, 200))
        self.assertEqual(refused.headers["connection"], "close")
        self.assertEqual(served.headers["connection"], "close")

    async def test_slow_answers_are_learnt_from(self):
        config = patient_config()
        async with open_installation(initial_config=config) as fleet:
            daemon = fleet.daemons[0]
            daemon.settings.bounds.stop_grace_s = 2.0
            for endpoint in fleet.endpoints.values():
                endpoint.event_interval_s = 0.4
            first = await fleet.call(
                "/chat/1", tokens="1000,50", headers=DEADLINE
            )
            daemon.begin_drain()
            second = await fleet.call(
                "/chat/1", tokens="1000,50", headers=DEADLINE
            )
        self.assertEqual((first.status, second.status), (200, 503))

    # "Not run" was said of a request that an endpoint had received.
    async def test_request_that_may_have_run_is_not_refused_as_not_run(self):
        async with open_installation(initial_config=patient_config()) as fleet:
            daemon = fleet.daemons[0]
            daemon.settings.bounds.stop_grace_s = GRACE_S
            daemon.app.delivery_runner.durations.record("desk", 1.0, 30.0)
            desks = [fleet.endpoints[f"desk-{n}"] for n in range(2)]
            for desk in desks:
                desk.pauses_s[0] = 0.3
                desk.faults.append(Fault.DISCONNECT)
            call = asyncio.create_task(
                fleet.call("/read/1", method="GET", headers=DEADLINE)
            )
            await wait_until(lambda: any(d.running for d in desks))
            daemon.begin_drain()
            status, _, headers = await call
        self.assertEqual(status, 502)
        self.assertNotIn("retry-after", headers)


if __name__ == "__main__":
    unittest.main()

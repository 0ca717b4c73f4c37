"""Tests that entry daemons send nothing new to endpoints that are leaving."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from auburnswitch.entry.run import reload_settings
from auburnswitch.experiments.installation import (
    LoopbackInstallation,
    open_installation,
    wait_until,
)
from auburnswitch.standins.endpoint import EndpointStandIn, Fault

SHORT = "1000,50"
MANY = 24  # plain requests that surely reach both of two open endpoints
SETTINGS = """\
[instance]
name = entry-0
zone = zone-1
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
peer_host = 127.0.0.1
peer_port = 3
[store]
address = 127.0.0.1:4
"""


async def call_many(fleet: LoopbackInstallation, path: str = "/book/1"):
    """Makes calls one after the other and returns their statuses."""
    return [(await fleet.call(path))[0] for _ in range(MANY)]


async def find_preferred_engine(fleet: LoopbackInstallation):
    """Returns the engine that the next short prompt goes to, and the other."""
    await fleet.call("/chat/1", tokens=SHORT)
    engines = [fleet.endpoints["engine-0"], fleet.endpoints["engine-1"]]
    engines.sort(key=lambda engine: not engine.received_requests)
    return engines


def leave_with_the_first_grant(
    fleet: LoopbackInstallation,
) -> list[EndpointStandIn]:
    """Makes the first engine that grants memory leave in this response.

    Returns:
        A list to which this engine is added.
    """
    left = []

    def patch(engine: EndpointStandIn) -> None:
        apply_order = engine._apply_order

        async def apply(order, send):
            async def send_leaving(message):
                if not left:
                    engine.leaving = True
                    left.append(engine)
                await send(message)

            await apply_order(order, send_leaving)

        engine._apply_order = apply

    for engine in fleet.endpoints.values():
        patch(engine)
    return left


def count_requests(endpoint: EndpointStandIn) -> int:
    return len(endpoint.received_requests)


class NoticeTest(unittest.IsolatedAsyncioTestCase):
    """Any answer with the notice ends new work, whatever the store says."""

    async def test_notice_on_a_success(self):
        async with open_installation() as fleet:
            leaving = fleet.endpoints["desk-0"]
            leaving.leaving = True
            self.assertEqual(set(await call_many(fleet)), {200})
        self.assertEqual(count_requests(leaving), 1)

    async def test_notice_on_a_refusal(self):
        async with open_installation() as fleet:
            leaving = fleet.endpoints["desk-0"]
            leaving.leaving = True
            leaving.faults.extend([Fault.NOT_EXECUTED] * MANY)
            self.assertEqual(set(await call_many(fleet)), {200})
        self.assertEqual(count_requests(leaving), 1)

    async def test_notice_on_an_error(self):
        async with open_installation() as fleet:
            leaving = fleet.endpoints["desk-0"]
            leaving.leaving = True
            leaving.faults.extend([Fault.SERVER_ERROR] * MANY)
            await call_many(fleet)
        self.assertEqual(count_requests(leaving), 1)

    async def test_notice_on_the_head_of_a_stream(self):
        async with open_installation() as fleet:
            leaving, other = await find_preferred_engine(fleet)
            leaving.leaving = True
            leaving.event_interval_s = 0.1
            stream = asyncio.create_task(fleet.call("/chat/1", tokens=SHORT))
            await wait_until(lambda: leaving.running)
            await asyncio.sleep(0.15)
            await fleet.call("/chat/1", tokens=SHORT)
            status, body, _ = await stream
        # The first call found the engine, the second is the stream.
        self.assertEqual(count_requests(leaving), 2)
        self.assertEqual(count_requests(other), 1)
        self.assertEqual(status, 200)
        self.assertEqual(body.decode().count(leaving.id), 5)

    async def test_notice_on_a_load_report(self):
        async with open_installation() as fleet:
            leaving, other = await find_preferred_engine(fleet)
            leaving.leaving = True
            await asyncio.sleep(3.0)  # until the engines have been polled
            await fleet.call("/chat/1", tokens=SHORT)
        self.assertEqual(count_requests(leaving), 1)
        self.assertEqual(count_requests(other), 1)

    async def test_notice_on_a_refused_reservation(self):
        async with open_installation(engines=3) as fleet:
            leaving = fleet.endpoints["engine-0"]
            leaving.leaving = True
            for _ in range(4):
                status, _, _ = await fleet.call("/chat/1", tokens="80000,50")
                self.assertEqual(status, 200)
            reserve_orders = [
                order
                for order in leaving.received_orders
                if order["Op"] == "reserve"
            ]
        self.assertLessEqual(count_requests(leaving) + len(reserve_orders), 1)

    async def test_notice_on_a_granted_reservation(self):
        """The request that has the reservation is placed anew."""
        async with open_installation(engines=3) as fleet:
            left = leave_with_the_first_grant(fleet)
            status, _, _ = await fleet.call("/chat/1", tokens="80000,50")
            helpers = [
                request.headers.get("x-helpers", "")
                for request in fleet.received_requests
            ]
        (leaving,) = left
        self.assertEqual(status, 200)
        self.assertEqual(count_requests(leaving), 0)
        self.assertNotIn(fleet.addresses[leaving.id], ",".join(helpers))
        self.assertEqual(leaving.reservations, {})


class MarkTest(unittest.IsolatedAsyncioTestCase):
    """A mark lasts until its endpoint is gone or has started again."""

    async def leave(self, fleet: LoopbackInstallation) -> EndpointStandIn:
        """Makes an endpoint leave and waits until the daemon knows it."""
        leaving = fleet.endpoints["desk-0"]
        leaving.leaving = True
        before = count_requests(leaving)
        await call_many(fleet)
        self.assertEqual(count_requests(leaving), before + 1)
        return leaving

    async def check_still_marked(self, fleet: LoopbackInstallation):
        endpoint = fleet.endpoints["desk-0"]
        before = count_requests(endpoint)
        self.assertEqual(set(await call_many(fleet)), {200})
        self.assertEqual(count_requests(endpoint), before)

    async def test_daemon_without_the_store(self):
        async with open_installation() as fleet:
            fleet.store.unavailable = True
            await wait_until(
                lambda: fleet.daemons[0].installation_watcher.failed_at
            )
            await self.leave(fleet)

    async def test_entry_that_still_says_ready(self):
        async with open_installation() as fleet:
            installation = fleet.daemons[0].installation
            await self.leave(fleet)
            fleet.put_endpoint("desk-0", "desk", Slots=9)
            await wait_until(
                lambda: installation.endpoints["desk-0"].entry.slots == 9
            )
            await self.check_still_marked(fleet)

    async def test_same_process_is_listed_again(self):
        async with open_installation() as fleet:
            installation = fleet.daemons[0].installation
            await self.leave(fleet)
            fleet.store.remove("servers", "desk-0")
            await wait_until(lambda: "desk-0" not in installation.endpoints)
            await asyncio.sleep(0.6)  # marks are swept meanwhile
            fleet.put_endpoint("desk-0", "desk")
            await wait_until(lambda: "desk-0" in installation.endpoints)
            await self.check_still_marked(fleet)

    async def test_new_process_under_the_same_id(self):
        async with open_installation() as fleet:
            endpoint = await self.leave(fleet)
            endpoint.restart()
            fleet.put_endpoint("desk-0", "desk")
            installation = fleet.daemons[0].installation
            await wait_until(
                lambda: (
                    installation.endpoints["desk-0"].entry.boot_ms
                    == endpoint.boot_ms
                )
            )
            before = count_requests(endpoint)
            await call_many(fleet)
            self.assertGreater(count_requests(endpoint), before)

    async def test_address_used_by_another_endpoint(self):
        async with open_installation() as fleet:
            endpoint = await self.leave(fleet)
            fleet.store.remove("servers", "desk-0")
            endpoint.id, endpoint.leaving = "desk-9", False
            fleet.endpoints["desk-9"] = endpoint
            fleet.addresses["desk-9"] = fleet.addresses["desk-0"]
            fleet.put_endpoint("desk-9", "desk")
            installation = fleet.daemons[0].installation
            await wait_until(lambda: "desk-9" in installation.endpoints)
            before = count_requests(endpoint)
            await call_many(fleet)
            self.assertGreater(count_requests(endpoint), before)

    async def test_notice_of_another_endpoint_at_the_address(self):
        async with open_installation() as fleet:
            endpoint = fleet.endpoints["desk-0"]
            endpoint.id, endpoint.leaving = "another", True
            await call_many(fleet)
            endpoint.id, endpoint.leaving = "desk-0", False
            await asyncio.sleep(2.5)  # until it is not suspected any more
            before = count_requests(endpoint)
            await call_many(fleet)
            self.assertGreater(count_requests(endpoint), before)

    async def test_reload_keeps_the_mark(self):
        async with open_installation() as fleet:
            await self.leave(fleet)
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "entry.ini"
                path.write_text(SETTINGS)
                with self.assertLogs("auburnswitch") as logs:
                    reload_settings(fleet.daemons[0], path)
            self.assertEqual(logs.records[0].event_name, "settings_reloaded")
            await self.check_still_marked(fleet)

    async def test_reconnect_to_store_and_peers_keeps_the_mark(self):
        async with open_installation(daemons=2) as fleet:
            first = fleet.daemons[0]
            await wait_until(lambda: first.gossip.peers.live_peers())
            await self.leave(fleet)
            fleet.store.unavailable = True
            await wait_until(lambda: first.installation_watcher.failed_at)
            first.gossip.peers.clear()
            fleet.store.unavailable = False
            fleet.put_endpoint("desk-0", "desk", Slots=9)
            await wait_until(
                lambda: first.installation.endpoints["desk-0"].entry.slots == 9,
                4.0,
            )
            await self.check_still_marked(fleet)

    async def test_all_endpoints_leave(self):
        async with open_installation() as fleet:
            for name in ("desk-0", "desk-1"):
                fleet.endpoints[name].leaving = True
            for _ in range(2):
                await fleet.call("/book/1")
            started_at = asyncio.get_running_loop().time()
            status, _, headers = await fleet.call("/book/1")
            took_s = asyncio.get_running_loop().time() - started_at
        self.assertEqual(status, 503)
        self.assertGreaterEqual(float(headers["retry-after"]), 1.5)
        self.assertLess(took_s, 0.2)
        self.assertEqual(len(fleet.received_requests), 2)

    async def test_broken_stream_is_resumed_elsewhere(self):
        async with open_installation() as fleet:
            leaving, other = await find_preferred_engine(fleet)
            leaving.leaving = True
            leaving.faults.append(Fault.DISCONNECT_MID_EVENT)
            status, body, _ = await fleet.call("/chat/1", tokens=SHORT)
        self.assertEqual(status, 200)
        self.assertEqual(body.decode().count("id: "), 5)
        self.assertEqual(count_requests(leaving), 2)
        self.assertEqual(count_requests(other), 1)


if __name__ == "__main__":
    unittest.main()

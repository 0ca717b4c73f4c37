"""Tests of the stand-in for an endpoint of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from auburnswitch.http_server import open_http_server
from auburnswitch.standins.endpoint import (
    WORK_MS_HEADER,
    EndpointStandIn,
    Fault,
)
from tests.virtual_time import in_virtual_loop, run_virtual


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


class DisconnectTest(unittest.IsolatedAsyncioTestCase):
    # Its server answered with 500 instead, which hid what callers count.
    async def test_disconnect_sends_no_byte(self):
        endpoint = EndpointStandIn(endpoint_id="desk")
        endpoint.faults.append(Fault.DISCONNECT)
        received = b""
        async with open_http_server(
            endpoint, host="127.0.0.1", port=0
        ) as server:
            reader, writer = await asyncio.open_connection(
                server.host, server.port
            )
            writer.write(b"GET /read/1 HTTP/1.1\r\nhost: desk\r\n\r\n")
            with contextlib.suppress(ConnectionResetError):
                received = await reader.read()
            writer.close()
        self.assertEqual(received, b"")


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


async def call(endpoint: EndpointStandIn, path: str, **headers: str):
    """Returns the status and the headers of a response."""
    messages = []
    order = b'{"Op": "release", "Id": "k"}' if path == "/v1/order" else b""

    async def receive():
        return {"type": "http.request", "body": order}

    async def send(message):
        messages.append(message)

    named = {name.replace("_", "-"): value for name, value in headers.items()}
    scope = {
        "type": "http",
        "path": path,
        "raw_path": path.encode(),
        "headers": [(k.encode(), v.encode()) for k, v in named.items()],
    }
    await endpoint(scope, receive, send)
    return messages[0]["status"], dict(messages[0]["headers"])


class AvailabilityTest(unittest.TestCase):
    @in_virtual_loop
    async def test_all_responses_of_a_leaving_endpoint_say_so(self):
        endpoint = EndpointStandIn(endpoint_id="engine")
        for path, headers, ready_status, leaving_status in (
            ("/book/1", {}, 200, 200),
            ("/book/1", {"x_expect_instance": "another"}, 421, 421),
            ("/chat/1", {"x_token_counts": "9,9"}, 200, 200),
            ("/v1/report", {}, 200, 200),
            ("/v1/order", {}, 200, 200),
            ("/health", {}, 200, 503),
        ):
            with self.subTest(path=path, headers=headers):
                status, received = await call(endpoint, path, **headers)
                self.assertEqual(status, ready_status)
                self.assertNotIn(b"server-leaving", received)
                endpoint.leaving = True
                status, received = await call(endpoint, path, **headers)
                self.assertEqual(status, leaving_status)
                self.assertEqual(received[b"server-leaving"], b"1")
                endpoint.restart()

    @in_virtual_loop
    async def test_leaving_endpoint_renews_but_grants_no_reservation(self):
        endpoint = EndpointStandIn(endpoint_id="engine")
        held = {"Op": "reserve", "Id": "a", "Tokens": 10, "HoldMs": 900}
        await send_order(endpoint, **held)
        endpoint.leaving = True
        self.assertEqual(await send_order(endpoint, **held), 200)
        new = {**held, "Id": "b"}
        self.assertEqual(await send_order(endpoint, **new), 503)

    @in_virtual_loop
    async def test_refusal_with_a_time_and_restart(self):
        endpoint = EndpointStandIn(endpoint_id="desk")
        first_boot_ms = endpoint.boot_ms
        endpoint.retry_after = "2.5"
        status, headers = await call(endpoint, "/book/1")
        self.assertEqual((status, headers[b"retry-after"]), (503, b"2.5"))
        self.assertIn(b"x-not-executed", headers)
        endpoint.restart()
        self.assertEqual((await call(endpoint, "/book/1"))[0], 200)
        refused, accepted = endpoint.received_requests
        self.assertEqual((refused.deferral_s, refused.ran), (2.5, False))
        self.assertEqual((accepted.deferral_s, accepted.ran), (0, True))
        self.assertEqual(refused.boot_ms, first_boot_ms)
        self.assertGreater(accepted.boot_ms, first_boot_ms)


if __name__ == "__main__":
    unittest.main()

"""Tests of freezing, thawing and killing daemons in virtual time."""

from __future__ import annotations

import asyncio
import contextvars
import unittest

import aiohttp

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.fleet import FleetOptions, open_fleet
from auburnswitch.experiments.freezable_loop import FreezableLoop
from auburnswitch.experiments.process_context import PROCESS_NAME
from tests.virtual_time import SimulatedConnector, run_virtual

OPTIONS = FleetOptions(engines=1, daemons=3, connector=SimulatedConnector)
FREEZE_S = 30
IDLE_S = 5


async def is_healthy(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with (
            asyncio.timeout(1),
            session.get(url + "/healthz") as response,
        ):
            return response.status == 200
    except TimeoutError:
        return False


class EchoProtocol(asyncio.Protocol):
    """Echoes received bytes; closes if none arrive within `IDLE_S`."""

    def connection_made(self, transport):
        self.transport = transport
        loop = asyncio.get_running_loop()
        self.idle_timer = loop.call_later(IDLE_S, transport.close)

    def data_received(self, data):
        self.idle_timer.cancel()
        self.transport.write(data)


class FreezableLoopTest(unittest.TestCase):
    def test_frozen_daemon_does_not_respond_until_thawed(self):
        async def scenario():
            async with open_fleet(OPTIONS) as fleet:
                daemon = fleet.daemons["entry-1"]
                url = daemon.operator_server.url
                fleet.freeze_daemon(1)
                frozen_at = monotonic_s()
                while_frozen = await is_healthy(fleet.session, url)
                await asyncio.sleep(FREEZE_S)
                live = fleet.daemons["entry-0"].view.live_ids()
                self.assertNotIn(daemon.member.id, live)
                fleet.thaw_daemon(1)
                thawed = await is_healthy(fleet.session, url)
                await fleet.wait_until_converged()
                return while_frozen, thawed, monotonic_s() - frozen_at

        frozen, thawed, took_s = run_virtual(scenario, FreezableLoop)
        self.assertEqual((frozen, thawed), (False, True))
        self.assertGreater(took_s, FREEZE_S)

    def test_bytes_are_read_before_late_timers_run(self):
        async def scenario():
            loop = asyncio.get_running_loop()
            context = contextvars.copy_context()
            context.run(PROCESS_NAME.set, "server")
            await asyncio.create_task(
                loop.create_server(EchoProtocol, "127.0.0.1", 1),
                context=context,
            )
            reader, writer = await asyncio.open_connection("127.0.0.1", 1)
            loop.freeze("server")
            writer.write(b"late")
            await asyncio.sleep(2 * IDLE_S)
            loop.thaw("server")
            answer = await reader.read(4)
            writer.close()
            return answer

        self.assertEqual(run_virtual(scenario, FreezableLoop), b"late")

    def test_killed_daemon_refuses_connections(self):
        async def scenario():
            async with open_fleet(OPTIONS) as fleet:
                url = fleet.daemons["entry-2"].operator_server.url
                fleet.kill_daemon(2)
                with self.assertRaises(aiohttp.ClientConnectionError):
                    await is_healthy(fleet.session, url)
                await fleet.wait_until_converged()
                await fleet.start_daemon(2)
                await fleet.wait_until_converged()
                return len(fleet.daemons["entry-0"].view.live_ids())

        self.assertEqual(run_virtual(scenario, FreezableLoop), 3)

"""Tests of daemon replacement during a long platform outage."""

from __future__ import annotations

import asyncio
import unittest

from tests.members.partitionable_fleet import (
    is_converged,
    open_partitionable_fleet,
    wait_until,
)
from tests.virtual_time import run_virtual

DAEMONS = 3
REPLACEMENT_INTERVAL_S = 1200
JOIN_TIMEOUT_S = 5.0


class OutageTest(unittest.TestCase):
    def test_daemons_are_replaced_during_an_hour_of_outage(self):
        async def scenario():
            async with open_partitionable_fleet(DAEMONS) as (fleet, _):
                fleet.platform.outage = True
                await asyncio.sleep(10)
                for number in range(DAEMONS):
                    old = fleet.daemons[f"entry-{number}"].member
                    customize_settings = fleet.options.customize_settings

                    def customize_with_seed(
                        settings, customize_settings=customize_settings, old=old
                    ):
                        customize_settings(settings)
                        settings.members.seeds = f"{old.host}:{old.port}"
                        settings.members.heartbeat_interval_s = 1

                    fleet.options.customize_settings = customize_with_seed
                    new = await fleet.start_daemon(DAEMONS + number)
                    await wait_until(
                        lambda new=new: not new.get_admission_refusal(),
                        JOIN_TIMEOUT_S,
                    )
                    await fleet.stop_daemon(number, graceful=number % 2 == 0)
                    fleet.platform.instances.remove(f"entry-{number}")
                    for _ in range(REPLACEMENT_INTERVAL_S // 2):
                        await asyncio.sleep(2)
                        for daemon in fleet.daemons.values():
                            self.assertIsNone(daemon.get_admission_refusal())
                fleet.platform.outage = False
                return await wait_until(lambda: is_converged(fleet), 60)

        self.assertLess(run_virtual(scenario), 10)

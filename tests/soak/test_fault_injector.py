"""Tests of the faults that a soak run injects."""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from pathlib import Path

from auburnswitch.soak.fault_injector import FaultInjector
from auburnswitch.soak.fleet import FleetOptions, open_fleet

ENTRY_STARTED = '"event_name": "entry_started"'
SETTINGS_RELOADED = '"event_name": "settings_reloaded"'
TIMEOUT_S = 10.0


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    # Soak 7011: a reload right after a restart ended the process for good.
    async def test_reload_right_after_a_restart(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        async with open_fleet(folder, FleetOptions(daemon_count=1)) as fleet:
            (daemon,) = fleet.daemons
            log_file = folder / f"{daemon.name}.log"
            injector = FaultInjector(fleet=fleet, rng=random.Random(7011))
            await injector._kill()
            await injector._reload()
            async with asyncio.timeout(TIMEOUT_S):
                while SETTINGS_RELOADED not in log_file.read_text("utf-8"):
                    daemon.check_running()
                    await asyncio.sleep(0.05)
            self.assertIn(ENTRY_STARTED, log_file.read_text("utf-8"))
            self.assertEqual(injector._faulted_daemons, set())


if __name__ == "__main__":
    unittest.main()

"""Tests of daemons whose watches of the store lose their answers."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from auburnswitch.entry.run import open_entry_daemon
from auburnswitch.experiments.installation import (
    entry_settings,
    make_config,
    open_installation,
    wait_until,
)
from auburnswitch.observe.logs import LOGGER

IN_FORCE_S = 3.0  # the users' StabilityWindowMs
WATCHED_KINDS = ("config", "evacuations", "servers")
WITHDRAWN_KEY = "key-2"


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        log = self.enterContext(self.assertLogs(LOGGER, "INFO"))
        self.records = log.records

    @contextlib.asynccontextmanager
    async def open(self):
        """Runs three daemons of which one reads the store."""
        async with (
            open_installation(engines=0, daemons=0) as fleet,
            contextlib.AsyncExitStack() as stack,
        ):
            for number in range(3):
                name = f"entry-{number}"
                settings = entry_settings(name, fleet.store_address)
                settings.store.readers = 1
                settings.store.watch_wait_s = 15
                daemon = await stack.enter_async_context(
                    open_entry_daemon(settings)
                )
                fleet.daemons.append(daemon)
                await wait_until(lambda d=daemon: d.ready)
            await asyncio.sleep(1.5)  # until one reads for all
            yield fleet
            fleet.store.stop()

    # CONFIG, EVAC, DRAIN: a withdrawn key worked, and an evacuated zone and a
    # removed endpoint were used, until the watch would have returned.
    async def test_changes_whose_answers_are_lost(self):
        async with self.open() as fleet:
            fleet.store.lossy_kinds = set(WATCHED_KINDS)
            teams = [{"Name": "walk-ins", "ApiKeys": ["key-1"]}]
            fleet.store.put("config", "main", make_config(2, Tenants=teams))
            fleet.store.put("evacuations", "zone-2", {})
            fleet.store.remove("servers", "desk-1")
            await wait_until(lambda: fleet.store.lost_answers >= 3)
            fleet.store.lossy_kinds = set()
            await asyncio.sleep(IN_FORCE_S)
            for number, daemon in enumerate(fleet.daemons):
                known = daemon.installation
                self.assertEqual(known.config_version, 2)
                self.assertIn("zone-2", known.closed_zones)
                self.assertNotIn("desk-1", known.endpoints)
                answer = await fleet.call(
                    "/book/1", daemon=number, key=WITHDRAWN_KEY
                )
                self.assertEqual(answer.status, 401)
        missed = {
            r.kind
            for r in self.records
            if getattr(r, "event_name", "") == "watch_answer_missed"
        }
        self.assertEqual(missed, set(WATCHED_KINDS))


if __name__ == "__main__":
    unittest.main()

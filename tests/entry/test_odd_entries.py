"""Tests that one odd entry in the store costs nothing but itself."""

from __future__ import annotations

import unittest

from auburnswitch.entry.run import open_entry_daemon
from auburnswitch.experiments.installation import (
    entry_settings,
    open_installation,
    wait_until,
)
from auburnswitch.observe.logs import LOGGER
from auburnswitch.standins.installation_store import RawJson

DEPTH = 100_000
NESTED_LISTS = RawJson(data=b"[" * DEPTH + b"]" * DEPTH)
UNREADABLE = {
    "nested lists": NESTED_LISTS,
    "nested objects": RawJson(data=b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    "too many digits": RawJson(data=b"9" * 5000),
    "not UTF-8": RawJson(data=b'"\xff"'),
}
ENTRY = {
    "Service": "desk",
    "Address": "127.0.0.1:9",
    "Zone": "zone-1",
    "Slots": 6,
    "State": "ready",
}
START_TIMEOUT_S = 3.0


class OddEntryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        log = self.enterContext(self.assertLogs(LOGGER, "INFO"))
        self.records = log.records

    def failed_tasks(self):
        return [
            r
            for r in self.records
            if getattr(r, "event_name", "") == "task_failed"
        ]

    async def check_fleet(self, fleet):
        """Checks that changes beside the odd entry are still followed."""
        fleet.put_endpoint("desk-0", "desk", Slots=11)
        fleet.store.put("evacuations", "zone-9", {})
        for daemon in fleet.daemons:
            known = daemon.installation
            await wait_until(
                lambda known=known: (
                    known.endpoints["desk-0"].entry.slots == 11
                    and "zone-9" in known.closed_zones
                ),
                2.0,
            )
        fleet.store.remove("evacuations", "zone-9")
        self.assertEqual((await fleet.call("/book/1"))[0], 200)
        self.assertEqual(self.failed_tasks(), [])

    async def check_beside(self, spec):
        """Checks a daemon that gets the entry as a change, and a new one."""
        async with open_installation() as fleet:
            fleet.store.put("servers", "odd", spec)
            settings = entry_settings("entry-new", fleet.store_address)
            async with open_entry_daemon(settings) as started:
                fleet.daemons.append(started)
                await wait_until(lambda: started.ready, START_TIMEOUT_S)
                await self.check_fleet(fleet)
                for daemon in fleet.daemons:
                    self.assertNotIn("odd", daemon.installation.endpoints)

    # An entry that could not be read ended each reading of the list, so that no
    # daemon that started got ready (RECOVER).
    async def test_daemon_starts_beside_an_unreadable_entry(self):
        for name, value in UNREADABLE.items():
            for spec in (value, {**ENTRY, "Zone": value}):
                with self.subTest(name, whole=spec is value):
                    await self.check_beside(spec)


if __name__ == "__main__":
    unittest.main()

"""Tests that one odd entry in the store costs nothing but itself."""

from __future__ import annotations

import contextlib
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
IN_FORCE_S = 3.0
# Numbers out of bounds, in fields that are read.
OUT_OF_BOUNDS = (
    {"Slots": 1.7965e12},
    {"Slots": 2**31},
    {"Slots": -(2**40)},
    {"Slots": 0},
    {"Slots": 10**400},
    {"ColdRemainingMs": float("inf")},
    {"ColdRemainingMs": 10**400},
    {"born": 2**70},
    {"Address": "127.0.0.1:65536"},
    {"Address": "127.0.0.1:-1"},
    {"Address": "127.0.0.1:0"},
    {"Address": "127.0.0.1:99999999999999999999"},
    {"Address": "127.0.0.1:" + "9" * 5000},
    {"Address": "127.0.0.1:1_0"},
)
CALLS = 12


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

    # EVAC: one number that didn't fit into the messages between daemons ended
    # each exchange of state, so those that don't read the store missed zones.
    # Callers got 500 where the port was out of range.
    async def test_entry_with_a_number_out_of_bounds(self):
        async with (
            open_installation(engines=0, daemons=0) as fleet,
            contextlib.AsyncExitStack() as stack,
        ):
            for number in range(3):  # one of them reads the store
                settings = entry_settings(
                    f"entry-{number}", fleet.store_address
                )
                settings.store.readers = 1
                daemon = await stack.enter_async_context(
                    open_entry_daemon(settings)
                )
                fleet.daemons.append(daemon)
                await wait_until(lambda d=daemon: d.ready, START_TIMEOUT_S)
            for number, fields in enumerate(OUT_OF_BOUNDS):
                with self.subTest(str(fields)[:60]):
                    fleet.store.put("servers", "odd", {**ENTRY, **fields})
                    await self.check_beside_odd_number(fleet, number)

    async def check_beside_odd_number(self, fleet, number: int):
        zone = f"zone-{number + 10}"
        fleet.store.put("evacuations", zone, {})
        for daemon in fleet.daemons:
            known = daemon.installation
            await wait_until(
                lambda known=known: zone in known.closed_zones, IN_FORCE_S
            )
            self.assertNotIn("odd", known.endpoints)
        answers = [await fleet.call(f"/read/{n}") for n in range(CALLS)]
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(self.failed_tasks(), [])


if __name__ == "__main__":
    unittest.main()

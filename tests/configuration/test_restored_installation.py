"""Tests of what holds on after the store has come back from an older copy."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.clock import monotonic_s
from auburnswitch.configuration.installation import Installation
from auburnswitch.configuration.restored_state import RestoredState
from auburnswitch.observe.logs import LOGGER
from auburnswitch.schema.gossip import EndpointChanges
from auburnswitch.schema.installation import (
    ClosedZones,
    EndpointEntry,
    EndpointList,
)
from tests.virtual_time import in_virtual_loop

RETENTION_S = 4.0
SOURCE = "a test"
BOOT_MS = 1_000


def make_entry(name: str = "x", **fields) -> EndpointEntry:
    defaults = {"service_name": "desk", "zone": "a", "ready": True}
    return EndpointEntry(
        id=name, boot_ms=fields.pop("boot_ms", BOOT_MS), **defaults | fields
    )


class RestoredInstallationTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(self.assertLogs(LOGGER, "INFO"))

    def make(self) -> Installation:
        return Installation(restored=RestoredState(retention_s=RETENTION_S))

    def list_entries(self, installation, generation, revision, *entries):
        return installation.adopt_endpoints(
            EndpointList(
                generation=generation,
                revision=revision,
                endpoints=list(entries),
            ),
            SOURCE,
        )

    def close(self, installation, generation, revision, *zones):
        return installation.adopt_closed_zones(
            ClosedZones(
                generation=generation, revision=revision, zones=list(zones)
            ),
            SOURCE,
        )

    def is_open(self, installation, name: str = "x") -> bool:
        tracked = installation.endpoints.get(name)
        return tracked is not None and installation.is_open(tracked)

    # DRAIN: an endpoint that had said it drains was ready again in the copy.
    @in_virtual_loop
    async def test_draining_endpoint_is_not_used_again(self):
        installation = self.make()
        self.list_entries(installation, 1, 9, make_entry(ready=False))
        self.list_entries(installation, 2, 5, make_entry())
        self.assertFalse(self.is_open(installation))
        self.list_entries(installation, 2, 6, make_entry(), make_entry("y"))
        self.assertFalse(self.is_open(installation))
        await asyncio.sleep(RETENTION_S + 0.1)
        self.assertTrue(self.is_open(installation))

    # DRAIN: an endpoint that had left was in the copy.
    @in_virtual_loop
    async def test_removed_endpoint_is_not_used_again(self):
        installation = self.make()
        self.list_entries(installation, 1, 8, make_entry(), make_entry("y"))
        self.list_entries(installation, 1, 9, make_entry("y"))
        self.list_entries(installation, 2, 5, make_entry(), make_entry("y"))
        self.assertFalse(self.is_open(installation))
        self.assertTrue(self.is_open(installation, "y"))

    @in_virtual_loop
    async def test_endpoint_that_writes_again_is_used_at_once(self):
        installation = self.make()
        self.list_entries(installation, 1, 9, make_entry(ready=False))
        self.list_entries(installation, 2, 5, make_entry())
        installation.adopt_endpoint_changes(
            EndpointChanges(
                generation=2,
                since_revision=5,
                revision=6,
                changed=[make_entry()],
            ),
            SOURCE,
        )
        self.assertTrue(self.is_open(installation))

    @in_virtual_loop
    async def test_other_process_of_a_draining_endpoint_is_used(self):
        installation = self.make()
        self.list_entries(installation, 1, 9, make_entry(ready=False))
        later = make_entry(boot_ms=BOOT_MS + 1)
        self.list_entries(installation, 2, 5, later)
        self.assertTrue(self.is_open(installation))

    @in_virtual_loop
    async def test_entry_of_an_earlier_process_changes_nothing(self):
        installation = self.make()
        later = make_entry(boot_ms=BOOT_MS + 1)
        self.list_entries(installation, 1, 9, later)
        self.list_entries(installation, 2, 5, make_entry())
        self.assertEqual(installation.endpoints["x"].entry, later)

    # An endpoint that had registered within the lost seconds was dropped.
    @in_virtual_loop
    async def test_endpoint_that_the_copy_lacks_is_kept_for_a_while(self):
        installation = self.make()
        self.list_entries(installation, 1, 9, make_entry(), make_entry("y"))
        self.list_entries(installation, 2, 5, make_entry("y"))
        self.list_entries(installation, 2, 6, make_entry("y"))
        self.assertTrue(self.is_open(installation))
        await asyncio.sleep(RETENTION_S + 0.1)
        self.assertFalse(self.is_open(installation))

    @in_virtual_loop
    async def test_endpoint_that_is_removed_after_the_return_is_not_kept(self):
        installation = self.make()
        self.list_entries(installation, 1, 9, make_entry())
        self.list_entries(installation, 2, 5, make_entry())
        installation.adopt_endpoint_changes(
            EndpointChanges(
                generation=2, since_revision=5, revision=6, removed=["x"]
            ),
            SOURCE,
        )
        self.assertFalse(self.is_open(installation))

    # EVAC: a zone that the copy doesn't name was used until it was named again.
    @in_virtual_loop
    async def test_closed_zone_stays_closed_until_it_is_written_again(self):
        installation = self.make()
        self.list_entries(installation, 1, 8, make_entry())
        self.close(installation, 1, 9, "a")
        self.close(installation, 2, 5)
        self.assertFalse(self.is_open(installation))
        self.close(installation, 2, 6, "a")
        self.close(installation, 2, 7)  # taken back
        self.assertTrue(self.is_open(installation))

    @in_virtual_loop
    async def test_zone_that_is_not_written_again_opens(self):
        installation = self.make()
        self.list_entries(installation, 1, 8, make_entry())
        self.close(installation, 1, 9, "a")
        self.close(installation, 2, 5)
        started_at = monotonic_s()
        while not self.is_open(installation):
            await asyncio.sleep(0.1)
        self.assertAlmostEqual(
            monotonic_s() - started_at, RETENTION_S, delta=0.2
        )

    # Answers and messages of the generation before were taken for news.
    @in_virtual_loop
    async def test_late_state_of_the_generation_before_changes_nothing(self):
        installation = self.make()
        self.list_entries(installation, 2, 5, make_entry())
        self.close(installation, 2, 5)
        for generation in (1, 0):  # daemons of an older release tell none
            self.assertFalse(self.list_entries(installation, generation, 99))
            self.assertFalse(self.close(installation, generation, 99, "a"))
        self.assertTrue(self.is_open(installation))

    @in_virtual_loop
    async def test_state_without_a_generation_counts_until_one_is_known(self):
        installation = self.make()
        self.assertTrue(self.list_entries(installation, 0, 99, make_entry()))
        self.assertTrue(self.list_entries(installation, 0, 100, make_entry()))
        self.assertTrue(self.list_entries(installation, 1, 5))
        self.assertFalse(self.is_open(installation))  # nothing came back


if __name__ == "__main__":
    unittest.main()

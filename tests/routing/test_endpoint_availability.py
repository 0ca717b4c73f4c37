"""Tests of the marks that keep new requests from endpoints."""

from __future__ import annotations

import asyncio
import math
import unittest

from auburnswitch.clock import monotonic_s
from auburnswitch.configuration.installation import Installation
from auburnswitch.observe.statistics import EntryStatistics
from auburnswitch.platform.endpoint_notices import EndpointNotice, NoticeSource
from auburnswitch.routing.endpoint_availability import (
    MAX_DEFERRAL_S,
    MISSING_ENTRY_TTL_S,
    EndpointAvailability,
)
from auburnswitch.schema.installation import EndpointEntry, EndpointList
from tests.virtual_time import in_virtual_loop

LEAVING = EndpointNotice(
    leaving=True, retry_after_s=0, source=NoticeSource.REQUEST
)
FIRST_BOOT, SECOND_BOOT, UNKNOWN_BOOT = 1000, 2000, 0


def defer(seconds: float) -> EndpointNotice:
    return EndpointNotice(
        leaving=False, retry_after_s=seconds, source=NoticeSource.REQUEST
    )


class Fleet:
    """Endpoints of one service and the availability that is tested."""

    def __init__(self, **boots: int) -> None:
        self.installation = Installation()
        self.availability = EndpointAvailability(
            installation=self.installation, statistics=EntryStatistics()
        )
        self.list(**boots)

    def list(self, **boots: int) -> None:
        """Lists the endpoints, by id, with the start of their process."""
        entries = [
            EndpointEntry(
                id=name, service_name="desk", ready=True, boot_ms=boot_ms
            )
            for name, boot_ms in boots.items()
        ]
        revision = self.installation.endpoints_revision + 1
        self.installation.adopt_endpoints(
            EndpointList(revision=revision, endpoints=entries), "store"
        )

    def entry(self, name: str) -> EndpointEntry:
        return self.installation.endpoints[name].entry

    def note(self, name: str, notice: EndpointNotice) -> None:
        self.availability.record_notice(self.entry(name), notice)

    def is_usable(self, name: str) -> bool:
        endpoint = self.installation.endpoints[name]
        return self.availability.is_usable(endpoint)


class LeavingTest(unittest.TestCase):
    @in_virtual_loop
    async def test_mark_lasts_as_long_as_the_process(self):
        fleet = Fleet(a=FIRST_BOOT, b=FIRST_BOOT)
        fleet.note("a", LEAVING)
        await asyncio.sleep(MAX_DEFERRAL_S * 2)
        fleet.availability.sweep()
        fleet.list(a=FIRST_BOOT, b=FIRST_BOOT)
        self.assertFalse(fleet.is_usable("a"))
        self.assertTrue(fleet.is_usable("b"))
        fleet.list(a=SECOND_BOOT, b=FIRST_BOOT)
        self.assertTrue(fleet.is_usable("a"))
        fleet.availability.sweep()
        self.assertEqual(fleet.availability.marks, {})

    @in_virtual_loop
    async def test_entry_that_comes_back_with_the_same_process(self):
        fleet = Fleet(a=FIRST_BOOT)
        fleet.note("a", LEAVING)
        fleet.list()
        fleet.availability.sweep()
        await asyncio.sleep(MISSING_ENTRY_TTL_S / 2)
        fleet.availability.sweep()
        fleet.list(a=FIRST_BOOT)
        self.assertFalse(fleet.is_usable("a"))
        fleet.availability.sweep()
        await asyncio.sleep(MISSING_ENTRY_TTL_S * 2)
        fleet.availability.sweep()
        self.assertFalse(fleet.is_usable("a"))

    @in_virtual_loop
    async def test_mark_of_a_gone_endpoint_is_dropped(self):
        fleet = Fleet(a=FIRST_BOOT)
        fleet.note("a", LEAVING)
        fleet.list()
        fleet.availability.sweep()
        await asyncio.sleep(MISSING_ENTRY_TTL_S)
        fleet.availability.sweep()
        self.assertEqual(fleet.availability.marks, {})

    @in_virtual_loop
    async def test_process_without_a_known_start(self):
        fleet = Fleet(a=UNKNOWN_BOOT)
        fleet.note("a", LEAVING)
        fleet.list(a=UNKNOWN_BOOT)
        fleet.availability.sweep()
        self.assertFalse(fleet.is_usable("a"))
        fleet.list()
        fleet.availability.sweep()
        fleet.list(a=UNKNOWN_BOOT)
        self.assertTrue(fleet.is_usable("a"))

    @in_virtual_loop
    async def test_entry_of_an_older_daemon_lacks_the_start(self):
        fleet = Fleet(a=FIRST_BOOT)
        fleet.note("a", LEAVING)
        fleet.list(a=UNKNOWN_BOOT)
        fleet.availability.sweep()
        self.assertFalse(fleet.is_usable("a"))
        fleet.list(a=FIRST_BOOT)
        self.assertFalse(fleet.is_usable("a"))

    @in_virtual_loop
    async def test_start_that_becomes_known_is_bound_to_the_mark(self):
        fleet = Fleet(a=UNKNOWN_BOOT)
        fleet.note("a", LEAVING)
        fleet.list(a=FIRST_BOOT)
        fleet.availability.sweep()
        self.assertFalse(fleet.is_usable("a"))
        fleet.list(a=SECOND_BOOT)
        self.assertTrue(fleet.is_usable("a"))

    @in_virtual_loop
    async def test_late_answer_of_an_earlier_process(self):
        fleet = Fleet(a=FIRST_BOOT)
        earlier = fleet.entry("a")
        fleet.list(a=SECOND_BOOT)
        fleet.availability.record_notice(earlier, LEAVING)
        self.assertTrue(fleet.is_usable("a"))
        fleet.note("a", LEAVING)
        fleet.availability.record_notice(earlier, LEAVING)
        self.assertFalse(fleet.is_usable("a"))

    @in_virtual_loop
    async def test_closed_endpoint_is_not_usable_either(self):
        fleet = Fleet(a=FIRST_BOOT)
        endpoint = fleet.installation.endpoints["a"]
        fleet.list()
        self.assertFalse(fleet.availability.is_usable(endpoint))
        self.assertEqual(fleet.availability.usable_at(endpoint), math.inf)


class DeferralTest(unittest.TestCase):
    @in_virtual_loop
    async def test_deferral_ends_by_itself(self):
        fleet = Fleet(a=FIRST_BOOT)
        fleet.note("a", defer(3))
        await asyncio.sleep(2.9)
        self.assertFalse(fleet.is_usable("a"))
        await asyncio.sleep(0.2)
        self.assertTrue(fleet.is_usable("a"))

    @in_virtual_loop
    async def test_later_refusal_extends_but_never_shortens(self):
        fleet = Fleet(a=FIRST_BOOT)
        fleet.note("a", defer(5))
        await asyncio.sleep(1)
        fleet.note("a", defer(2))
        await asyncio.sleep(3)
        self.assertFalse(fleet.is_usable("a"))
        fleet.note("a", defer(9))
        await asyncio.sleep(8)
        self.assertFalse(fleet.is_usable("a"))
        self.assertEqual(
            fleet.availability.statistics.endpoint_marks["deferred"], 1
        )

    @in_virtual_loop
    async def test_upper_bound(self):
        fleet = Fleet(a=FIRST_BOOT)
        fleet.note("a", defer(1e30))
        await asyncio.sleep(MAX_DEFERRAL_S - 1)
        self.assertFalse(fleet.is_usable("a"))
        await asyncio.sleep(1.1)
        self.assertTrue(fleet.is_usable("a"))

    @in_virtual_loop
    async def test_new_process_does_not_inherit_the_deferral(self):
        fleet = Fleet(a=FIRST_BOOT)
        fleet.note("a", defer(60))
        fleet.list(a=SECOND_BOOT)
        self.assertTrue(fleet.is_usable("a"))

    @in_virtual_loop
    async def test_deferred_endpoint_that_leaves(self):
        fleet = Fleet(a=FIRST_BOOT)
        fleet.note("a", defer(1))
        fleet.note("a", LEAVING)
        fleet.note("a", defer(1))
        await asyncio.sleep(5)
        self.assertFalse(fleet.is_usable("a"))

    @in_virtual_loop
    async def test_deferral_after_an_earlier_one_is_a_new_mark(self):
        fleet = Fleet(a=FIRST_BOOT)
        for _ in range(2):
            fleet.note("a", defer(2))
            await asyncio.sleep(3)
        self.assertEqual(
            fleet.availability.statistics.endpoint_marks["deferred"], 2
        )


class RetryAfterTest(unittest.TestCase):
    @in_virtual_loop
    async def test_soonest_time_rounded_up(self):
        fleet = Fleet(a=FIRST_BOOT, b=FIRST_BOOT, c=FIRST_BOOT)
        self.assertIsNone(fleet.availability.retry_after_s("desk"))
        fleet.note("a", defer(7.001))
        fleet.note("b", defer(9))
        self.assertIsNone(fleet.availability.retry_after_s("desk"))
        fleet.note("c", LEAVING)
        self.assertAlmostEqual(fleet.availability.retry_after_s("desk"), 7.01)
        await asyncio.sleep(7.5)
        self.assertIsNone(fleet.availability.retry_after_s("desk"))

    @in_virtual_loop
    async def test_no_time_is_known_if_all_leave(self):
        fleet = Fleet(a=FIRST_BOOT)
        fleet.note("a", LEAVING)
        self.assertIsNone(fleet.availability.retry_after_s("desk"))


class LookupOnly(dict):
    """A dictionary that must not be scanned."""

    def __iter__(self):
        raise AssertionError("the marks were scanned")

    items = keys = values = __iter__


class CostTest(unittest.TestCase):
    @in_virtual_loop
    async def test_requests_look_marks_up_without_a_scan(self):
        fleet = Fleet(a=FIRST_BOOT, b=FIRST_BOOT)
        fleet.availability.marks = LookupOnly()
        fleet.note("a", LEAVING)
        self.assertFalse(fleet.is_usable("a"))
        self.assertTrue(fleet.is_usable("b"))
        self.assertIsNone(fleet.availability.retry_after_s("desk"))
        with self.assertRaises(AssertionError):
            fleet.availability.sweep()  # not made for a request


class LogTest(unittest.TestCase):
    @in_virtual_loop
    async def test_marks_are_logged_once_with_their_age(self):
        fleet = Fleet(a=FIRST_BOOT)
        start = monotonic_s()
        with self.assertLogs("auburnswitch") as logs:
            for _ in range(3):
                fleet.note("a", defer(2))
            await asyncio.sleep(2.5)
            fleet.availability.sweep()
            fleet.availability.sweep()
        marked, ended = logs.records
        self.assertEqual(marked.event_name, "endpoint_marked")
        self.assertEqual((marked.endpoint, marked.boot), ("a", FIRST_BOOT))
        self.assertEqual((marked.source, marked.for_s), ("request", 2.0))
        self.assertEqual(ended.event_name, "endpoint_mark_ended")
        self.assertEqual((ended.endpoint, ended.boot), ("a", FIRST_BOOT))
        self.assertAlmostEqual(ended.age_s, monotonic_s() - start, places=2)


if __name__ == "__main__":
    unittest.main()

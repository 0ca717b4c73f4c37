"""Tests that refusals of prompt parts outlast the daemons."""

from __future__ import annotations

import contextlib
import unittest

from auburnswitch.clock import monotonic_s
from auburnswitch.entry.run import open_entry_daemon
from auburnswitch.experiments.installation import (
    entry_settings,
    open_installation,
    wait_until,
)
from auburnswitch.platform.protocol import REFUSALS_KIND
from auburnswitch.routing.crashes.crash_registry import CRASHES_TO_REFUSE
from auburnswitch.routing.crashes.part_refusal import Refusal

PARTS = frozenset({"bad"})
REQUEST = "0123456789abcdef"


def make_refusal(parts=PARTS):
    now = monotonic_s()
    return Refusal(
        service="engines",
        parts=parts,
        evidence_at=now - 2,
        last_crash_at=now - 1,
        releases={"1"},
        trials=1,
    )


def refuse(daemon, refusal):
    """Makes a daemon refuse parts as if on its own evidence."""
    daemon.part_watch.refusals.add(refusal)
    daemon.part_watch.on_change(None, refusal)


def groups(daemon):
    return daemon.part_watch.refusals.groups()


class RefusalStoreTest(unittest.IsolatedAsyncioTestCase):
    @contextlib.asynccontextmanager
    async def open(self):
        async with open_installation(engines=1, plain_services=0) as fleet:
            yield fleet, fleet.daemons[0]

    @contextlib.asynccontextmanager
    async def open_later(self, fleet):
        """Starts a daemon that has no peers."""
        settings = entry_settings("entry-later", fleet.store_address)
        async with open_entry_daemon(settings) as daemon:
            yield daemon

    def stored(self, fleet):
        return fleet.store.objects.get(REFUSALS_KIND, {})

    # Operators of similar systems: after a restart what had been withdrawn was
    # in use again. Here all daemons end at once.
    async def test_refusal_is_in_force_after_the_end_of_all_daemons(self):
        async with self.open() as (fleet, daemon):
            refuse(daemon, make_refusal())
            await wait_until(lambda: self.stored(fleet))
            daemon.gossip.key = b""  # says nothing more
            async with self.open_later(fleet) as later:
                await wait_until(lambda: groups(later) == [PARTS])
                (refusal,) = later.part_watch.refusals.refusals
        age_s = monotonic_s() - refusal.last_crash_at
        self.assertAlmostEqual(age_s, 1, delta=2)
        self.assertEqual((refusal.trials, refusal.releases), (1, {"1"}))

    async def test_refusal_that_has_ended_is_deleted(self):
        async with self.open() as (fleet, daemon):
            refusal = make_refusal()
            refuse(daemon, refusal)
            await wait_until(lambda: self.stored(fleet))
            daemon.part_watch.on_change(refusal, None)
            await wait_until(lambda: not self.stored(fleet))

    async def test_narrower_refusal_replaces_the_wider_one(self):
        async with self.open() as (fleet, daemon):
            wide = make_refusal(PARTS | {"companion"})
            refuse(daemon, wide)
            await wait_until(lambda: self.stored(fleet))
            (before,) = self.stored(fleet)
            daemon.part_watch.on_change(wide, make_refusal())
            await wait_until(
                lambda: (
                    len(self.stored(fleet)) == 1
                    and before not in self.stored(fleet)
                )
            )

    async def test_refusal_is_stored_after_an_outage_of_the_store(self):
        async with self.open() as (fleet, daemon):
            fleet.store.unavailable = True
            refusal = make_refusal()
            refuse(daemon, refusal)
            refuse(daemon, refusal)
            calls = fleet.store.calls
            await wait_until(lambda: fleet.store.calls > calls)
            fleet.store.unavailable = False
            await wait_until(lambda: self.stored(fleet))

    async def test_deletion_of_what_is_gone_is_not_repeated(self):
        async with self.open() as (fleet, daemon):
            daemon.part_watch.on_change(make_refusal(), None)
            store = daemon.refusal_store
            await wait_until(lambda: not store.wanted)
        self.assertEqual(self.stored(fleet), {})

    async def test_objects_that_cannot_be_read_are_skipped(self):
        async with self.open() as (fleet, daemon):
            refuse(daemon, make_refusal())
            await wait_until(lambda: self.stored(fleet))
            for number, spec in enumerate(
                (None, 7, [], {}, {"parts": 3}, {"parts": ["x"], "trials": ""})
            ):
                fleet.store.put(REFUSALS_KIND, f"other-{number}", spec)
            daemon.gossip.key = b""
            async with self.open_later(fleet) as later:
                await wait_until(lambda: PARTS in groups(later))
                self.assertEqual(groups(later), [PARTS])

    # BUDGET: each daemon that had been restarted passed a request that crashes
    # endpoints on to some more of them.
    async def test_refused_request_is_refused_after_a_restart(self):
        async with self.open() as (fleet, daemon):
            for number in range(CRASHES_TO_REFUSE):
                daemon.crash_registry.record_crash(REQUEST, f"e-{number}@1")
            await wait_until(lambda: self.stored(fleet))
            async with self.open_later(fleet) as later:
                await wait_until(
                    lambda: later.crash_registry.is_refused(REQUEST)
                )
                later.crash_registry.record_success(REQUEST)
                await wait_until(lambda: not self.stored(fleet))

    # A third crash that a peer has observed counts for one that observed one.
    async def test_request_that_crashes_at_several_daemons_is_stored(self):
        async with self.open() as (fleet, daemon):
            daemon.crash_registry.record_crash(REQUEST, "e-0@1")
            daemon.crash_registry.merge_peer_announcements(
                [f"{REQUEST}/e-1@1", f"{REQUEST}/e-2@1"]
            )
            await wait_until(lambda: self.stored(fleet))

    async def test_refusal_of_a_request_ends(self):
        async with self.open() as (fleet, _):
            expired = {"request": REQUEST, "crashes": ["a", "b", "c"]}
            fleet.store.put(REFUSALS_KIND, f"request-{REQUEST}", expired)
            fleet.store.put(REFUSALS_KIND, "request-odd", {"crashes": 5})
            async with self.open_later(fleet) as later:
                await wait_until(lambda: len(self.stored(fleet)) == 1)
                self.assertFalse(later.crash_registry.is_refused(REQUEST))


if __name__ == "__main__":
    unittest.main()

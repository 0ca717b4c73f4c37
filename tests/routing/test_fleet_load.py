"""The ledger of all daemons' work at endpoints."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.routing.fleet_load import FleetLoad
from auburnswitch.schema.gossip import WorkItem
from tests.virtual_time import run_virtual


def item(number: int, **values) -> WorkItem:
    made = {"endpoint": "a", "read_ms": 100.0, "remaining_ms": 1000.0}
    return WorkItem(id=number, **{**made, **values})


class FleetLoadTest(unittest.TestCase):
    def test_reading_queues_up_and_is_given_back(self):
        async def run():
            load = FleetLoad()
            now = asyncio.get_running_loop().time()
            load.add("me", item(1))
            load.add("peer", item(1))
            self.assertAlmostEqual(
                load.by_endpoint["a"].backlog_ms(now), 200.0, delta=0.1
            )
            load.remove("me", 1)
            self.assertAlmostEqual(
                load.by_endpoint["a"].backlog_ms(now), 100.0, delta=0.1
            )
            load.record_prefilled("peer", 1)
            self.assertAlmostEqual(
                load.by_endpoint["a"].backlog_ms(now), 0.0, delta=0.1
            )
            self.assertEqual(load.by_endpoint["a"].decode_count, 1)

        run_virtual(run)

    def test_helpers_are_free_after_reading_unless_they_hold(self):
        async def run():
            load = FleetLoad()
            load.add(
                "me",
                item(
                    1,
                    helpers=["b", "c"],
                    holders=1,
                    memory_tokens=10,
                    helper_memory_tokens=7,
                ),
            )
            self.assertEqual(load.by_endpoint["b"].memory_tokens, 7)
            self.assertEqual(load.by_endpoint["c"].memory_tokens, 0)
            self.assertEqual(load.by_endpoint["c"].helper_prefill_count, 1)
            load.record_prefilled("me", 1)
            self.assertEqual(load.by_endpoint["b"].memory_tokens, 7)
            self.assertFalse(load.by_endpoint["c"].work_by_request)
            load.remove("me", 1)
            self.assertFalse(load.by_endpoint["b"].work_by_request)

        run_virtual(run)

    def test_newest_part_of_a_joint_read_goes_first(self):
        async def run():
            load = FleetLoad()
            now = asyncio.get_running_loop().time()
            for number in (1, 2):
                load.add("me", item(number, helpers=["b"], due_ms=150.0))
            load.add("me", item(3))
            reads = load.by_endpoint["a"].joint_prefills(now)
            until = [share.prefill_ends_at - now for share in reads.values()]
            self.assertAlmostEqual(until[0], 0.2, delta=0.01)
            self.assertAlmostEqual(until[1], 0.1, delta=0.01)
            alone = load.by_endpoint["a"].work_by_request["me", 3]
            self.assertAlmostEqual(
                alone.prefill_starts_at - now, 0.2, delta=0.01
            )
            load.remove("me", 2)
            (first,) = load.by_endpoint["a"].joint_prefills(now).values()
            self.assertAlmostEqual(first.prefill_ends_at - now, 0.1, delta=0.01)
            self.assertAlmostEqual(
                load.by_endpoint["a"].backlog_ms(now), 200.0, delta=1
            )

        run_virtual(run)

    def test_whole_list_of_a_peer_replaces_what_was_known(self):
        async def run():
            load = FleetLoad()
            load.add("peer", item(1))
            load.add("peer", item(2))
            load.replace("peer", [item(2), item(3, endpoint="b")])
            self.assertEqual(load.by_endpoint["a"].decode_count, 1)
            self.assertEqual(load.by_endpoint["b"].decode_count, 1)

        run_virtual(run)

    def test_work_of_a_silent_peer_expires_but_not_ones_own(self):
        async def run():
            load = FleetLoad()
            load.add("peer", item(1, remaining_ms=100.0))
            load.add("me", item(1, remaining_ms=100.0))
            await asyncio.sleep(3)
            load.expire("me")
            self.assertEqual(load.by_endpoint["a"].decode_count, 1)
            self.assertIn(1, load.items["me"])

        run_virtual(run)


if __name__ == "__main__":
    unittest.main()

"""Tests of the roster in a whole fleet, in virtual time."""

from __future__ import annotations

import asyncio
import logging
import unittest

from auburnswitch.members.roster import ROSTER_KEY
from auburnswitch.schema.events import EventId
from tests.members.partitionable_fleet import (
    is_converged,
    kill_daemons,
    open_partitionable_fleet,
    remove_instances,
    start_daemons,
    stored_member_ids,
    wait_until,
)
from tests.virtual_time import run_virtual


class RosterTest(unittest.TestCase):
    def test_nine_join_within_two_seconds(self):
        async def scenario():
            async with open_partitionable_fleet(9):
                return asyncio.get_running_loop().time()

        self.assertLess(run_virtual(scenario), 2)

    def test_stable_roster_makes_one_call_per_watch(self):
        async def scenario():
            async with open_partitionable_fleet(5) as (fleet, _):
                await asyncio.sleep(60)
                before = fleet.platform.calls.copy()
                await asyncio.sleep(120)
                return fleet.platform.calls - before

        calls = run_virtual(scenario)
        calls.pop(
            "instances", None
        )  # made for the endpoints, not for the roster
        # one daemon of the fleet lists the published tickets every 2 s
        self.assertEqual(dict(calls), {"watch": 5 * 4, "list": 60})

    def test_silent_member_is_removed(self):
        async def scenario():
            async with open_partitionable_fleet(5) as (fleet, _):
                await kill_daemons(fleet, [0])
                return await wait_until(lambda: is_converged(fleet), 20)

        self.assertLess(run_virtual(scenario), 12)

    def test_member_reachable_by_others_stays(self):
        async def scenario():
            async with open_partitionable_fleet(5) as (fleet, network):
                network.partition(["entry-0"], ["entry-1"])
                epoch = fleet.daemons["entry-0"].view.roster.epoch
                await asyncio.sleep(60)
                self.assertEqual(
                    fleet.daemons["entry-0"].view.roster.epoch, epoch
                )

        run_virtual(scenario)

    def test_minority_removes_nobody(self):
        async def scenario():
            async with open_partitionable_fleet(5) as (fleet, network):
                network.partition(
                    ["entry-3", "entry-4"], ["entry-0", "entry-1"]
                )
                network.partition(["entry-3", "entry-4"], ["entry-2"])
                network.partition_platform(["entry-0", "entry-1", "entry-2"])
                await asyncio.sleep(60)
                self.assertEqual(len(stored_member_ids(fleet)), 5)
                network.heal()
                await wait_until(lambda: is_converged(fleet), 10)

        run_virtual(scenario)

    def test_members_of_a_lost_zone_are_removed(self):
        async def scenario():
            async with open_partitionable_fleet(9) as (fleet, _):
                await kill_daemons(fleet, [0, 3, 6])
                return await wait_until(lambda: is_converged(fleet), 20)

        self.assertLess(run_virtual(scenario), 12)

    def test_whole_roster_restarts(self):
        async def scenario():
            async with open_partitionable_fleet(9) as (fleet, _):
                await kill_daemons(fleet, range(9))
                await start_daemons(fleet, range(9))
                return await wait_until(lambda: is_converged(fleet), 30)

        self.assertLess(run_virtual(scenario), 10)

    def test_whole_fleet_is_replaced(self):
        async def scenario():
            async with open_partitionable_fleet(9) as (fleet, _):
                await kill_daemons(fleet, range(9))
                remove_instances(fleet, range(9))
                await start_daemons(fleet, range(9, 18))
                return await wait_until(lambda: is_converged(fleet), 60)

        self.assertLess(run_virtual(scenario), 20)

    def test_whole_fleet_stops_gracefully(self):
        async def scenario():
            async with open_partitionable_fleet(9) as (fleet, _):
                stops = [fleet.stop_daemon(number) for number in range(9)]
                await asyncio.gather(*stops)
                return stored_member_ids(fleet)

        self.assertEqual(run_virtual(scenario), [])

    def test_majority_lost_without_proof_logs_an_error(self):
        async def scenario():
            async with open_partitionable_fleet(5) as (fleet, _):
                await kill_daemons(fleet, [0, 1, 2])
                with self.assertLogs("auburnswitch", logging.ERROR) as logs:
                    await asyncio.sleep(30)
                self.assertEqual(len(stored_member_ids(fleet)), 5)
                events = {record.event for record in logs.records}
                self.assertIn(EventId.STRICT_RIGHTS_WAITING, events)
                daemon = fleet.daemons["entry-3"]
                self.assertIsNone(
                    daemon.get_admission_refusal()
                )  # work without a lease continues
                remove_instances(fleet, [0, 1, 2])
                return await wait_until(lambda: is_converged(fleet), 30)

        self.assertLess(run_virtual(scenario), 10)

    def test_roster_is_read_after_lost_answers(self):
        async def scenario():
            async with open_partitionable_fleet(5) as (fleet, _):
                fleet.platform.lose_answers = 3
                await start_daemons(fleet, [5, 6])
                await wait_until(lambda: is_converged(fleet), 10)
                epoch = fleet.platform.store.objects[ROSTER_KEY].value["epoch"]
                self.assertEqual(epoch, 7)  # each change was written once

        run_virtual(scenario)

    def test_removed_live_member_rejoins(self):
        async def scenario():
            async with open_partitionable_fleet(5) as (fleet, network):
                others = [f"entry-{number}" for number in range(1, 5)]
                network.partition(["entry-0"], others)
                await wait_until(lambda: len(stored_member_ids(fleet)) == 4, 20)
                network.heal()
                return await wait_until(lambda: is_converged(fleet), 10)

        self.assertLess(run_virtual(scenario), 8)

    def test_shared_instance_name_is_logged_and_removes_nobody(self):
        async def scenario():
            async with open_partitionable_fleet(3) as (fleet, _):

                def use_taken_name(settings):
                    settings.daemon.instance = "entry-0"

                fleet.options.customize_settings = use_taken_name
                with self.assertLogs("auburnswitch", logging.ERROR) as logs:
                    await start_daemons(fleet, [3])
                    await wait_until(lambda: is_converged(fleet), 5)
                    await asyncio.sleep(30)
                events = {record.event for record in logs.records}
                self.assertEqual(events, {EventId.INSTANCE_NAME_SHARED})
                self.assertTrue(is_converged(fleet))

        run_virtual(scenario)

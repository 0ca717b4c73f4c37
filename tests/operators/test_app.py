"""Tests of the HTTP interface for operators."""

from __future__ import annotations

import asyncio
import unittest
from pathlib import Path

from auburnswitch.experiments.fleet import FleetOptions, open_fleet
from auburnswitch.operators.keys import OperatorKeys
from auburnswitch.schema.base import to_json
from tests.virtual_time import SimulatedConnector, run_virtual

OPTIONS = FleetOptions(engines=1, daemons=3, connector=SimulatedConnector)


async def call(fleet, instance: str, path: str, key: str, ticket=None):
    """Sends an operator request to a daemon and returns status and body."""
    url = fleet.daemons[instance].operator_server.url + path
    headers = {"Authorization": f"Bearer {key}"}
    method = "POST" if ticket is not None else "GET"
    async with fleet.session.request(
        method, url, json=ticket, headers=headers
    ) as response:
        return response.status, await response.json()


class KeysTest(unittest.TestCase):
    def test_names_and_keys(self):
        keys = OperatorKeys(text=b"kim:first\n\nrao: second \nplain")
        found = [
            keys.find_operator(f"Bearer {key}")
            for key in ("first", "second", "plain", "kim:first", "")
        ]
        self.assertEqual(found, ["kim", "rao", "operator", None, None])
        self.assertIsNone(keys.find_operator("Basic first"))
        self.assertIsNone(OperatorKeys(text=b"").find_operator("Bearer "))


class AuditTest(unittest.TestCase):
    def test_audit_trail_survives_replacement_of_all_daemons(self):
        async def scenario():
            async with open_fleet(OPTIONS) as fleet:
                path = Path(fleet.folder, "operator.key")
                path.write_text("kim:k1\nrao:r1\n", "utf-8")
                for number in range(3):
                    await fleet.stop_daemon(number, graceful=False)
                for number in range(3):
                    await fleet.start_daemon(number)
                await fleet.wait_until_converged()
                for zone, out, key in (
                    ("daejeon-1", True, "k1"),
                    ("daejeon-1", False, "r1"),
                    ("sejong-1", True, "k1"),
                ):
                    ticket = fleet.ticket([fleet.zone_change(zone, out=out)])
                    ticket.operator = "forged"
                    status, _ = await call(
                        fleet, "entry-0", "/tickets", key, to_json(ticket)
                    )
                    self.assertEqual(status, 200)
                for number in range(3):
                    await fleet.stop_daemon(number, graceful=False)
                for number in range(3):
                    await fleet.start_daemon(number)
                await fleet.wait_until_converged()
                path = "/audit?object=availability_zone/daejeon-1"
                return [
                    await call(fleet, "entry-2", path + query, "k1")
                    for query in ("", "&author=kim", "&since=9e9", "&since=x")
                ]

        answers = run_virtual(scenario)
        self.assertEqual([status for status, _ in answers], [200] * 3 + [400])
        all_entries, kim_entries, late_entries = [
            body["entries"] for _, body in answers[:3]
        ]
        self.assertEqual(
            [e["operator"] for e in all_entries[1:]], ["kim", "rao"]
        )
        self.assertIsNone(all_entries[0]["before"])
        last = all_entries[2]
        self.assertTrue(last["before"]["change"]["zone"]["out"])
        self.assertEqual(last["before"]["number"], all_entries[1]["number"])
        self.assertFalse(last["after"]["zone"]["out"])
        self.assertEqual((kim_entries, late_entries), ([all_entries[1]], []))


class InForceTest(unittest.TestCase):
    def test_in_force_lists_the_daemons(self):
        async def scenario():
            async with open_fleet(OPTIONS) as fleet:
                key = "demo-operator-key"
                ticket = fleet.ticket(
                    [fleet.zone_change("daejeon-1", out=True)]
                )
                await fleet.apply(ticket, "entry-0")
                path = f"/tickets/{ticket.number}/in-force"
                early = await call(fleet, "entry-0", path, key)
                await fleet.wait_until_converged()
                await asyncio.sleep(2)
                late = await call(fleet, "entry-1", path, key)
                missing = await call(
                    fleet, "entry-1", "/tickets/99/in-force", key
                )
                return early, late, missing[0]

        early, late, missing = run_virtual(scenario)
        self.assertEqual(len(early[1]["in_force"] + early[1]["pending"]), 3)
        self.assertEqual(
            (len(late[1]["in_force"]), late[1]["pending"]), (3, [])
        )
        self.assertEqual(missing, 404)

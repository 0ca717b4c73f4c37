"""Tests of the split of large fleets into cells."""

from __future__ import annotations

import asyncio
import collections
import unittest

from auburnswitch.configuration.installation import Installation
from auburnswitch.members.cells import (
    ENDPOINTS_PER_CELL,
    INSTANCES_REFRESH_INTERVAL_S,
    Cells,
    assign_to_cells,
)
from auburnswitch.schema.installation import EndpointEntry, EndpointList
from tests.virtual_time import in_virtual_loop


def make_installation(engines: int, desks: int = 4) -> Installation:
    installation = Installation()
    entries = [
        EndpointEntry(id=f"engine-{n}", service_name="engines", ready=True)
        for n in range(engines)
    ]
    entries += [
        EndpointEntry(id=f"desk-{n}", service_name="desk", ready=True)
        for n in range(desks)
    ]
    installation.adopt_endpoints(
        EndpointList(revision=1, endpoints=entries), "test"
    )
    return installation


def make_cells(installation: Installation, daemons: int) -> dict[str, Cells]:
    """Returns the cells as each daemon of a fleet computes them."""
    names = [f"entry-{n}" for n in range(daemons)]
    return {
        name: Cells(
            installation=installation,
            instance=name,
            list_instances=lambda name=name: [n for n in names if n != name],
        )
        for name in names
    }


class CellsTest(unittest.TestCase):
    @in_virtual_loop
    def test_small_fleet_is_one_cell(self):
        cells = make_cells(make_installation(70), 8)["entry-0"]
        self.assertEqual(cells.count, 1)
        self.assertFalse(cells.spans_cells("engines"))
        self.assertTrue(cells.is_cell_endpoint("engine-5"))
        self.assertTrue(cells.is_cell_peer("entry-7"))

    @in_virtual_loop
    def test_most_endpoints_are_in_the_cell_of_some_daemon(self):
        installation = make_installation(1000)
        covered = set()
        for cells in make_cells(installation, 100).values():
            self.assertTrue(cells.spans_cells("engines"))
            self.assertFalse(cells.spans_cells("desk"))
            cell_endpoints = {
                k.entry.id for k in cells.cell_endpoints("engines")
            }
            self.assertLess(len(cell_endpoints), 3 * ENDPOINTS_PER_CELL)
            self.assertTrue(all(map(cells.is_cell_endpoint, cell_endpoints)))
            covered |= cell_endpoints
        self.assertGreater(len(covered), 900)

    @in_virtual_loop
    def test_daemons_agree_on_cell_peers(self):
        installation = make_installation(1000)
        fleet = make_cells(installation, 40)
        for name, cells in fleet.items():
            for other, others in fleet.items():
                self.assertEqual(
                    cells.is_cell_peer(other), others.is_cell_peer(name)
                )

    @in_virtual_loop
    def test_cell_count_follows_the_endpoint_count(self):
        installation = make_installation(1000)
        cells = make_cells(installation, 40)["entry-0"]
        before = cells.count
        few = [
            EndpointEntry(id=f"engine-{n}", service_name="engines")
            for n in range(20)
        ]
        installation.adopt_endpoints(
            EndpointList(revision=2, endpoints=few), "test"
        )
        self.assertGreater(before, 10)
        self.assertEqual(cells.count, 1)

    @in_virtual_loop
    def test_daemons_and_engines_are_spread_evenly(self):
        installation = make_installation(172)
        fleet = make_cells(installation, 195)
        daemons = collections.Counter(c.local_cell for c in fleet.values())
        engines = {
            cells.local_cell: len(cells.cell_endpoints("engines"))
            for cells in fleet.values()
        }
        per_engine = [daemons[cell] / engines[cell] for cell in daemons]
        self.assertEqual(len(per_engine), 5)
        self.assertLess(max(per_engine) / min(per_engine), 1.5)

    @in_virtual_loop
    async def test_work_follows_daemons_that_join_and_leave(self):
        names = {f"entry-{n}" for n in range(1, 60)}
        cells = Cells(
            installation=make_installation(1000),
            instance="entry-0",
            list_instances=lambda: names,
        )
        before = {name: cells.cell_of_instance(name) for name in names}
        names -= {"entry-7"}
        names |= {"entry-60"}
        await asyncio.sleep(INSTANCES_REFRESH_INTERVAL_S)
        moved = [
            name
            for name in names - {"entry-60"}
            if cells.cell_of_instance(name) != before[name]
        ]
        self.assertLess(len(moved), 20)
        self.assertEqual(
            cells.cell_of_instance("entry-60"),
            assign_to_cells({*names, "entry-0"}, cells.count)["entry-60"],
        )

    def test_few_names_move_when_one_is_removed(self):
        names = [f"engine-{n}" for n in range(172)]
        before = assign_to_cells(names, 5)
        for removed in names[::20]:
            after = assign_to_cells([n for n in names if n != removed], 5)
            moved = sum(after[name] != before[name] for name in after)
            self.assertLess(moved, 18)


if __name__ == "__main__":
    unittest.main()

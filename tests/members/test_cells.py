"""Tests of the split of large fleets into cells."""

from __future__ import annotations

import unittest

from auburnswitch.configuration.installation import Installation
from auburnswitch.members.cells import ENDPOINTS_PER_CELL, Cells
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


class CellsTest(unittest.TestCase):
    @in_virtual_loop
    def test_small_fleet_is_one_cell(self):
        cells = Cells(installation=make_installation(70), instance="entry-0")
        self.assertEqual(cells.count, 1)
        self.assertFalse(cells.spans_cells("engines"))
        self.assertTrue(cells.is_cell_endpoint("engine-5"))
        self.assertTrue(cells.is_cell_peer("entry-7"))

    @in_virtual_loop
    def test_most_endpoints_are_in_the_cell_of_some_daemon(self):
        installation = make_installation(1000)
        fleet = [
            Cells(installation=installation, instance=f"entry-{n}")
            for n in range(100)
        ]
        covered = set()
        for cells in fleet:
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
        fleet = {
            f"entry-{n}": Cells(
                installation=installation, instance=f"entry-{n}"
            )
            for n in range(40)
        }
        for name, cells in fleet.items():
            for other, others in fleet.items():
                self.assertEqual(
                    cells.is_cell_peer(other), others.is_cell_peer(name)
                )

    @in_virtual_loop
    def test_cell_count_follows_the_endpoint_count(self):
        installation = make_installation(1000)
        cells = Cells(installation=installation, instance="entry-0")
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


if __name__ == "__main__":
    unittest.main()

"""Tests that work is reported only to the cells that can act on it."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from auburnswitch.entry.entry_daemon import EntryDaemon
from auburnswitch.experiments.installation import entry_settings
from auburnswitch.members.gossip import ALL_CELLS
from auburnswitch.schema.gossip import EngineReport, WorkItem
from auburnswitch.schema.installation import EndpointEntry, EndpointList
from tests.virtual_time import in_virtual_loop

SERVICES = {"engines": 200, "small-engines": 4, "desk": 4}


def make_daemon():
    daemon = EntryDaemon(
        settings=entry_settings("entry-0", "127.0.0.1:1"),
        tasks=mock.Mock(),
        rng=random.Random(1),
    )
    entries = [
        EndpointEntry(id=f"{service}-{n}", service_name=service, ready=True)
        for service, count in SERVICES.items()
        for n in range(count)
    ]
    daemon.installation.adopt_endpoints(
        EndpointList(revision=1, endpoints=entries), "test"
    )
    daemon.gossip = daemon.work_reporter.gossip = mock.Mock()
    daemon.gossip.peers.by_instance = {f"entry-{n}": None for n in range(1, 30)}
    return daemon


def reported_cells(daemon):
    """Returns the cells of the reports of started and of ended work."""
    started = daemon.gossip.send_started_work.call_args_list
    ended = daemon.gossip.schedule_ended_work.call_args_list
    return [call.kwargs["cell"] for call in started], [
        call.kwargs["cell"] for call in ended
    ]


class CellReportsTest(unittest.TestCase):
    @in_virtual_loop
    def test_work_goes_to_the_cells_of_its_endpoints(self):
        daemon = make_daemon()
        names = [f"engines-{n}" for n in range(6)]
        item = WorkItem(
            id=1, endpoint=names[0], helpers=names[1:], memory_tokens=10
        )
        daemon.work_reporter.publish_work_change([item], [])
        daemon.work_reporter.publish_work_change([], [1])
        cells = sorted(set(map(daemon.cells.cell_of_endpoint, names)))
        self.assertGreater(len(cells), 1)
        self.assertEqual(reported_cells(daemon), (cells, cells))
        daemon.work_reporter.publish_work_change(
            [], [1]
        )  # an unknown id reports nothing
        self.assertEqual(reported_cells(daemon), (cells, cells))

    @in_virtual_loop
    def test_work_on_a_service_that_all_cells_use_goes_to_all(self):
        daemon = make_daemon()
        item = WorkItem(id=1, endpoint="small-engines-1", memory_tokens=10)
        daemon.work_reporter.publish_work_change([item], [1])
        self.assertEqual(reported_cells(daemon), ([ALL_CELLS], [ALL_CELLS]))

    @in_virtual_loop
    def test_plain_work_stays_in_the_cell(self):
        daemon = make_daemon()
        daemon.work_reporter.publish_work_change(
            [WorkItem(id=1, endpoint="desk-1")], [1]
        )
        own_cell = daemon.cells.local_cell
        self.assertEqual(reported_cells(daemon), ([own_cell], [own_cell]))

    @in_virtual_loop
    def test_engine_reports_go_where_the_engines_are_used(self):
        daemon = make_daemon()
        for endpoint, cell in (
            ("engines-3", daemon.cells.local_cell),
            ("small-engines-1", ALL_CELLS),
        ):
            daemon.work_reporter.publish_engine_reports(
                [EngineReport(endpoint=endpoint)]
            )
            send = daemon.gossip.send_engine_reports
            self.assertEqual(send.call_args.kwargs["cell"], cell)


if __name__ == "__main__":
    unittest.main()

"""Reports this daemon's work and engine loads to the cells that use them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.gossip import ALL_CELLS

if TYPE_CHECKING:
    from auburnswitch.configuration.installation import Installation
    from auburnswitch.members.cells import Cells
    from auburnswitch.members.gossip import GossipNode
    from auburnswitch.routing.selection.fleet_load import FleetLoad
    from auburnswitch.schema.gossip import EngineReport, WorkItem

_MS_PER_S: Final = 1000.0


class WorkReporter:
    """Sends reports through the gossip node, each to as few cells as possible.

    Attributes:
        instance: This daemon's instance.
        installation: The endpoints.
        cells: Which daemons prefer which endpoints.
        fleet_load: Work of all daemons.
        gossip: Sends the reports.
    """

    __slots__ = (
        "_cells_by_work_id",
        "cells",
        "fleet_load",
        "gossip",
        "installation",
        "instance",
    )

    def __init__(
        self,
        *,
        instance: str,
        installation: Installation,
        cells: Cells,
        fleet_load: FleetLoad,
        gossip: GossipNode,
    ) -> None:
        self.instance = instance
        self.installation = installation
        self.cells = cells
        self.fleet_load = fleet_load
        self.gossip = gossip
        self._cells_by_work_id: dict[int, list[int]] = {}

    def list_work(self) -> list[WorkItem]:
        """Returns this daemon's work with updated remaining times."""
        items = self.fleet_load.items[self.instance]
        now = monotonic_s()
        for item in items.values():
            endpoint_work = self.fleet_load.by_endpoint[
                item.endpoint
            ].work_by_request.get((self.instance, item.id))
            if endpoint_work is not None:
                item.remaining_ms = (
                    max(0.0, endpoint_work.ends_at - now) * _MS_PER_S
                )
        return list(items.values())

    def publish_work_change(
        self, started: list[WorkItem], ended: list[int]
    ) -> None:
        """Sends started and ended work to the cells that it concerns."""
        for item in started:
            cells = self._concerned_cells(item)
            self._cells_by_work_id[item.id] = cells
            for cell in cells:
                self.gossip.send_started_work([item], cell=cell)
        for work_id in ended:
            for cell in self._cells_by_work_id.pop(work_id, []):
                self.gossip.schedule_ended_work([work_id], cell=cell)

    def publish_engine_reports(self, reports: list[EngineReport]) -> None:
        """Sends reports to the cell if only its daemons prefer the engines."""
        services = {
            endpoint.entry.service_name
            for report in reports
            if (endpoint := self.installation.endpoints.get(report.endpoint))
        }
        in_cell = all(map(self.cells.spans_cells, services))
        self.gossip.send_engine_reports(
            reports, cell=self.cells.local_cell if in_cell else ALL_CELLS
        )

    def _concerned_cells(self, item: WorkItem) -> list[int]:
        """Returns the cells whose daemons prefer one of the endpoints."""
        endpoint = self.installation.endpoints.get(item.endpoint)
        if endpoint is None or not item.memory_tokens:
            # plain endpoints use only load known in the cell
            return [self.cells.local_cell]
        if not self.cells.spans_cells(endpoint.entry.service_name):
            return [ALL_CELLS]
        endpoints_in_use = (item.endpoint, *item.helpers)
        return sorted(set(map(self.cells.cell_of_endpoint, endpoints_in_use)))


__all__ = ["WorkReporter"]

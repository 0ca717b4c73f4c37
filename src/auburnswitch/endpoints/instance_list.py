"""Reads the platform's list of instances to find leaving endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from expression import Result

from auburnswitch.clock import monotonic_s
from auburnswitch.members.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.object_store.client import Instance, ObjectStoreClient
    from auburnswitch.schema.peers import Heartbeat

READER_ELECTION_KEY: Final = "instance list"
MISSED_READS_BEFORE_FAILOVER: Final = 3


class InstanceListReader:
    """Lets one daemon read the list and report it to the others.

    The next daemon in rendezvous order takes over once the reader has missed
    MISSED_READS_BEFORE_FAILOVER reads, and so on.

    Attributes:
        store: The platform's store.
        endpoint_manager: Receives the leaving instances.
        last_read_succeeded: Whether this daemon's last read succeeded.
        updated_at: Loop time of the last update by any reader, in seconds.
    """

    __slots__ = (
        "endpoint_manager",
        "last_read_succeeded",
        "store",
        "updated_at",
    )

    def __init__(
        self, *, store: ObjectStoreClient, endpoint_manager: EndpointManager
    ) -> None:
        self.store = store
        self.endpoint_manager = endpoint_manager
        self.last_read_succeeded = False
        self.updated_at = monotonic_s()

    async def run(self) -> None:
        """Reads the list whenever this daemon is the reader."""
        interval_s = (
            self.endpoint_manager.settings.endpoints.instances_interval_s
        )
        while True:
            self.last_read_succeeded = self._is_reader() and await self._read()
            await asyncio.sleep(interval_s)

    def fill_heartbeat(self, heartbeat: Heartbeat, _: str) -> None:
        """Reports the leaving instances to a peer."""
        heartbeat.reads_instances = self.last_read_succeeded
        if self.last_read_succeeded:
            leaving = self.endpoint_manager.unschedulable.leaving_instances
            heartbeat.leaving_endpoints = sorted(leaving)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Applies the leaving instances that the reader reports."""
        if heartbeat.reads_instances:
            self._update_leaving(set(heartbeat.leaving_endpoints))

    def _is_reader(self) -> bool:
        view = self.endpoint_manager.view
        order = rendezvous_order(READER_ELECTION_KEY, view.live_ids())
        if view.local_member.id not in order:
            return False  # this daemon is stopping
        interval_s = (
            self.endpoint_manager.settings.endpoints.instances_interval_s
        )
        wait_s = (
            order.index(view.local_member.id)
            * MISSED_READS_BEFORE_FAILOVER
            * interval_s
        )
        return wait_s == 0 or monotonic_s() > self.updated_at + wait_s

    async def _read(self) -> bool:
        match await self.store.list_instances():
            case Result(tag="ok", ok=instances):
                self._update_leaving(self._leaving_instances(instances))
                return True
        return False

    def _leaving_instances(self, instances: list[Instance]) -> set[str]:
        endpoints = self.endpoint_manager.state.endpoints
        used = {spec.instance or name for name, spec in endpoints.items()}
        return {i.name for i in instances if i.leaving and i.name in used}

    def _update_leaving(self, leaving: set[str]) -> None:
        self.updated_at = monotonic_s()
        if leaving != self.endpoint_manager.unschedulable.leaving_instances:
            self.endpoint_manager.unschedulable.leaving_instances = leaving
            self.endpoint_manager.on_config_change()


__all__ = ["InstanceListReader"]

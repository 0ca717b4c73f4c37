"""Follows the platform's list of instances for leaving endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from expression import Result

from auburnswitch.clock import monotonic_s
from auburnswitch.members.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.object_store.store import Instance, ObjectStore
    from auburnswitch.schema.peers import Heartbeat

READER_NAME: Final = "instance list"
MISSED_READINGS: Final = 3


class InstanceReader:
    """Reads the list in one daemon, which tells the others.

    The next daemon in rendezvous order reads it when the reader has told
    nothing for some readings, and so on.

    Attributes:
        store: The platform's store.
        owner_table: Learns which instances are leaving.
        has_read: Whether this daemon's last reading succeeded.
        noted_at: Loop time of the newest reading known, in seconds.
    """

    __slots__ = ("has_read", "noted_at", "owner_table", "store")

    def __init__(self, *, store: ObjectStore, owner_table: OwnerTable) -> None:
        self.store = store
        self.owner_table = owner_table
        self.has_read = False
        self.noted_at = monotonic_s()

    async def run(self) -> None:
        """Reads the list whenever this daemon is the reader."""
        interval_s = self.owner_table.settings.endpoints.instances_interval_s
        while True:
            self.has_read = self._is_reader() and await self._read()
            await asyncio.sleep(interval_s)

    def fill_heartbeat(self, heartbeat: Heartbeat, _: str) -> None:
        """Tells a peer which instances are leaving."""
        heartbeat.reads_instances = self.has_read
        if self.has_read:
            leaving = self.owner_table.closings.leaving_instances
            heartbeat.leaving_endpoints = sorted(leaving)

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Learns from the reader which instances are leaving."""
        if heartbeat.reads_instances:
            self._note(set(heartbeat.leaving_endpoints))

    def _is_reader(self) -> bool:
        view = self.owner_table.view
        order = rendezvous_order(READER_NAME, view.live_ids())
        if view.local_member.id not in order:
            return False  # this daemon is stopping
        interval_s = self.owner_table.settings.endpoints.instances_interval_s
        wait_s = (
            order.index(view.local_member.id) * MISSED_READINGS * interval_s
        )
        return wait_s == 0 or monotonic_s() > self.noted_at + wait_s

    async def _read(self) -> bool:
        match await self.store.instances():
            case Result(tag="ok", ok=instances):
                self._note(self._leaving(instances))
                return True
        return False

    def _leaving(self, instances: list[Instance]) -> set[str]:
        endpoints = self.owner_table.state.endpoints
        used = {spec.instance or name for name, spec in endpoints.items()}
        return {i.name for i in instances if i.leaving and i.name in used}

    def _note(self, leaving: set[str]) -> None:
        self.noted_at = monotonic_s()
        if leaving != self.owner_table.closings.leaving_instances:
            self.owner_table.closings.leaving_instances = leaving
            self.owner_table.note_state()


__all__ = ["InstanceReader"]

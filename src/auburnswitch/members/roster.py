"""Keeps this daemon in the roster and silent members out of it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from expression import Result

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.platform.store import ABSENT, StoredObject
from auburnswitch.platform.watcher import CONFIG_PREFIX
from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.events import EventId
from auburnswitch.schema.objects import Member, Roster

if TYPE_CHECKING:
    from auburnswitch.members.view import MemberView
    from auburnswitch.platform.store import ObjectStore

ROSTER_KEY: Final = CONFIG_PREFIX + "roster/default"
CHECK_INTERVAL_S: Final = 0.5
JOIN_ATTEMPTS: Final = 5


class RosterKeeper:
    """Changes the roster by conditional updates only.

    Attributes:
        store: The platform's store.
        view: What is known of the members.
    """

    __slots__ = ("started_at", "store", "view")

    def __init__(self, *, store: ObjectStore, view: MemberView) -> None:
        self.store = store
        self.view = view
        self.started_at = monotonic_s()

    def handle_object(self, item: StoredObject) -> None:
        """Takes a stored roster into the view."""
        try:
            roster = from_json(Roster, item.value)
        except SchemaError:
            return
        if self.view.note_roster(roster):
            log_event(
                EventId.ROSTER_CHANGED,
                epoch=roster.epoch,
                members=self.view.roster_ids(),
            )

    async def run(self) -> None:
        """Joins, then removes members that have gone silent."""
        while True:
            if not self.view.leaving:
                await self._check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def leave(self) -> None:
        """Removes this daemon from the roster."""
        for _ in range(JOIN_ATTEMPTS):
            if self.view.me.id not in self.view.roster_ids():
                return
            await self._change(remove=self.view.me.id)

    async def _check(self) -> None:
        if self.view.me.id not in self.view.roster_ids():
            await self._change(add=self.view.me)
            return
        if silent := self._removable():
            await self._change(remove=silent)

    def _removable(self) -> str:
        watched_s = monotonic_s() - self.started_at
        if watched_s < self.view.settings.remove_after_s:
            return ""  # silence before the start proves nothing
        silent = self.view.silent_ids()
        live = self.view.live_ids()
        first = [i for i in self.view.roster_ids() if i in live][:1]
        if silent and first == [self.view.me.id]:
            return silent[0]
        return ""

    async def _change(
        self, *, add: Member | None = None, remove: str = ""
    ) -> None:
        match await self.store.get(ROSTER_KEY):
            case Result(tag="ok", ok=stored):
                roster, version = _decode(stored)
            case _:
                return
        members = [m for m in roster.members if m.id != remove]
        if add is not None and add.id not in [m.id for m in members]:
            members.append(add)
        if len(members) != len(roster.members):
            new = Roster(epoch=roster.epoch + 1, members=members)
            put = await self.store.put(
                ROSTER_KEY, to_json(new), expected_version=version
            )
            if put.is_error():
                return
            if remove and remove != self.view.me.id:
                log_event(EventId.MEMBER_REMOVED, member=remove)
            roster = new
        self.view.note_roster(roster)


def _decode(stored: StoredObject | None) -> tuple[Roster, int]:
    if stored is None:
        return Roster(), ABSENT
    return from_json(Roster, stored.value), stored.version


__all__ = ["ROSTER_KEY", "RosterKeeper"]

"""Updates the stored roster as daemons join and leave."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from expression import Result

from auburnswitch.clock import monotonic_s
from auburnswitch.members.roster_changes import (
    RemoveMember,
    RosterChange,
    RosterChangePlanner,
    apply_roster_change,
)
from auburnswitch.object_store.client import (
    ABSENT,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
)
from auburnswitch.object_store.watcher import CONFIG_PREFIX
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.events import EventId
from auburnswitch.schema.objects import Roster

if TYPE_CHECKING:
    from auburnswitch.members.member_view import MemberView
    from auburnswitch.members.termination_detector import TerminationDetector
    from auburnswitch.object_store.client import ObjectStoreClient

ROSTER_KEY: Final = CONFIG_PREFIX + "roster/default"
ROSTER_CHECK_INTERVAL_S: Final = 0.5
INITIAL_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 5.0
LEAVE_TIMEOUT_S: Final = 3.0
MAX_CONFLICT_JITTER_S: Final = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRoster:
    """A roster and the version of its stored object."""

    roster: Roster
    version: int


class RosterManager:
    """Changes the roster by conditional writes only.

    It makes no store call while no change is needed: the store's watch
    delivers each new roster.

    Attributes:
        store: Client of the platform's store.
        view: Roster and liveness of the members.
        planner: Plans the next change.
        termination_detector: Proof that members have terminated.
        store_synced: Set once the store's objects have been listed.
        stored: Newest roster read from the store or written to it.
        wake_event: Set when a change may be needed.
        backoff_s: Delay after a failed store call, in seconds.
        last_quorum_at: Loop time of the last check with a quorum, in seconds.
        quorum_loss_reported: Whether the present quorum loss has been logged.
    """

    __slots__ = (
        "backoff_s",
        "last_quorum_at",
        "planner",
        "quorum_loss_reported",
        "rng",
        "store",
        "store_synced",
        "stored",
        "termination_detector",
        "view",
        "wake_event",
    )

    def __init__(
        self,
        *,
        store: ObjectStoreClient,
        view: MemberView,
        termination_detector: TerminationDetector,
        store_synced: asyncio.Event,
        seed: int,
    ) -> None:
        self.store = store
        self.view = view
        self.termination_detector = termination_detector
        self.store_synced = store_synced
        self.planner = RosterChangePlanner(
            view=view, termination_detector=termination_detector
        )
        self.rng = random.Random(f"{seed}{view.local_member.id}")
        self.stored: StoredRoster | None = None
        self.wake_event = asyncio.Event()
        self.backoff_s = 0.0
        self.last_quorum_at = monotonic_s()
        self.quorum_loss_reported = False
        view.peer_listeners.append(self.wake_event.set)
        view.roster_listeners.append(lambda _: self.wake_event.set())

    def handle_object(self, item: StoredObject) -> None:
        """Adopts a stored roster if it is newer."""
        try:
            roster = from_json(Roster, item.value)
        except SchemaError:
            return
        if self.stored is None or roster.epoch > self.stored.roster.epoch:
            self.stored = StoredRoster(roster=roster, version=item.version)
        if self.view.adopt_roster(roster):
            log_event(
                EventId.ROSTER_CHANGED,
                epoch=roster.epoch,
                members=self.view.roster_ids(),
            )

    async def run(self) -> None:
        """Proposes changes, one at a time, until cancelled."""
        while True:
            self.wake_event.clear()
            self._check_quorum()
            change = None
            if self.store_synced.is_set() and not self.view.leaving:
                change = await self._plan()
            if change is None or not await self._propose(change):
                await self._wait_for_change()

    async def leave(self) -> None:
        """Removes this daemon from the roster, or gives up at a timeout."""
        change = RemoveMember(member_id=self.view.local_member.id)
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                while self.view.local_member.id in self.view.roster_ids():
                    self.wake_event.clear()
                    if not await self._propose(change):
                        await self._wait_for_change()
        except TimeoutError:
            return  # the others remove this daemon once it is silent

    async def _plan(self) -> RosterChange | None:
        change = self.planner.next_change()
        view = self.view
        majority_agrees = (
            view.majority_has_current_epoch() and view.reaches_majority()
        )
        if change is None and not majority_agrees:
            await self.termination_detector.refresh()
            change = self.planner.next_change()
        return change

    async def _wait_for_change(self) -> None:
        await asyncio.sleep(self.backoff_s * self.rng.uniform(0.5, 1.0))
        try:
            async with asyncio.timeout(ROSTER_CHECK_INTERVAL_S):
                await self.wake_event.wait()
        except TimeoutError:
            return  # a peer becoming silent sets no event, so check again

    async def _propose(self, change: RosterChange) -> bool:
        """Writes the next epoch; returns whether a newer roster was stored."""
        epoch = self.view.roster.epoch
        stored = self.stored or StoredRoster(roster=Roster(), version=ABSENT)
        if stored.roster.epoch != epoch or not self.planner.may_propose(change):
            return stored.roster.epoch < epoch and await self._read_roster()
        roster = apply_roster_change(stored.roster, change)
        if len(roster.members) == len(stored.roster.members):
            return False
        put = await self.store.put(
            ROSTER_KEY, to_json(roster), expected_version=stored.version
        )
        match put:
            case Result(tag="ok", ok=version):
                self._adopt_written(roster, version, change)
                return True
            case Result(error=VersionConflict()):
                jitter_s = self.rng.uniform(0, MAX_CONFLICT_JITTER_S)
                await asyncio.sleep(jitter_s)
                return await self._read_roster()
            case Result(error=StoreUnavailable(outcome_unknown=True)):
                return await self._read_roster()  # the write may have succeeded
        self._back_off()
        return False

    def _adopt_written(
        self, roster: Roster, version: int, change: RosterChange
    ) -> None:
        self.backoff_s = 0.0
        self.handle_object(
            StoredObject(key=ROSTER_KEY, version=version, value=to_json(roster))
        )
        if isinstance(change, RemoveMember):
            log_event(EventId.MEMBER_REMOVED, member=change.member_id)

    async def _read_roster(self) -> bool:
        """Reads the roster; returns whether it is newer."""
        before = self.stored
        match await self.store.get(ROSTER_KEY):
            case Result(tag="ok", ok=StoredObject() as item):
                self.backoff_s = 0.0
                self.handle_object(item)
            case _:
                self._back_off()
        return self.stored is not before

    def _back_off(self) -> None:
        self.backoff_s = min(
            max(2 * self.backoff_s, INITIAL_BACKOFF_S), MAX_BACKOFF_S
        )

    def _check_quorum(self) -> None:
        """Logs a long loss of the quorum that leases need, and its end."""
        now = monotonic_s()
        if self.view.has_quorum():
            self.last_quorum_at = now
            if self.quorum_loss_reported:
                self.quorum_loss_reported = False
                log_event(EventId.STRICT_RIGHTS_RESUMED)
            return
        without_quorum_s = now - max(
            self.last_quorum_at, self.view.last_resumed_at
        )
        if (
            without_quorum_s < self.view.settings.remove_after_s
            or self.quorum_loss_reported
        ):
            return
        self.quorum_loss_reported = True
        log_event(
            EventId.STRICT_RIGHTS_WAITING,
            epoch=self.view.roster.epoch,
            roster=self.view.roster_ids(),
            live=self.view.live_ids(),
        )


__all__ = ["ROSTER_KEY", "RosterManager"]

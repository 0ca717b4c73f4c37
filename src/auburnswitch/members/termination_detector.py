"""Decides which members of the roster have provably terminated."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from expression import Result

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from auburnswitch.members.member_view import MemberView
    from auburnswitch.object_store.client import ObjectStoreClient
    from auburnswitch.schema.objects import Member

INSTANCE_LIST_INTERVAL_S: Final = 2.0


class TerminationDetector:
    """Collects proof that members have terminated.

    There are two proofs. First, a newer daemon runs on the member's instance,
    since an instance runs one daemon at a time. Second, the platform's list of
    instances no longer includes the member's instance; the list lags, so this
    counts only for members known for longer than the lag, and only if the list
    includes this daemon's own instance.

    Attributes:
        view: Roster and liveness of the members.
        store: Reads the list of instances.
        former_ids: Members whose instances run a newer daemon.
        listed_instances: Names in the newest list of instances.
        list_requested_at: Loop time at which that list was requested, in
            seconds.
        duplicate_member_id: Last live member that was reported to use this
            daemon's instance name.
    """

    __slots__ = (
        "duplicate_member_id",
        "former_ids",
        "list_requested_at",
        "listed_instances",
        "store",
        "view",
    )

    def __init__(self, *, view: MemberView, store: ObjectStoreClient) -> None:
        self.view = view
        self.store = store
        self.former_ids: set[str] = set()
        self.listed_instances: frozenset[str] = frozenset()
        self.list_requested_at = -math.inf
        self.duplicate_member_id = ""

    def record_former_ids(self, member_ids: Iterable[str]) -> None:
        """Records the former incarnations that a peer reports of itself."""
        self.former_ids.update(
            i for i in member_ids if i != self.view.local_member.id
        )

    def own_former_ids(self) -> list[str]:
        """Returns this daemon's former incarnations in the roster."""
        return [
            member.id
            for member in self.view.roster.members
            if self._is_former_incarnation(member)
        ]

    def terminated_ids(self) -> list[str]:
        """Returns the members of the roster that have provably terminated."""
        self.former_ids.update(self.own_former_ids())
        members = self.view.roster.members
        self.former_ids.intersection_update(member.id for member in members)
        return [
            member.id
            for member in members
            if member.id in self.former_ids or self._is_instance_removed(member)
        ]

    async def refresh(self) -> None:
        """Reads the list of instances if a member is silent.

        A list younger than ``INSTANCE_LIST_INTERVAL_S`` is not read again.
        """
        suspect_s = self.view.settings.suspect_after_s
        silent = [
            member_id
            for member_id in self.view.roster_ids()
            if self.view.silence_s(member_id) >= suspect_s
        ]
        now = monotonic_s()
        if (
            not silent
            or now - self.list_requested_at < INSTANCE_LIST_INTERVAL_S
        ):
            return
        match await self.store.list_instances():
            case Result(tag="ok", ok=instances):
                self.listed_instances = frozenset(
                    item.name for item in instances
                )
                self.list_requested_at = now

    def _is_former_incarnation(self, member: Member) -> bool:
        local_member = self.view.local_member
        if (
            member.instance != local_member.instance
            or member.id == local_member.id
        ):
            return False
        suspect_s = self.view.settings.suspect_after_s
        if self.view.silence_s(member.id) >= suspect_s:
            return True
        status = self.view.peers.get(member.id)
        if (
            status is not None
            and status.last_received_at > status.first_seen_at
        ):
            self._report_duplicate(member.id)
        return False

    def _report_duplicate(self, member_id: str) -> None:
        if self.duplicate_member_id == member_id:
            return
        self.duplicate_member_id = member_id
        log_event(
            EventId.INSTANCE_NAME_SHARED,
            instance=self.view.local_member.instance,
            member=member_id,
        )

    def _is_instance_removed(self, member: Member) -> bool:
        status = self.view.peers.get(member.id)
        if (
            status is None
            or self.view.local_member.instance not in self.listed_instances
        ):
            return False
        lag_s = self.view.settings.instances_lag_s
        member_age_s = self.list_requested_at - status.first_seen_at
        return (
            member.instance not in self.listed_instances
            and member_age_s >= lag_s
        )


__all__ = ["TerminationDetector"]

"""Computes the configuration in force by joining all accepted tickets."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING

from auburnswitch.observe.invariants import Invariant, Invariants
from auburnswitch.schema.base import to_json
from auburnswitch.schema.objects import (
    AvailabilityZone,
    Change,
    Endpoint,
    ObjectKind,
    Service,
    Snapshot,
    Team,
    Ticket,
    VersionedChange,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ObjectKey = tuple[ObjectKind, str]


class ConfigState:
    """Keeps, for each object, the change with the highest ticket number.

    Joining tickets in any order, any number of times, gives the same state.

    Attributes:
        entries: The newest change of each object, deletions included.
        teams: Teams in force, by name.
        zones: Availability zones in force, by name.
        services: Services in force, by name.
        endpoints: Endpoints in force, by name.
        dangling_endpoints: Reason why each endpoint with a missing service or
            zone is left out, by the endpoint's name.
        team_by_key_digest: Team name by caller-key digest.
        digest: Digest of the state; equal states have equal digests.
        listeners: Callbacks that run after each change of the state.
        invariants: Reports a state that reverts to older changes.
    """

    __slots__ = (
        "_by_service",
        "_joined_numbers",
        "dangling_endpoints",
        "digest",
        "endpoints",
        "entries",
        "invariants",
        "listeners",
        "services",
        "team_by_key_digest",
        "teams",
        "zones",
    )

    def __init__(self, *, invariants: Invariants | None = None) -> None:
        self.entries: dict[ObjectKey, VersionedChange] = {}
        self.listeners: list[Callable[[], None]] = []
        self.invariants = invariants or Invariants()
        self._joined_numbers: dict[ObjectKey, int] = {}
        self._rebuild()

    def join_ticket(self, ticket: Ticket) -> bool:
        """Joins a ticket; returns whether the state changed."""
        changed = [
            self._join(ticket.number, change) for change in ticket.changes
        ]
        return self._finish_join(any(changed))

    def join_snapshot(self, snapshot: Snapshot) -> bool:
        """Joins a snapshot; returns whether the state changed."""
        changed = [
            self._join(entry.number, entry.change) for entry in snapshot.entries
        ]
        return self._finish_join(any(changed))

    def has_joined(self, ticket: Ticket) -> bool:
        """Returns whether a ticket, or newer changes, have been joined."""
        keys = [(ObjectKind(c.kind), c.name) for c in ticket.changes]
        return all(
            self._joined_numbers.get(key, 0) >= ticket.number for key in keys
        )

    def superseded_entries(self, ticket: Ticket) -> list[VersionedChange]:
        """Returns the entries that a ticket supersedes."""
        keys = [(ObjectKind(c.kind), c.name) for c in ticket.changes]
        current = [self.entries[key] for key in keys if key in self.entries]
        return [entry for entry in current if entry.number < ticket.number]

    def snapshot(self) -> Snapshot:
        """Returns the whole state as a snapshot."""
        entries = [self.entries[key] for key in sorted(self.entries)]
        return Snapshot(entries=entries)

    def services_for_model(self, model: str) -> list[str]:
        """Returns the names of the services that serve a model."""
        return [
            name
            for name, service in self.services.items()
            if (service.model or name) == model
        ]

    def endpoints_of(self, service: str) -> list[str]:
        """Returns the names of a service's endpoints, sorted."""
        return self._by_service.get(service, [])

    def _join(self, number: int, change: Change) -> bool:
        key = (ObjectKind(change.kind), change.name)
        current = self.entries.get(key)
        if current is not None and current.number >= number:
            return False
        self.entries[key] = VersionedChange(number=number, change=change)
        return True

    def _finish_join(self, changed: bool) -> bool:
        if changed:
            self._check_monotonic()
            self._rebuild()
            for listener in self.listeners:
                listener()
        return changed

    def _check_monotonic(self) -> None:
        numbers = {key: entry.number for key, entry in self.entries.items()}
        reverted = [
            key
            for key, number in self._joined_numbers.items()
            if numbers.get(key, 0) < number
        ]
        self.invariants.check(
            not reverted, Invariant.STATE_MONOTONIC, objects=reverted
        )
        self._joined_numbers = numbers

    def _rebuild(self) -> None:
        self.teams: dict[str, Team] = {}
        self.zones: dict[str, AvailabilityZone] = {}
        self.services: dict[str, Service] = {}
        self.endpoints: dict[str, Endpoint] = {}
        for entry in self.entries.values():
            self._apply(entry.change)
        self._exclude_dangling()
        self.team_by_key_digest = {
            digest: name
            for name, team in self.teams.items()
            for digest in team.key_digests
        }
        self._by_service: dict[str, list[str]] = {}
        for name in sorted(self.endpoints):
            service = self.endpoints[name].service
            self._by_service.setdefault(service, []).append(name)
        self.digest = self._compute_digest()

    def _exclude_dangling(self) -> None:
        self.dangling_endpoints: dict[str, str] = {}
        for name, endpoint in self.endpoints.items():
            if endpoint.service not in self.services:
                self.dangling_endpoints[name] = (
                    f"unknown service {endpoint.service!r}"
                )
            elif endpoint.zone not in self.zones:
                self.dangling_endpoints[name] = (
                    f"unknown zone {endpoint.zone!r}"
                )
        for name in self.dangling_endpoints:
            del self.endpoints[name]

    def _apply(self, change: Change) -> None:
        if change.deleted:
            return
        match change:
            case Change(kind=ObjectKind.TEAM, team=Team() as team):
                self.teams[change.name] = team
            case Change(zone=AvailabilityZone() as zone):
                self.zones[change.name] = zone
            case Change(service=Service() as service):
                self.services[change.name] = service
            case Change(endpoint=Endpoint() as endpoint):
                self.endpoints[change.name] = endpoint

    def _compute_digest(self) -> str:
        numbers = [
            [kind, name, self.entries[kind, name].number]
            for kind, name in sorted(self.entries)
        ]
        return hashlib.sha256(json.dumps(numbers).encode()).hexdigest()[:16]


def ticket_digest(ticket: Ticket) -> str:
    """Returns a digest of the fields of a ticket that its author wrote."""
    body = to_json(ticket)
    for name in ("accepted_at", "operator", "before"):
        body.pop(name, None)
    text = json.dumps(body, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


__all__ = ["ConfigState", "ObjectKey", "ticket_digest"]

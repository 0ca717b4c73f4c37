"""Builds the audit trail: the changes made by each accepted ticket."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from auburnswitch.schema.base import to_json
from auburnswitch.schema.objects import ObjectKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from auburnswitch.schema.objects import Change, Ticket


@dataclass(slots=True, kw_only=True)
class AuditFilter:
    """Selects changes; a field with its default value matches all.

    Attributes:
        object: Kind and name, such as ``endpoint/e1``, or only the name.
        author: Author of the ticket, or operator whose key submitted it.
        since: Earliest acceptance time, in seconds since the epoch.
    """

    object: str = ""
    author: str = ""
    since: float = -math.inf

    def matches_ticket(self, ticket: Ticket) -> bool:
        """Returns whether a ticket matches ``author`` and ``since``."""
        if ticket.accepted_at < self.since:
            return False
        return not self.author or self.author in (
            ticket.author,
            ticket.operator,
        )

    def matches_change(self, change: Change) -> bool:
        """Returns whether a change matches ``object``."""
        return self.object in ("", change.name, object_name(change))


def object_name(change: Change) -> str:
    """Returns the kind and the name of a change's object."""
    return f"{ObjectKind(change.kind).name.lower()}/{change.name}"


def audit_entries(
    tickets: Iterable[Ticket], audit_filter: AuditFilter
) -> Iterator[dict[str, Any]]:
    """Yields an entry for each matching change, with old and new object."""
    for ticket in filter(audit_filter.matches_ticket, tickets):
        before = {object_name(e.change): e for e in ticket.before}
        for change in filter(audit_filter.matches_change, ticket.changes):
            name = object_name(change)
            yield {
                "number": ticket.number,
                "accepted_at": ticket.accepted_at,
                "author": ticket.author,
                "operator": ticket.operator,
                "note": ticket.note,
                "object": name,
                "before": to_json(before[name]) if name in before else None,
                "after": to_json(change),
            }


__all__ = ["AuditFilter", "audit_entries", "object_name"]

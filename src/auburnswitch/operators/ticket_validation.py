"""Checks a change ticket as a whole before it is accepted."""

from __future__ import annotations

import ipaddress
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from auburnswitch.configuration.state import ConfigState
from auburnswitch.schema.objects import (
    AvailabilityZone,
    Change,
    Endpoint,
    ObjectKind,
    Service,
    Team,
    Ticket,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_TICKET_NUMBER: Final = 10**10 - 1
MAX_NAME_LENGTH: Final = 100
_DIGEST_LENGTH: Final = 64


@dataclass(slots=True, kw_only=True)
class TicketValidationReport:
    """What a check found.

    Attributes:
        errors: Reasons to refuse the ticket.
        warnings: What the operator should know.
    """

    errors: list[str] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)


def validate_ticket(
    ticket: Ticket, state: ConfigState
) -> TicketValidationReport:
    """Checks a ticket against itself and the state it would make."""
    report = TicketValidationReport()
    report.errors += _check_head(ticket)
    seen: set[tuple[int, str]] = set()
    for change in ticket.changes:
        label = _label(change)
        if (change.kind, change.name) in seen:
            report.errors.append(f"{label}: appears twice")
        seen.add((change.kind, change.name))
        report.errors += [f"{label}: {e}" for e in _check_change(change)]
    after = ConfigState()
    after.join_snapshot(state.snapshot())
    after.join_ticket(ticket)
    report.errors += _check_references(ticket, state, after)
    report.warnings += _find_warnings(ticket, state, after)
    return report


def _label(change: Change) -> str:
    return f"{ObjectKind(change.kind).name.lower()} {change.name!r}"


def _check_head(ticket: Ticket) -> Iterator[str]:
    if not 1 <= ticket.number <= MAX_TICKET_NUMBER:
        yield f"number: must be from 1 to {MAX_TICKET_NUMBER}"
    if not ticket.author.strip():
        yield "author: must not be empty"
    if not ticket.changes:
        yield "the ticket changes nothing"


def _check_change(change: Change) -> Iterator[str]:
    if not change.name or len(change.name) > MAX_NAME_LENGTH:
        yield f"a name must have from 1 to {MAX_NAME_LENGTH} characters"
    if "/" in change.name or not change.name.isprintable():
        yield "a name must be printable and have no slash"
    values = [change.team, change.zone, change.service, change.endpoint]
    given = [value for value in values if value is not None]
    if change.deleted:
        if given:
            yield "a deleted object has no value"
        return
    match change:
        case Change(kind=ObjectKind.TEAM, team=Team() as team):
            yield from _check_team(team)
        case Change(kind=ObjectKind.AVAILABILITY_ZONE, zone=AvailabilityZone()):
            pass
        case Change(kind=ObjectKind.SERVICE, service=Service() as service):
            yield from _check_service(service)
        case Change(kind=ObjectKind.ENDPOINT, endpoint=Endpoint() as endpoint):
            yield from _check_endpoint(endpoint)
        case _:
            yield "must have the value of its kind"
    if len(given) > 1:
        yield "must have one value only"


def _check_team(team: Team) -> Iterator[str]:
    for digest in team.key_digests:
        if len(digest) != _DIGEST_LENGTH or not _is_hexadecimal(digest):
            yield "key_digests: must be SHA-256 digests in hexadecimal"
    yield from _not_negative(
        team, "tokens_per_second", "burst_tokens", "max_in_flight"
    )
    if not (math.isfinite(team.weight) and team.weight > 0):
        yield "weight: must be above 0"


def _check_service(service: Service) -> Iterator[str]:
    for name in ("short_deadline_s", "medium_deadline_s", "long_deadline_s"):
        value = getattr(service, name)
        if not (math.isfinite(value) and value > 0):
            yield f"{name}: must be above 0"
    if service.max_attempts < 1:
        yield "max_attempts: must be at least 1"


def _check_endpoint(endpoint: Endpoint) -> Iterator[str]:
    try:
        ipaddress.ip_address(endpoint.host)
    except ValueError:
        yield "host: must be an IP address"
    if not 1 <= endpoint.port <= 65535:
        yield "port: must be from 1 to 65535"
    for name in (
        "memory_tokens",
        "prefill_tokens_per_second",
        "max_running",
        "cold_max_running",
        "cold_max_tokens",
    ):
        if getattr(endpoint, name) < 1:
            yield f"{name}: must be at least 1"
    yield from _not_negative(endpoint, "warm_after")
    if not 0 < endpoint.long_share <= 1:
        yield "long_share: must be above 0 and at most 1"


def _not_negative(value: Team | Endpoint, *names: str) -> Iterator[str]:
    for name in names:
        amount = getattr(value, name)
        if not (math.isfinite(amount) and amount >= 0):
            yield f"{name}: must not be negative"


def _is_hexadecimal(text: str) -> bool:
    return all(character in "0123456789abcdef" for character in text)


def _check_references(
    ticket: Ticket, before: ConfigState, after: ConfigState
) -> Iterator[str]:
    """Finds the references that this ticket breaks.

    What a race of two tickets has broken does not keep a third from being
    accepted.
    """
    changed = {(c.kind, c.name) for c in ticket.changes}
    for name, reason in after.dangling_endpoints.items():
        touched = (ObjectKind.ENDPOINT, name) in changed
        if touched or name not in before.dangling_endpoints:
            yield f"endpoint {name!r}: {reason}"
    for name, service in after.services.items():
        touched = (ObjectKind.SERVICE, name) in changed
        for team in service.teams:
            if team not in after.teams and (touched or team in before.teams):
                yield f"service {name!r}: unknown team {team!r}"
    owners: dict[str, str] = {}
    for name, team in after.teams.items():
        for digest in team.key_digests:
            other = owners.setdefault(digest, name)
            if other != name and (ObjectKind.TEAM, name) in changed:
                yield f"team {name!r}: shares a key with team {other!r}"


def _find_warnings(
    ticket: Ticket, before: ConfigState, after: ConfigState
) -> Iterator[str]:
    for name, reason in after.dangling_endpoints.items():
        yield f"endpoint {name!r} is left out: {reason}"
    for name in after.services:
        if not after.endpoints_of(name):
            yield f"service {name!r} has no endpoint"
        elif all(_is_out(after, e) for e in after.endpoints_of(name)):
            yield f"service {name!r} has no endpoint in service"
    for change in ticket.changes:
        key = (ObjectKind(change.kind), change.name)
        known = before.entries.get(key)
        if known is not None and known.number > ticket.number:
            yield f"{_label(change)} is superseded by ticket {known.number}"


def _is_out(state: ConfigState, endpoint_name: str) -> bool:
    endpoint = state.endpoints[endpoint_name]
    zone = state.zones.get(endpoint.zone)
    return endpoint.leaving or zone is None or zone.out


__all__ = ["TicketValidationReport", "validate_ticket"]

"""Validates a change ticket before it is accepted."""

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
MAX_NAME_CHARS: Final = 100
_DIGEST_HEX_DIGITS: Final = 64


@dataclass(slots=True, kw_only=True)
class TicketValidationReport:
    """Errors and warnings found in a ticket.

    Attributes:
        errors: Reasons to refuse the ticket.
        warnings: Possible problems that do not prevent acceptance.
    """

    errors: list[str] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)


def validate_ticket(
    ticket: Ticket, state: ConfigState
) -> TicketValidationReport:
    """Validates a ticket and the configuration state that results from it."""
    report = TicketValidationReport()
    report.errors += _check_head(ticket)
    seen_objects: set[tuple[int, str]] = set()
    for change in ticket.changes:
        label = _label(change)
        if (change.kind, change.name) in seen_objects:
            report.errors.append(f"{label}: appears twice")
        seen_objects.add((change.kind, change.name))
        report.errors += [f"{label}: {e}" for e in _check_change(change)]
    new_state = ConfigState()
    new_state.join_snapshot(state.snapshot())
    new_state.join_ticket(ticket)
    report.errors += _check_references(ticket, state, new_state)
    report.warnings += _find_warnings(ticket, state, new_state)
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
    if not change.name or len(change.name) > MAX_NAME_CHARS:
        yield f"a name must have from 1 to {MAX_NAME_CHARS} characters"
    if "/" in change.name or not change.name.isprintable():
        yield "a name must be printable and have no slash"
    values = [change.team, change.zone, change.service, change.endpoint]
    present_values = [value for value in values if value is not None]
    if change.deleted:
        if present_values:
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
    if len(present_values) > 1:
        yield "must have one value only"


def _check_team(team: Team) -> Iterator[str]:
    for digest in team.key_digests:
        if len(digest) != _DIGEST_HEX_DIGITS or not _is_hexadecimal(digest):
            yield "key_digests: must be SHA-256 digests in hexadecimal"
    yield from _check_not_negative(
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
    yield from _check_not_negative(endpoint, "warm_after")
    if not 0 < endpoint.long_share <= 1:
        yield "long_share: must be above 0 and at most 1"


def _check_not_negative(value: Team | Endpoint, *names: str) -> Iterator[str]:
    for name in names:
        amount = getattr(value, name)
        if not (math.isfinite(amount) and amount >= 0):
            yield f"{name}: must not be negative"


def _is_hexadecimal(text: str) -> bool:
    return all(character in "0123456789abcdef" for character in text)


def _check_references(
    ticket: Ticket, old_state: ConfigState, new_state: ConfigState
) -> Iterator[str]:
    """Yields an error for each reference that this ticket breaks.

    References that two concurrent tickets have already broken do not block
    other tickets.
    """
    changed_objects = {(c.kind, c.name) for c in ticket.changes}
    for name, reason in new_state.dangling_endpoints.items():
        is_changed = (ObjectKind.ENDPOINT, name) in changed_objects
        if is_changed or name not in old_state.dangling_endpoints:
            yield f"endpoint {name!r}: {reason}"
    for name, service in new_state.services.items():
        is_changed = (ObjectKind.SERVICE, name) in changed_objects
        for team in service.teams:
            if team not in new_state.teams and (
                is_changed or team in old_state.teams
            ):
                yield f"service {name!r}: unknown team {team!r}"
    team_by_digest: dict[str, str] = {}
    for name, team in new_state.teams.items():
        for digest in team.key_digests:
            other_team = team_by_digest.setdefault(digest, name)
            if (
                other_team != name
                and (ObjectKind.TEAM, name) in changed_objects
            ):
                yield f"team {name!r}: shares a key with team {other_team!r}"


def _find_warnings(
    ticket: Ticket, old_state: ConfigState, new_state: ConfigState
) -> Iterator[str]:
    for name, reason in new_state.dangling_endpoints.items():
        yield f"endpoint {name!r} is left out: {reason}"
    for name in new_state.services:
        if not new_state.endpoints_of(name):
            yield f"service {name!r} has no endpoint"
        elif all(
            _is_out_of_service(new_state, e)
            for e in new_state.endpoints_of(name)
        ):
            yield f"service {name!r} has no endpoint in service"
    for change in ticket.changes:
        key = (ObjectKind(change.kind), change.name)
        current = old_state.entries.get(key)
        if current is not None and current.number > ticket.number:
            yield f"{_label(change)} is superseded by ticket {current.number}"


def _is_out_of_service(state: ConfigState, endpoint_name: str) -> bool:
    endpoint = state.endpoints[endpoint_name]
    zone = state.zones.get(endpoint.zone)
    return endpoint.leaving or zone is None or zone.out


__all__ = ["TicketValidationReport", "validate_ticket"]

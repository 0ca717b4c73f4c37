"""Builds endpoint managers without peers, for tests."""

from __future__ import annotations

from typing import Any

from auburnswitch.clock import monotonic_s
from auburnswitch.configuration.state import ConfigState
from auburnswitch.endpoints.endpoint_manager import EndpointManager
from auburnswitch.endpoints.load_report import LoadReport
from auburnswitch.endpoints.reservations import ReservationClient
from auburnswitch.members.member_view import MemberView
from auburnswitch.observe.invariants import Invariants
from auburnswitch.schema.objects import (
    AvailabilityZone,
    Change,
    Endpoint,
    Member,
    ObjectKind,
    Service,
    Ticket,
)
from auburnswitch.schema.peers import ReserveRequest
from auburnswitch.schema.settings import Settings

ENGINE = "engine-0"
ZONE = "daejeon-1"
SERVICE = "front-desk"


class FakeLeases:
    """Ownership leases that a test grants and revokes."""

    def __init__(self) -> None:
        self.held = True
        self.owner = "me"

    def owner_of(self, _: str) -> str:
        """Returns the owner by the roster."""
        return self.owner

    def holds_lease(self, _: str) -> bool:
        """Returns whether the lease is held."""
        return self.held


class FakeMembership:
    """Membership whose links and isolation a test sets."""

    def __init__(self) -> None:
        self.links: dict[str, Any] = {}
        self.tasks: Any = None
        self.isolated = False

    def is_isolated(self) -> bool:
        """Returns whether the daemon is isolated."""
        return self.isolated


def make_endpoint(**values: Any) -> Endpoint:
    """Returns an endpoint of SERVICE in ZONE."""
    return Endpoint(service=SERVICE, zone=ZONE, host="127.0.0.1", **values)


def make_changes(spec: Endpoint, *, zone_out: bool = False) -> list[Change]:
    """Returns the changes that configure one endpoint."""
    zone = AvailabilityZone(out=zone_out)
    return [
        Change(kind=ObjectKind.AVAILABILITY_ZONE, name=ZONE, zone=zone),
        Change(kind=ObjectKind.SERVICE, name=SERVICE, service=Service()),
        Change(kind=ObjectKind.ENDPOINT, name=ENGINE, endpoint=spec),
    ]


def make_endpoint_manager(
    *, recovered: bool = True, **values: Any
) -> EndpointManager:
    """Returns the endpoint manager of a daemon without peers."""
    settings = Settings()
    view = MemberView(local_member=Member(id="me"), settings=settings.members)
    state = ConfigState()
    state.join_ticket(
        Ticket(number=1, changes=make_changes(make_endpoint(**values)))
    )
    manager = EndpointManager(
        settings=settings,
        view=view,
        state=state,
        invariants=Invariants(strict=True),
        leases=FakeLeases(),
    )
    manager.on_load_report(ENGINE, LoadReport(boot_id="b1"), monotonic_s())
    ledger = manager.ledgers[ENGINE]
    ledger.recovering = not recovered
    ledger.work_listed_at = monotonic_s() if recovered else float("-inf")
    return manager


def make_reservation_client(manager: EndpointManager) -> ReservationClient:
    """Returns a reservation client of an endpoint manager."""
    return ReservationClient(
        endpoint_manager=manager, membership=FakeMembership()
    )


def make_reserve_request(**values: Any) -> ReserveRequest:
    """Returns a reservation request."""
    options = {"prompt_tokens": 1000, "answer_tokens": 16, **values}
    return ReserveRequest(endpoint=ENGINE, **options)


__all__ = [
    "ENGINE",
    "FakeMembership",
    "FakeLeases",
    "make_reserve_request",
    "make_changes",
    "make_reservation_client",
    "make_endpoint",
    "make_endpoint_manager",
]

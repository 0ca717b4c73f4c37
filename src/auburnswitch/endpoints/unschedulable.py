"""Tracks which endpoints may receive no new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.schema.peers import EndpointPhase

if TYPE_CHECKING:
    from auburnswitch.configuration.state import ConfigState


class UnschedulableEndpoints:
    """Endpoints that are leaving or whose zone is out of service.

    Attributes:
        state: The configuration in force.
        leaving_instances: Instances that the platform lists as leaving.
        leaving_engines: Endpoints whose load report has the leaving flag.
    """

    __slots__ = ("leaving_engines", "leaving_instances", "state")

    def __init__(self, *, state: ConfigState) -> None:
        self.state = state
        self.leaving_instances: set[str] = set()
        self.leaving_engines: set[str] = set()

    def phase(self, endpoint: str) -> EndpointPhase | None:
        """Returns why an endpoint receives no new work, None if it does."""
        spec = self.state.endpoints.get(endpoint)
        if spec is None or spec.leaving:
            return EndpointPhase.LEAVING
        zone = self.state.zones.get(spec.zone)
        if zone is not None and zone.out:
            return EndpointPhase.OUT
        instance = spec.instance or endpoint
        if instance in self.leaving_instances:
            return EndpointPhase.LEAVING
        if endpoint in self.leaving_engines:
            return EndpointPhase.LEAVING
        return None

    def record_engine_report(self, endpoint: str, *, leaving: bool) -> None:
        """Records whether the endpoint's load report has the leaving flag."""
        if leaving:
            self.leaving_engines.add(endpoint)
        else:
            self.leaving_engines.discard(endpoint)


__all__ = ["UnschedulableEndpoints"]

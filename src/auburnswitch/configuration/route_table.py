"""Looks up what a configuration says about a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from auburnswitch.schema.installation import (
        CallerTeam,
        InstallationConfig,
        Route,
        Service,
    )


class RouteTable:
    """Looks up the route, the service and the team of a request.

    Attributes:
        config: Configuration that the table is built from.
    """

    __slots__ = ("_by_host", "_services", "_teams", "config")

    def __init__(self, *, config: InstallationConfig) -> None:
        self.config = config
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route
        self._services = {service.name: service for service in config.services}
        self._teams = {
            key: team for team in config.teams for key in team.caller_keys
        }

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches a path."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = by_prefix.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def service(self, name: str) -> Service | None:
        """Returns the service with a name."""
        return self._services.get(name)

    def team(self, caller_key: str) -> CallerTeam | None:
        """Returns the team that a caller's key belongs to."""
        return self._teams.get(caller_key)

    def choose_service(self, route: Route, rng: random.Random) -> str:
        """Chooses a service at random by weight; empty if all weights are 0."""
        shares = [share for share in route.shares if share.weight > 0]
        if not shares:
            return ""
        if len(shares) == 1:
            return shares[0].service_name
        weights = [share.weight for share in shares]
        return rng.choices(shares, weights)[0].service_name


__all__ = ["RouteTable"]

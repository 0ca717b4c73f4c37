"""Ways to choose the endpoint of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from auburnswitch.schema.settings import RoutingSettings

TWO_CHOICES: Final = "two-choices"


@dataclass(slots=True, kw_only=True)
class OwnerReservationPolicy:
    """Asks the owners of endpoints for room, the most promising first."""


@dataclass(slots=True, kw_only=True)
class PowerOfTwoChoicesPolicy:
    """Takes the better of some random endpoints by their load reports.

    It asks no owner, so no bound on an endpoint's work holds.

    Attributes:
        sample_size: Endpoints that are compared.
    """

    sample_size: int = 2


PlacementPolicy = OwnerReservationPolicy | PowerOfTwoChoicesPolicy


def make_policy(settings: RoutingSettings) -> PlacementPolicy:
    """Returns the policy that the settings name."""
    if settings.policy == TWO_CHOICES:
        return PowerOfTwoChoicesPolicy()
    return OwnerReservationPolicy()


__all__ = [
    "OwnerReservationPolicy",
    "PlacementPolicy",
    "PowerOfTwoChoicesPolicy",
    "make_policy",
]

"""Ways to choose the endpoint of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from auburnswitch.schema.settings import RoutingSettings

TWO_CHOICES: Final = "two-choices"


@dataclass(slots=True, kw_only=True)
class OwnerReservations:
    """Asks the owners of endpoints for room, the most promising first."""


@dataclass(slots=True, kw_only=True)
class TwoChoices:
    """Takes the better of some random endpoints by their load reports.

    It asks no owner, so no bound on an endpoint's work holds.

    Attributes:
        choices: Endpoints that are compared.
    """

    choices: int = 2


PlacementPolicy = OwnerReservations | TwoChoices


def make_policy(settings: RoutingSettings) -> PlacementPolicy:
    """Returns the policy that the settings name."""
    if settings.policy == TWO_CHOICES:
        return TwoChoices()
    return OwnerReservations()


__all__ = [
    "OwnerReservations",
    "PlacementPolicy",
    "TwoChoices",
    "make_policy",
]

"""Defines the policies that choose the endpoint of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from auburnswitch.schema.settings import RoutingSettings

TWO_CHOICES: Final = "two-choices"


@dataclass(slots=True, kw_only=True)
class OwnerReservationPolicy:
    """Reserves capacity at endpoint owners, the best candidate first."""


@dataclass(slots=True, kw_only=True)
class PowerOfTwoChoicesPolicy:
    """Chooses the least loaded of a random sample of endpoints.

    The policy uses load reports and makes no reservation at the owner, so it
    doesn't bound the queued and running requests of an endpoint.

    Attributes:
        sample_size: Number of endpoints to compare.
    """

    sample_size: int = 2


PlacementPolicy = OwnerReservationPolicy | PowerOfTwoChoicesPolicy


def make_policy(settings: RoutingSettings) -> PlacementPolicy:
    """Returns the policy selected in the settings."""
    if settings.policy == TWO_CHOICES:
        return PowerOfTwoChoicesPolicy()
    return OwnerReservationPolicy()


__all__ = [
    "OwnerReservationPolicy",
    "PlacementPolicy",
    "PowerOfTwoChoicesPolicy",
    "make_policy",
]

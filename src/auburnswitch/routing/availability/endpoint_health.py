"""Scores endpoints by their recent failures."""

from __future__ import annotations

from collections import defaultdict
from typing import Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

SUSPECT_SCORE: Final = 1.5
SUCCESS_FACTOR: Final = 0.6  # of the score, which a success lowers
HARD_FAILURE_WEIGHT: Final = 1.0  # no answer, or a broken one
SOFT_FAILURE_WEIGHT: Final = 0.5  # the endpoint answered with an error
HALF_LIFE_S: Final = 2.0


class _Score:
    __slots__ = ("updated_at", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.updated_at = monotonic_s()

    def decay(self) -> float:
        now = monotonic_s()
        self.value *= 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.updated_at = now
        return self.value


class EndpointHealth:
    """Scores endpoints by their failures; scores decay exponentially.

    Attributes:
        scores: Failure score by endpoint id.
    """

    __slots__ = ("scores",)

    def __init__(self) -> None:
        self.scores: defaultdict[str, _Score] = defaultdict(_Score)

    def record_failure(
        self, endpoint: str, reason: str, weight: float = HARD_FAILURE_WEIGHT
    ) -> None:
        """Records a failed request."""
        score = self.scores[endpoint]
        before = score.decay()
        score.value = before + weight
        if before < SUSPECT_SCORE <= score.value:
            log_event(
                EventId.ENDPOINT_SUSPECTED, endpoint=endpoint, reason=reason
            )

    def record_success(self, endpoint: str) -> None:
        """Records a successful request, which lowers the score."""
        if endpoint in self.scores:
            score = self.scores[endpoint]
            score.value = score.decay() * SUCCESS_FACTOR

    def is_suspect(self, endpoint: str) -> bool:
        """Returns whether other endpoints should be tried first."""
        if endpoint not in self.scores:
            return False
        return self.scores[endpoint].decay() >= SUSPECT_SCORE


__all__ = ["HARD_FAILURE_WEIGHT", "SOFT_FAILURE_WEIGHT", "EndpointHealth"]

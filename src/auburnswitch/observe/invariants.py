"""Checks invariants while the daemon runs."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

from opentelemetry.metrics import Observation

from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Iterator

    from opentelemetry.metrics import CallbackOptions


class Invariant(enum.Enum):
    """Invariants of the daemon, each with a description."""

    COLD_BOUND = "a cold endpoint receives no more than its bound"
    ZONE_OUT = "a zone taken out of service receives no new work"
    LEAVING = "a leaving endpoint receives no new work"
    WHOLE_ANSWER = "an answer is complete and belongs to its request"
    NOT_RUN = "a request refused as not run was not dispatched"
    AT_MOST_ONCE = "a non-idempotent request is dispatched at most once"
    STATE_MONOTONIC = "the configuration in force never reverts"
    DEADLINE = "an admitted request ends within its deadline"
    MEMORY_FREED = "a finished request holds no reservation"
    GRACEFUL_STOP = "a planned stop cuts off no request"


class InvariantError(AssertionError):
    """An invariant does not hold."""


class Invariants:
    """Counts and logs violations of invariants; in tests, also raises them.

    Attributes:
        strict: Whether a violation raises ``InvariantError``.
        violations: Number of violations by invariant.
    """

    __slots__ = ("strict", "violations")

    def __init__(self, *, strict: bool = False) -> None:
        self.strict = strict
        self.violations: dict[Invariant, int] = {}

    def check(
        self, condition: bool, invariant: Invariant, **details: Any
    ) -> None:
        """Records a violation unless the condition holds.

        Raises:
            InvariantError: The condition does not hold and ``strict`` is set.
        """
        if condition:
            return
        self.violations[invariant] = self.violations.get(invariant, 0) + 1
        log_event(
            EventId.INVARIANT_VIOLATED,
            invariant=invariant.name.lower(),
            details=details,
        )
        if self.strict:
            raise InvariantError(f"{invariant.value}: {details}")

    def observe(self, _: CallbackOptions) -> Iterator[Observation]:
        """Yields the number of violations of each invariant."""
        for invariant in Invariant:
            count = self.violations.get(invariant, 0)
            yield Observation(count, {"invariant": invariant.name.lower()})


__all__ = ["Invariant", "InvariantError", "Invariants"]

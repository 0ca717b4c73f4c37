"""Describes a refusal of prompt parts, in messages and in the log too."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.gossip import PartRefusal

if TYPE_CHECKING:
    from auburnswitch.routing.crashes.part_evidence import Parts
    from auburnswitch.schema.events import EventId

MAX_TRIALS: Final = 2  # of the same releases of a service
FIRST_TRIAL_AFTER_S: Final = 900.0
NEXT_TRIAL_FACTOR: Final = 6.0
REFUSAL_TTL_S: Final = 24 * 3600.0


@dataclass(slots=True, kw_only=True, eq=False)
class Refusal:
    """Parts that crash endpoints.

    A request with all of them is refused. One with only some of them is tried,
    one at a time, as it shows which of them is to blame.

    Attributes:
        service: Service whose endpoints crash.
        parts: The parts.
        evidence_at: Loop time of the first crash that decided it, in seconds.
        last_crash_at: Loop time of the last crash, in seconds.
        releases: Releases of the service's endpoints that crashed.
        trials: Number of refused requests that were tried again.
        tried_request: Id of the request that is tried at this daemon, empty if
            none is.
    """

    service: str
    parts: Parts
    evidence_at: float
    last_crash_at: float
    releases: set[str] = field(default_factory=set)
    trials: int = 0
    tried_request: str = ""

    @property
    def next_trial_at(self) -> float:
        """Loop time from which a request may be tried again, in seconds."""
        if self.trials >= MAX_TRIALS:
            return math.inf
        delay_s = FIRST_TRIAL_AFTER_S * NEXT_TRIAL_FACTOR**self.trials
        return self.last_crash_at + delay_s

    @property
    def expires_at(self) -> float:
        """Loop time at which it ends, in seconds."""
        return self.last_crash_at + REFUSAL_TTL_S


def merge(known: Refusal, other: Refusal) -> None:
    """Adds what another description of a refusal knows more."""
    known.last_crash_at = max(known.last_crash_at, other.last_crash_at)
    known.evidence_at = max(known.evidence_at, other.evidence_at)
    known.trials = max(known.trials, other.trials)
    known.releases |= other.releases


def encode_refusal(refusal: Refusal) -> PartRefusal:
    """Returns a final refusal as peers receive it."""
    now = monotonic_s()
    return PartRefusal(
        service_name=refusal.service,
        parts=sorted(refusal.parts),
        evidence_age_s=now - refusal.evidence_at,
        last_crash_age_s=now - refusal.last_crash_at,
        trials=refusal.trials,
        releases=sorted(refusal.releases),
        confirmed=True,
    )


def decode_refusal(encoded: PartRefusal, age_s: float = 0.0) -> Refusal:
    """Returns the refusal that a message or an object of the store describes.

    Args:
        encoded: The message or object.
        age_s: Time since it was written, in seconds.
    """
    written_at = monotonic_s() - max(0.0, age_s)
    return Refusal(
        service=encoded.service_name,
        parts=frozenset(encoded.parts),
        evidence_at=written_at - max(0.0, encoded.evidence_age_s),
        last_crash_at=written_at - max(0.0, encoded.last_crash_age_s),
        releases=set(encoded.releases),
        trials=encoded.trials,
    )


def log_refusal(event: EventId, refusal: Refusal, **fields: str) -> None:
    """Logs what has become of a refusal."""
    now = monotonic_s()
    log_event(
        event,
        service=refusal.service,
        parts=sorted(refusal.parts),
        evidence_age_s=round(now - refusal.evidence_at, 3),
        last_crash_age_s=round(now - refusal.last_crash_at, 3),
        trials=refusal.trials,
        **fields,
    )


__all__ = [
    "FIRST_TRIAL_AFTER_S",
    "MAX_TRIALS",
    "REFUSAL_TTL_S",
    "Refusal",
    "decode_refusal",
    "encode_refusal",
    "log_refusal",
    "merge",
]

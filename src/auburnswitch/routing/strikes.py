"""Remembers which requests were in flight when an endpoint crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.peers import Strike

if TYPE_CHECKING:
    from auburnswitch.schema.peers import Heartbeat

MAX_STRIKES: Final = 2
MAX_FINGERPRINTS: Final = 10_000
MAX_SPREAD: Final = 200  # strikes in one heartbeat
SPREAD_S: Final = 3.0  # time for which a peer is told again

Crash = tuple[str, str]  # endpoint and its start


class StrikeBook:
    """The strikes of each request by its fingerprint.

    One crash gives one strike, whoever reports it.

    Attributes:
        retention_s: Time that a strike is remembered, in seconds.
        struck_at: Loop time of each strike in seconds, by crash, by
            fingerprint.
        told: Loop time at which each peer was first told of each strike, in
            seconds.
    """

    __slots__ = ("retention_s", "struck_at", "told")

    def __init__(self, *, retention_s: float) -> None:
        self.retention_s = retention_s
        self.struck_at: dict[str, dict[Crash, float]] = {}
        self.told: dict[str, dict[tuple[str, Crash], float]] = {}

    def add(
        self, fingerprint: str, endpoint: str, boot_id: str, age_s: float = 0.0
    ) -> bool:
        """Adds a strike; returns whether it is new."""
        crashes = self.struck_at.setdefault(fingerprint, {})
        if (endpoint, boot_id) in crashes or age_s > self.retention_s:
            return False
        crashes[endpoint, boot_id] = monotonic_s() - age_s
        if len(self.struck_at) > MAX_FINGERPRINTS:
            del self.struck_at[next(iter(self.struck_at))]
        log_event(
            EventId.CRASH_STRIKE,
            fingerprint=fingerprint,
            endpoint=endpoint,
            boot_id=boot_id,
        )
        return True

    def count(self, fingerprint: str) -> int:
        """Returns the strikes of a request that have not expired."""
        crashes = self.struck_at.get(fingerprint)
        if not crashes:
            return 0
        oldest = monotonic_s() - self.retention_s
        for crash in [c for c, at in crashes.items() if at < oldest]:
            del crashes[crash]
        if not crashes:
            del self.struck_at[fingerprint]
        return len(crashes)

    def is_struck(self, fingerprint: str) -> bool:
        """Tells whether a request was in flight at a crash."""
        return self.count(fingerprint) > 0

    def is_refused(self, fingerprint: str) -> bool:
        """Tells whether a request must not run again."""
        return self.count(fingerprint) >= MAX_STRIKES

    def fill_heartbeat(self, heartbeat: Heartbeat, peer_id: str) -> None:
        """Adds the strikes that a peer has not been told of for long."""
        now = monotonic_s()
        told = self.told.setdefault(peer_id, {})
        known = {
            (fingerprint, crash)
            for fingerprint in list(self.struck_at)
            if self.is_struck(fingerprint)
            for crash in self.struck_at[fingerprint]
        }
        for key in told.keys() - known:
            del told[key]
        for key in sorted(known):
            if len(heartbeat.strikes) >= MAX_SPREAD:
                return
            if now - told.setdefault(key, now) <= SPREAD_S:
                heartbeat.strikes.append(self._strike(*key))

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes a peer's strikes."""
        for strike in heartbeat.strikes:
            self.add(
                strike.fingerprint,
                strike.endpoint,
                strike.boot_id,
                max(0.0, strike.age_s),
            )

    def _strike(self, fingerprint: str, crash: Crash) -> Strike:
        endpoint, boot_id = crash
        return Strike(
            fingerprint=fingerprint,
            endpoint=endpoint,
            boot_id=boot_id,
            age_s=monotonic_s() - self.struck_at[fingerprint][crash],
        )


__all__ = ["MAX_STRIKES", "StrikeBook"]

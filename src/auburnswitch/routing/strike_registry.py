"""Remembers which requests were in flight when an endpoint crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.peers import Strike

if TYPE_CHECKING:
    from auburnswitch.schema.peers import Heartbeat

STRIKES_TO_REFUSE: Final = 2
MAX_FINGERPRINTS: Final = 10_000
MAX_STRIKES_PER_HEARTBEAT: Final = 200  # strikes in one heartbeat
ANNOUNCE_DURATION_S: Final = 3.0  # time for which a peer is told again

CrashId = tuple[str, str]  # endpoint and its start
StrikeNotice = tuple[
    str, CrashId, bool
]  # fingerprint, crash, whether it is cleared


class StrikeRegistry:
    """The strikes of each request by its fingerprint.

    One crash gives one strike, whoever reports it. A request that has run to
    its end since is cleared of its strikes: many callers may send the same
    request, and one of them was in flight when another request crashed the
    endpoint.

    Attributes:
        retention_s: Time that a strike is remembered, in seconds.
        struck_at: Loop time of each strike in seconds, by crash, by
            fingerprint.
        cleared: Crashes that no longer count, by fingerprint.
        announced_at: Loop time at which each peer was first told of each
            strike, in seconds.
    """

    __slots__ = ("announced_at", "cleared", "retention_s", "struck_at")

    def __init__(self, *, retention_s: float) -> None:
        self.retention_s = retention_s
        self.struck_at: dict[str, dict[CrashId, float]] = {}
        self.cleared: dict[str, set[CrashId]] = {}
        self.announced_at: dict[str, dict[StrikeNotice, float]] = {}

    def add(
        self, fingerprint: str, endpoint: str, boot_id: str, age_s: float = 0.0
    ) -> bool:
        """Adds a strike; returns whether it is new."""
        crashes = self.struck_at.setdefault(fingerprint, {})
        if (endpoint, boot_id) in crashes or age_s > self.retention_s:
            return False
        crashes[endpoint, boot_id] = monotonic_s() - age_s
        if len(self.struck_at) > MAX_FINGERPRINTS:
            oldest = next(iter(self.struck_at))
            del self.struck_at[oldest]
            self.cleared.pop(oldest, None)
        log_event(
            EventId.CRASH_STRIKE,
            fingerprint=fingerprint,
            endpoint=endpoint,
            boot_id=boot_id,
        )
        return True

    def clear(self, fingerprint: str) -> None:
        """Clears a request that has run to its end of its strikes."""
        if crashes := self.struck_at.get(fingerprint):
            self.cleared.setdefault(fingerprint, set()).update(crashes)

    def count(self, fingerprint: str) -> int:
        """Returns the strikes of a request that still count."""
        self._expire(fingerprint)
        crashes = self.struck_at.get(fingerprint, {})
        cleared = self.cleared.get(fingerprint, set())
        return len(crashes.keys() - cleared)

    def _expire(self, fingerprint: str) -> None:
        crashes = self.struck_at.get(fingerprint)
        if not crashes:
            return
        oldest = monotonic_s() - self.retention_s
        for crash in [c for c, at in crashes.items() if at < oldest]:
            del crashes[crash]
        if not crashes:
            del self.struck_at[fingerprint]
            self.cleared.pop(fingerprint, None)

    def is_struck(self, fingerprint: str) -> bool:
        """Tells whether a request was in flight at a crash."""
        return self.count(fingerprint) > 0

    def is_refused(self, fingerprint: str) -> bool:
        """Tells whether a request must not run again."""
        return self.count(fingerprint) >= STRIKES_TO_REFUSE

    def fill_heartbeat(self, heartbeat: Heartbeat, peer_id: str) -> None:
        """Adds the strikes that a peer has not been told of for long."""
        now = monotonic_s()
        told = self.announced_at.setdefault(peer_id, {})
        for fingerprint in list(self.struck_at):
            self._expire(fingerprint)
        known = {
            (fingerprint, crash, crash in self.cleared.get(fingerprint, ()))
            for fingerprint, crashes in self.struck_at.items()
            for crash in crashes
        }
        for key in told.keys() - known:
            del told[key]
        for key in sorted(known):
            if len(heartbeat.strikes) >= MAX_STRIKES_PER_HEARTBEAT:
                return
            if now - told.setdefault(key, now) <= ANNOUNCE_DURATION_S:
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
            crash = (strike.endpoint, strike.boot_id)
            known = self.struck_at.get(strike.fingerprint, {})
            if strike.cleared and crash in known:
                self.cleared.setdefault(strike.fingerprint, set()).add(crash)

    def _strike(
        self, fingerprint: str, crash: CrashId, cleared: bool
    ) -> Strike:
        endpoint, boot_id = crash
        return Strike(
            fingerprint=fingerprint,
            endpoint=endpoint,
            boot_id=boot_id,
            age_s=monotonic_s() - self.struck_at[fingerprint][crash],
            cleared=cleared,
        )


__all__ = ["STRIKES_TO_REFUSE", "StrikeRegistry"]

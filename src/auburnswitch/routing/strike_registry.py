"""Records which requests were in flight when an endpoint crashed."""

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
MAX_STRIKES_PER_HEARTBEAT: Final = 200
ANNOUNCE_DURATION_S: Final = 3.0  # time that a strike is repeated to a peer

CrashId = tuple[str, str]  # endpoint, boot id
# Fingerprint, crash, whether the strike is cleared.
StrikeNotice = tuple[str, CrashId, bool]


class StrikeRegistry:
    """Holds the strikes of each request by its fingerprint.

    One crash adds one strike, however many daemons report it. A request that
    later completes is cleared of its strikes: many callers may send the same
    request, and one copy may have been in flight when a different request
    crashed the endpoint.

    Attributes:
        retention_s: Time that a strike is kept, in seconds.
        strike_times: Loop time of each strike in seconds, by crash, by
            fingerprint.
        cleared: Crashes whose strikes no longer count, by fingerprint.
        announced_at: Loop time at which each strike was first announced to
            each peer, in seconds.
    """

    __slots__ = ("announced_at", "cleared", "retention_s", "strike_times")

    def __init__(self, *, retention_s: float) -> None:
        self.retention_s = retention_s
        self.strike_times: dict[str, dict[CrashId, float]] = {}
        self.cleared: dict[str, set[CrashId]] = {}
        self.announced_at: dict[str, dict[StrikeNotice, float]] = {}

    def add(
        self, fingerprint: str, endpoint: str, boot_id: str, age_s: float = 0.0
    ) -> bool:
        """Adds a strike and returns whether it is new."""
        crashes = self.strike_times.setdefault(fingerprint, {})
        if (endpoint, boot_id) in crashes or age_s > self.retention_s:
            return False
        crashes[endpoint, boot_id] = monotonic_s() - age_s
        if len(self.strike_times) > MAX_FINGERPRINTS:
            oldest = next(iter(self.strike_times))
            del self.strike_times[oldest]
            self.cleared.pop(oldest, None)
        log_event(
            EventId.CRASH_STRIKE,
            fingerprint=fingerprint,
            endpoint=endpoint,
            boot_id=boot_id,
        )
        return True

    def clear(self, fingerprint: str) -> None:
        """Clears the strikes of a request that has completed."""
        if crashes := self.strike_times.get(fingerprint):
            self.cleared.setdefault(fingerprint, set()).update(crashes)

    def count(self, fingerprint: str) -> int:
        """Returns the number of strikes of a request that still count."""
        self._expire(fingerprint)
        crashes = self.strike_times.get(fingerprint, {})
        cleared = self.cleared.get(fingerprint, set())
        return len(crashes.keys() - cleared)

    def _expire(self, fingerprint: str) -> None:
        crashes = self.strike_times.get(fingerprint)
        if not crashes:
            return
        cutoff_at = monotonic_s() - self.retention_s
        for crash in [c for c, at in crashes.items() if at < cutoff_at]:
            del crashes[crash]
        if not crashes:
            del self.strike_times[fingerprint]
            self.cleared.pop(fingerprint, None)

    def has_strikes(self, fingerprint: str) -> bool:
        """Returns whether a request has a strike that counts."""
        return self.count(fingerprint) > 0

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether a request must not run again."""
        return self.count(fingerprint) >= STRIKES_TO_REFUSE

    def fill_heartbeat(self, heartbeat: Heartbeat, peer_id: str) -> None:
        """Adds the strikes that are still to be announced to a peer."""
        now = monotonic_s()
        announced = self.announced_at.setdefault(peer_id, {})
        for fingerprint in list(self.strike_times):
            self._expire(fingerprint)
        current_notices = {
            (fingerprint, crash, crash in self.cleared.get(fingerprint, ()))
            for fingerprint, crashes in self.strike_times.items()
            for crash in crashes
        }
        for notice in announced.keys() - current_notices:
            del announced[notice]
        for notice in sorted(current_notices):
            if len(heartbeat.strikes) >= MAX_STRIKES_PER_HEARTBEAT:
                return
            if now - announced.setdefault(notice, now) <= ANNOUNCE_DURATION_S:
                heartbeat.strikes.append(self._make_strike(*notice))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Merges the strikes in a peer's heartbeat."""
        for strike in heartbeat.strikes:
            self.add(
                strike.fingerprint,
                strike.endpoint,
                strike.boot_id,
                max(0.0, strike.age_s),
            )
            crash = (strike.endpoint, strike.boot_id)
            recorded = self.strike_times.get(strike.fingerprint, {})
            if strike.cleared and crash in recorded:
                self.cleared.setdefault(strike.fingerprint, set()).add(crash)

    def _make_strike(
        self, fingerprint: str, crash: CrashId, cleared: bool
    ) -> Strike:
        endpoint, boot_id = crash
        return Strike(
            fingerprint=fingerprint,
            endpoint=endpoint,
            boot_id=boot_id,
            age_s=monotonic_s() - self.strike_times[fingerprint][crash],
            cleared=cleared,
        )


__all__ = ["STRIKES_TO_REFUSE", "StrikeRegistry"]

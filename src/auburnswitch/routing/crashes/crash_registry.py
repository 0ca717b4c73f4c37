"""Records which requests an endpoint was running when it crashed."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from auburnswitch.platform.requests import CallerRequest

CRASHES_TO_FORBID_RETRY: Final = 2
CRASHES_TO_REFUSE: Final = 3
RETENTION_S: Final = 600.0
MAX_FINGERPRINTS: Final = 5000
ANNOUNCE_DURATION_S: Final = 1.5
MAX_CRASHES_PER_DATAGRAM: Final = 40
_SEPARATOR: Final = "/"


class CrashRegistry:
    """Counts the crashes during which each request was running.

    A crash is identified by the request's fingerprint and the endpoint, so that
    reports of the same crash from several daemons count once. A request that
    crashes endpoints never succeeds, so a success clears it.

    Attributes:
        on_change: Called with a fingerprint and its crashes when a request that
            crashed an endpoint of this daemon is refused from now on, and
            without crashes when it no longer is.
    """

    __slots__ = (
        "_cleared_at",
        "_crashes",
        "_observed",
        "_recorded_at",
        "on_change",
    )

    def __init__(
        self, *, on_change: Callable[[str, list[str]], None] | None = None
    ) -> None:
        self.on_change = on_change
        self._observed: set[str] = set()
        self._crashes: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._recorded_at: dict[str, float] = {}
        self._cleared_at: dict[str, float] = {}

    def record_crash(self, fingerprint: str, endpoint: str) -> None:
        """Records a crash that this daemon has observed."""
        # Peers that heard of a clearance later would lose this crash.
        self._cleared_at.pop(fingerprint, None)
        self._observed.add(fingerprint)
        if self._add(fingerprint, endpoint):
            crash_id = f"{fingerprint}{_SEPARATOR}{endpoint}"
            self._recorded_at[crash_id] = monotonic_s()
            log_event(
                EventId.CRASH_STRIKE,
                fingerprint=fingerprint,
                endpoint=endpoint,
                crashes=self.count(fingerprint),
            )

    def record_success(self, fingerprint: str) -> None:
        """Clears a request that an endpoint has run to its end."""
        if fingerprint in self._crashes:
            was_refused = self.is_refused(fingerprint)
            self._clear(fingerprint)
            if was_refused and self.on_change is not None:
                self.on_change(fingerprint, [])
            self._cleared_at[fingerprint] = monotonic_s()

    def merge_peer_announcements(self, announcements: Iterable[str]) -> None:
        """Applies the crashes and clearances that a peer has observed."""
        for announcement in announcements:
            fingerprint, separator, endpoint = announcement.partition(
                _SEPARATOR
            )
            if endpoint:
                self._add(fingerprint, endpoint)
            elif separator:
                self._clear(fingerprint)

    def recent_announcements(self) -> list[str]:
        """Returns this daemon's crashes and clearances for its peers.

        A crash is announced as its fingerprint and endpoint, a clearance as a
        fingerprint without an endpoint.
        """
        _discard_before(self._recorded_at, monotonic_s() - ANNOUNCE_DURATION_S)
        _discard_before(self._cleared_at, monotonic_s() - ANNOUNCE_DURATION_S)
        clearances = [f"{name}{_SEPARATOR}" for name in self._cleared_at]
        return [*self._recorded_at, *clearances][:MAX_CRASHES_PER_DATAGRAM]

    def adopt(
        self, fingerprint: str, crashes: Iterable[str], age_s: float
    ) -> None:
        """Adopts a refused request that was read from the store.

        Args:
            fingerprint: Fingerprint of the request.
            crashes: Its crashes.
            age_s: Time since the last of them, in seconds.
        """
        for crash in crashes:
            self._add(fingerprint, crash, age_s=max(0.0, age_s))

    def refused(self) -> dict[str, list[str]]:
        """Returns the crashes of the refused requests by fingerprint."""
        return {
            fingerprint: [*crashes]
            for fingerprint, crashes in self._crashes.items()
            if self.is_refused(fingerprint)
        }

    def count(self, fingerprint: str) -> int:
        """Returns how many endpoints crashed while running a request."""
        cutoff_at = monotonic_s() - RETENTION_S
        crashes = self._crashes.get(fingerprint, {})
        return sum(at >= cutoff_at for at in crashes.values())

    def is_retry_forbidden(self, fingerprint: str) -> bool:
        """Returns whether a request must not be retried."""
        return self.count(fingerprint) >= CRASHES_TO_FORBID_RETRY

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether a request must not be sent to any endpoint."""
        return self.count(fingerprint) >= CRASHES_TO_REFUSE

    def _clear(self, fingerprint: str) -> None:
        self._observed.discard(fingerprint)
        for endpoint in self._crashes.pop(fingerprint, {}):
            crash_id = f"{fingerprint}{_SEPARATOR}{endpoint}"
            self._recorded_at.pop(crash_id, None)

    def _add(
        self, fingerprint: str, endpoint: str, *, age_s: float = 0.0
    ) -> bool:
        crashes = self._crashes.setdefault(fingerprint, {})
        if endpoint in crashes:
            return False
        crashes[endpoint] = monotonic_s() - age_s
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > MAX_FINGERPRINTS:
            oldest, _ = self._crashes.popitem(last=False)
            self._observed.discard(oldest)
        is_observed = fingerprint in self._observed
        if self.on_change and is_observed and self.is_refused(fingerprint):
            self.on_change(fingerprint, [*crashes])
        return True


def _discard_before(times: dict[str, float], time_s: float) -> None:
    for name in [name for name, at in times.items() if at < time_s]:
        del times[name]


def compute_fingerprint(request: CallerRequest, body: bytes) -> str:
    """Returns a hash that identifies a request when it is sent again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.target, request.caller_key):
        digest.update(part.encode("latin-1", "replace") + b"\0")
    digest.update(body)
    return digest.hexdigest()


__all__ = ["CrashRegistry", "compute_fingerprint"]

"""Remembers which requests were at an endpoint when it crashed."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from auburnswitch.platform.requests import CallerRequest

CRASHES_TO_FORBID_RETRY: Final = 2  # from which a request is no longer repeated
CRASHES_TO_REFUSE: Final = 3  # from which it is refused
RETENTION_S: Final = 600.0
MAX_FINGERPRINTS: Final = 5000
ANNOUNCE_DURATION_S: Final = 1.5  # for which peers are told of a crash
MAX_CRASHES_PER_DATAGRAM: Final = 40  # crashes in one datagram
_SEPARATOR: Final = "/"


class CrashRegistry:
    """Crashes by the fingerprints of the requests that were there.

    A crash is known by its endpoint, so that reports of several daemons about
    the same one count once.
    """

    __slots__ = ("_crashes", "_news")

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._news: dict[str, float] = {}

    def record_crash(self, fingerprint: str, endpoint: str) -> None:
        """Counts a crash that this daemon has seen."""
        if self._add(fingerprint, endpoint):
            name = f"{fingerprint}{_SEPARATOR}{endpoint}"
            self._news[name] = monotonic_s()
            log_event(
                EventId.CRASH_STRIKE,
                fingerprint=fingerprint,
                endpoint=endpoint,
                crashes=self.count(fingerprint),
            )

    def merge_peer_crashes(self, names: Iterable[str]) -> None:
        """Counts crashes that a peer has seen."""
        for name in names:
            fingerprint, _, endpoint = name.partition(_SEPARATOR)
            if endpoint:
                self._add(fingerprint, endpoint)

    def recent_local_crashes(self) -> list[str]:
        """Returns the crashes that peers are told of."""
        now = monotonic_s()
        old = [
            n for n, at in self._news.items() if at < now - ANNOUNCE_DURATION_S
        ]
        for name in old:
            del self._news[name]
        return list(self._news)[:MAX_CRASHES_PER_DATAGRAM]

    def count(self, fingerprint: str) -> int:
        """Returns how often a request was at an endpoint that crashed."""
        since = monotonic_s() - RETENTION_S
        crashes = self._crashes.get(fingerprint, {})
        return sum(at >= since for at in crashes.values())

    def is_retry_forbidden(self, fingerprint: str) -> bool:
        """Whether a request may be sent to one endpoint only."""
        return self.count(fingerprint) >= CRASHES_TO_FORBID_RETRY

    def is_refused(self, fingerprint: str) -> bool:
        """Whether a request may not be sent to any endpoint."""
        return self.count(fingerprint) >= CRASHES_TO_REFUSE

    def _add(self, fingerprint: str, endpoint: str) -> bool:
        crashes = self._crashes.setdefault(fingerprint, {})
        if endpoint in crashes:
            return False
        crashes[endpoint] = monotonic_s()
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)
        return True


def compute_fingerprint(request: CallerRequest, body: bytes) -> str:
    """Returns what recognises a request that comes again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.target, request.caller_key):
        digest.update(part.encode("latin-1", "replace") + b"\0")
    digest.update(body)
    return digest.hexdigest()


__all__ = ["CrashRegistry", "compute_fingerprint"]

"""Finds the prompt parts that crash endpoints.

A part that crashes each endpoint which begins an answer with it has two marks:
it was in flight at several crashes, and no answer with it gets past its
beginning. A sound part may be in flight at as many crashes, but answers with
it go on, mostly right before or after a crash.
"""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, NamedTuple

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

STRIKES_TO_REFUSE: Final = 4
MIN_REQUESTS: Final = 2  # a single one may crash endpoints by itself
# Endpoints that crash together, as in the loss of a zone, have one cause.
MIN_STRIKE_GAP_S: Final = 0.1
# A part in an answer that went on shortly before a crash didn't cause it.
START_GRACE_S: Final = 1.0
RETENTION_S: Final = 600.0
MAX_CRASHES: Final = 2000
MAX_SUSPECTS_PER_CRASH: Final = 64
MAX_PARTS_PER_SUSPECT: Final = 256
MAX_STARTED_PARTS: Final = 10_000
MAX_RECENT_STARTS: Final = 256

Parts = frozenset[str]
CrashId = tuple[str, int]  # endpoint and start of its process


@dataclass(slots=True, kw_only=True)
class Crash:
    """A crash of an endpoint.

    Attributes:
        service: Service of the endpoint.
        at: Loop time, in seconds.
        suspects: Shared parts of the requests whose answers hadn't got past
            their beginning, by the requests' fingerprints.
        observed_here: Whether this daemon had one of these requests.
    """

    service: str
    at: float
    suspects: dict[str, Parts] = field(default_factory=dict)
    observed_here: bool = False


class Start(NamedTuple):
    """An answer that has got past its beginning."""

    service: str
    at: float
    parts: Parts


@dataclass(slots=True, kw_only=True)
class CrashCause:
    """Parts that crash endpoints; which of them does can't be told.

    Attributes:
        service: Service whose endpoints crash.
        parts: The parts.
        evidence_at: Loop time of the first strike that decided it, in seconds.
        last_crash_at: Loop time of the last crash, in seconds.
    """

    service: str
    parts: Parts
    evidence_at: float
    last_crash_at: float


class PartEvidence:
    """Remembers crashes, and the parts of answers that went on.

    Attributes:
        crashes: The crashes, oldest first.
        started_at: Loop time at which an answer with a part last got past its
            beginning, in seconds.
        on_limit: Called with the name of a limit that was reached.
    """

    __slots__ = (
        "_by_part",
        "_recent_starts",
        "crashes",
        "on_limit",
        "started_at",
    )

    def __init__(self, *, on_limit: Callable[[str], None]) -> None:
        self.crashes: OrderedDict[CrashId, Crash] = OrderedDict()
        self.started_at: OrderedDict[str, float] = OrderedDict()
        self.on_limit = on_limit
        self._by_part: defaultdict[str, set[CrashId]] = defaultdict(set)
        self._recent_starts: deque[Start] = deque(maxlen=MAX_RECENT_STARTS)

    def add_suspect(
        self,
        crash_id: CrashId,
        *,
        service: str,
        request: str,
        parts: Parts,
        at: float,
        observed_here: bool = False,
    ) -> bool:
        """Adds a request that was in flight at a crash; tells if it is new."""
        crash = self.crashes.get(crash_id)
        if crash is None:
            self._expire()
            crash = self.crashes[crash_id] = Crash(service=service, at=at)
        crash.observed_here |= observed_here
        if request in crash.suspects:
            return False
        if len(crash.suspects) >= MAX_SUSPECTS_PER_CRASH:
            self.on_limit("suspects of a crash")
            return False
        crash.suspects[request] = parts
        for part in parts:
            self._by_part[part].add(crash_id)
        return True

    def select_parts(self, parts: Iterable[str]) -> Parts:
        """Returns the parts of a request that are worth remembering."""
        by_start = sorted(
            parts, key=lambda p: self.started_at.get(p, -math.inf)
        )
        if len(by_start) > MAX_PARTS_PER_SUSPECT:
            self.on_limit("parts of a suspect")
        return frozenset(by_start[:MAX_PARTS_PER_SUSPECT])

    def record_start(self, service: str, parts: Iterable[str]) -> None:
        """Records an answer that has got past its beginning here."""
        start = Start(service, monotonic_s(), frozenset(parts))
        self._recent_starts.append(start)
        for part in start.parts:
            self.record_part_start(part, start.at)

    def record_part_start(self, part: str, at: float) -> None:
        """Records when an answer with a part got past its beginning."""
        if at <= self.started_at.get(part, -math.inf):
            return
        self.started_at[part] = at
        self.started_at.move_to_end(part)
        if len(self.started_at) > MAX_STARTED_PARTS:
            self.started_at.popitem(last=False)

    def is_sound_since(self, part: str, evidence_at: float) -> bool:
        """Returns whether a part's answers went on after strikes against it."""
        started_at = self.started_at.get(part, -math.inf)
        return started_at + START_GRACE_S > evidence_at

    def find_cause(
        self, candidates: Iterable[str], refused: Collection[Parts]
    ) -> CrashCause | None:
        """Returns the candidates that explain the most crashes, if any do.

        Args:
            candidates: The parts to consider.
            refused: Groups of parts that are known to crash endpoints; a crash
                under one of them is no evidence against other parts.
        """
        by_crashes: defaultdict[frozenset[CrashId], set[str]]
        by_crashes = defaultdict(set)
        for part in candidates:
            strikes = self._find_strikes(part, refused)
            if self._is_convincing(part, strikes):
                by_crashes[frozenset(strikes)].add(part)
        if not by_crashes:
            return None
        strikes = max(by_crashes, key=len)
        crashes = [self.crashes[crash_id] for crash_id in strikes]
        times = _spaced_times(crashes)
        return CrashCause(
            service=crashes[0].service,
            parts=frozenset(by_crashes[strikes]),
            evidence_at=times[-STRIKES_TO_REFUSE],
            last_crash_at=max(crash.at for crash in crashes),
        )

    def _find_strikes(
        self, part: str, refused: Collection[Parts]
    ) -> set[CrashId]:
        """Returns the crashes that count against a part."""
        oldest_at = max(
            self.started_at.get(part, -math.inf) + START_GRACE_S,
            monotonic_s() - RETENTION_S,
        )
        return {
            crash_id
            for crash_id in self._by_part.get(part, ())
            if (crash := self.crashes[crash_id]).at > oldest_at
            and not _is_explained(crash, refused)
        }

    def _is_convincing(self, part: str, strikes: Collection[CrashId]) -> bool:
        if len(strikes) < STRIKES_TO_REFUSE:
            return False
        crashes = [self.crashes[crash_id] for crash_id in strikes]
        times = _spaced_times(crashes)
        requests = {
            request
            for crash in crashes
            for request, parts in crash.suspects.items()
            if part in parts
        }
        return (
            len(times) >= STRIKES_TO_REFUSE
            and len(requests) >= MIN_REQUESTS
            and any(crash.observed_here for crash in crashes)
            and self._others_start(crashes[0].service, part, times[0])
        )

    def _others_start(self, service: str, part: str, since: float) -> bool:
        """Returns whether a service's answers without a part go on."""
        return any(
            start.service == service
            and start.at > since
            and part not in start.parts
            for start in self._recent_starts
        )

    def _expire(self) -> None:
        """Forgets old crashes, and the oldest if there are too many."""
        cutoff_at = monotonic_s() - RETENTION_S
        while self.crashes:
            crash_id, oldest = next(iter(self.crashes.items()))
            if len(self.crashes) >= MAX_CRASHES:
                self.on_limit("crashes")
            elif oldest.at >= cutoff_at:
                return
            del self.crashes[crash_id]
            for part in {p for ps in oldest.suspects.values() for p in ps}:
                self._by_part[part].discard(crash_id)
                if not self._by_part[part]:
                    del self._by_part[part]


def _is_explained(crash: Crash, refused: Collection[Parts]) -> bool:
    return any(
        group <= parts for group in refused for parts in crash.suspects.values()
    )


def _spaced_times(crashes: Iterable[Crash]) -> list[float]:
    """Returns the times of crashes, those close together once."""
    times: list[float] = []
    for at in sorted(crash.at for crash in crashes):
        if not times or at - times[-1] >= MIN_STRIKE_GAP_S:
            times.append(at)
    return times


__all__ = [
    "MAX_CRASHES",
    "MIN_REQUESTS",
    "MIN_STRIKE_GAP_S",
    "RETENTION_S",
    "START_GRACE_S",
    "STRIKES_TO_REFUSE",
    "CrashId",
    "CrashCause",
    "PartEvidence",
    "Parts",
]

"""Decides whether an endpoint may get new requests now, and if not, when.

An endpoint may state in any response that it is leaving, or for how long it
wants no requests from this daemon. Such a statement marks the process that made
it, not its id or address alone: both may be used by another process later. As a
mark may be about any process since the one that the entry named, it keeps
requests from the endpoint until the process that is there has been probed.
Marks are evidence of this daemon only and are not told to others.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.platform.endpoint_notices import NoticeSource
from auburnswitch.routing.availability.endpoint_mark import (
    UNKNOWN_BOOT_MS,
    EndpointMark,
    MarkChange,
    MarkKind,
    Probe,
)
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.configuration.installation import Installation
    from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint
    from auburnswitch.observe.statistics import EntryStatistics
    from auburnswitch.platform.endpoint_notices import EndpointNotice
    from auburnswitch.platform.process_statements import ProcessStatement
    from auburnswitch.schema.installation import EndpointEntry

MAX_DEFERRAL_S: Final = 3600.0
# A shorter one is over before it helps to know whose it is.
MIN_IDENTIFIED_DEFERRAL_S: Final = 3.0
# The entry of a running process may lapse and come back.
MISSING_ENTRY_TTL_S: Final = 3600.0
_USABLE_NOW: Final = 0.0
_ROUNDING_STEP_S: Final = 0.01


class EndpointAvailability:
    """Answers for all senders whether an endpoint may get new requests.

    Attributes:
        installation: Which endpoints are open according to the store.
        statistics: Counts the marks.
        marks: Marks by endpoint id, usually empty.
        on_probe_needed: Called with an endpoint's id if the process that is
            there has to be probed.
    """

    __slots__ = ("installation", "marks", "on_probe_needed", "statistics")

    def __init__(
        self, *, installation: Installation, statistics: EntryStatistics
    ) -> None:
        self.installation = installation
        self.statistics = statistics
        self.marks: dict[str, EndpointMark] = {}
        self.on_probe_needed: Callable[[str], None] = lambda endpoint: None

    def is_usable(self, endpoint: TrackedEndpoint) -> bool:
        """Returns whether an endpoint may get new requests now."""
        if endpoint.entry.id not in self.marks:  # the usual case
            return self.installation.is_open(endpoint)
        return self.usable_at(endpoint) <= monotonic_s()

    def usable_at(self, endpoint: TrackedEndpoint) -> float:
        """Returns the time from which an endpoint may get new requests.

        Returns:
            Loop time in seconds; in the past if it may get them now, infinite
            if no time is known.
        """
        if not self.installation.is_open(endpoint):
            return math.inf
        mark = self.marks.get(endpoint.entry.id)
        if mark is None:
            return _USABLE_NOW
        if mark.needs_probe(endpoint.entry.boot_ms) and mark.names_another(
            endpoint.entry.boot_ms
        ):
            return min(mark.until, mark.answer_due_at(monotonic_s()))
        return mark.until

    def is_marked(self, endpoint: str) -> bool:
        """Returns whether a mark of an endpoint is in force."""
        mark = self.marks.get(endpoint)
        return mark is not None and mark.until > monotonic_s()

    def is_deferred(self, endpoint: str) -> bool:
        """Returns whether an endpoint wants no requests for some time."""
        return (
            self.is_marked(endpoint)
            and self.marks[endpoint].kind is MarkKind.DEFERRED
        )

    def retry_after_s(self, service: str) -> float | None:
        """Returns the time until a service may be asked again.

        Returns:
            The shortest time in seconds, rounded up; None if an endpoint may
            get requests now or no time is known.
        """
        if not self.marks:
            return None
        endpoints = self.installation.endpoints_of(service)
        soonest_at = min(map(self.usable_at, endpoints), default=math.inf)
        delay_s = soonest_at - monotonic_s()
        if delay_s <= 0 or math.isinf(delay_s):
            return None
        return math.ceil(delay_s / _ROUNDING_STEP_S) * _ROUNDING_STEP_S

    def record_notice(
        self, entry: EndpointEntry, notice: EndpointNotice
    ) -> None:
        """Marks an endpoint by the notice in one of its responses.

        Args:
            entry: The endpoint's entry as of the request.
            notice: The notice.
        """
        now = monotonic_s()
        self._sweep(entry.id)
        kind, until = MarkKind.LEAVING, math.inf
        if not notice.leaving:
            kind = MarkKind.DEFERRED
            until = now + min(notice.retry_after_s, MAX_DEFERRAL_S)
        mark = self.marks.get(entry.id)
        if mark is not None and mark.kind is kind:
            mark.repeat(now, until, entry.boot_ms)
        elif mark is not None and kind is MarkKind.DEFERRED:
            return  # a leaving endpoint gets nothing anyway
        else:
            mark = EndpointMark(
                kind=kind,
                source=notice.source.value,
                set_at=now,
                stated_at=now,
                until=until,
                earliest_boot_ms=entry.boot_ms,
            )
            self._set(entry.id, mark)
        is_refused_probe = notice.source is NoticeSource.PROBE
        if is_refused_probe or until - now < MIN_IDENTIFIED_DEFERRAL_S:
            mark.probed = True  # another probe is of no use
        self._probe_if_needed(entry.id)

    def record_answer(self, probe: Probe, answer: ProcessStatement) -> None:
        """Applies what the process that is at an endpoint has answered."""
        endpoint, mark = probe.entry.id, probe.mark
        if self.marks.get(endpoint) is not mark:
            return  # it has ended meanwhile
        previous_ms = mark.boot_ms
        change = mark.apply_answer(probe, answer)
        if change is MarkChange.NONE:
            return
        self.statistics.endpoint_mark_changes[change.value] += 1
        if change is MarkChange.CLEARED:
            self._end(endpoint, "another process is there", answer.boot_ms)
            return
        log_event(
            EventId.ENDPOINT_MARK_IDENTIFIED,
            endpoint=endpoint,
            boot=mark.boot_ms,
            previous_boot=previous_ms,
            earliest_boot=mark.earliest_boot_ms,
            listed_boot=self._listed_boot_ms(endpoint),
            mark=mark.kind.value,
            age_s=round(monotonic_s() - mark.set_at, 3),
        )

    def take_probe(self, endpoint: str) -> Probe | None:
        """Returns the probe of an endpoint that is to be sent now.

        Returns:
            The probe; None if there is none, or it's too early for it.
        """
        if not self._is_probe_due(endpoint):
            return None
        mark, now = self.marks[endpoint], monotonic_s()
        mark.record_probe(now)
        return Probe(
            entry=self.installation.endpoints[endpoint].entry,
            mark=mark,
            statements=mark.statements,
            sent_at=now,
        )

    def _is_probe_due(self, endpoint: str) -> bool:
        mark = self.marks.get(endpoint)
        current = self.installation.endpoints.get(endpoint)
        if mark is None or current is None or mark.probe_at > monotonic_s():
            return False
        return mark.needs_probe(current.entry.boot_ms)

    def record_listing(self, endpoint: str) -> None:
        """Asks at once whether the process that an entry names is there."""
        mark = self.marks.get(endpoint)
        if mark is not None:
            mark.record_listing(monotonic_s())
            self._probe_if_needed(endpoint)

    def sweep(self) -> None:
        """Ends marks that are over or whose process is gone."""
        for endpoint in [*self.marks]:
            self._sweep(endpoint)
            self._probe_if_needed(endpoint)

    def _sweep(self, endpoint: str) -> None:
        mark = self.marks.get(endpoint)
        if mark is None:
            return
        if reason := self._find_end(endpoint, mark):
            self._end(endpoint, reason)

    def _find_end(self, endpoint: str, mark: EndpointMark) -> str:
        """Returns why a mark has ended, empty if it has not."""
        now = monotonic_s()
        if now >= mark.until:
            return "its time is over"
        if endpoint in self.installation.endpoints:
            mark.missing_since = None
            return ""
        if mark.missing_since is None:
            mark.missing_since = now
        is_gone = now >= mark.missing_since + MISSING_ENTRY_TTL_S
        return "the endpoint is gone" if is_gone else ""

    def _probe_if_needed(self, endpoint: str) -> None:
        if self._is_probe_due(endpoint):
            self.on_probe_needed(endpoint)

    def _set(self, endpoint: str, mark: EndpointMark) -> None:
        if endpoint in self.marks:
            self._end(endpoint, "replaced")
        self.marks[endpoint] = mark
        self.statistics.endpoint_marks[mark.kind.value] += 1
        is_timed = math.isfinite(mark.until)
        log_event(
            EventId.ENDPOINT_MARKED,
            endpoint=endpoint,
            earliest_boot=mark.earliest_boot_ms,
            listed_boot=self._listed_boot_ms(endpoint),
            mark=mark.kind.value,
            source=mark.source,
            for_s=round(mark.until - mark.set_at, 3) if is_timed else None,
        )

    def _listed_boot_ms(self, endpoint: str) -> int | None:
        """Returns the start that an endpoint's entry names, None without it."""
        current = self.installation.endpoints.get(endpoint)
        return current.entry.boot_ms if current is not None else None

    def _end(
        self,
        endpoint: str,
        reason: str,
        successor_boot_ms: int = UNKNOWN_BOOT_MS,
    ) -> None:
        mark = self.marks.pop(endpoint)
        log_event(
            EventId.ENDPOINT_MARK_ENDED,
            endpoint=endpoint,
            boot=mark.boot_ms,
            earliest_boot=mark.earliest_boot_ms,
            known_by=mark.known_by,
            listed_boot=self._listed_boot_ms(endpoint),
            successor_boot=successor_boot_ms,
            mark=mark.kind.value,
            source=mark.source,
            reason=reason,
            age_s=round(monotonic_s() - mark.set_at, 3),
        )


__all__ = [
    "MAX_DEFERRAL_S",
    "MIN_IDENTIFIED_DEFERRAL_S",
    "MISSING_ENTRY_TTL_S",
    "EndpointAvailability",
]

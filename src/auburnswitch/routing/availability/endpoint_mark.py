"""What an endpoint's process has stated that ends new requests to it.

A response doesn't say which process sent it, and the endpoint's entry may name
a former process for seconds. What is certain: processes under an id follow one
another, so the process that answers on a connection is the one that the entry
named before the connection was opened, or a later one. Which one it is can only
be found out by a probe.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from auburnswitch.platform.process_statements import ProcessStatement
    from auburnswitch.schema.installation import EndpointEntry

UNKNOWN_BOOT_MS: Final = 0
FIRST_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 4.0
ANSWER_S: Final = 0.03  # within which a probe is usually answered
UNWELL_S: Final = 20.0  # then a process that fails its checks is believed
ENTRY_DELAY_S: Final = 5.0  # until a new process has written its entry


class MarkKind(enum.Enum):
    """Why an endpoint gets no new requests."""

    LEAVING = "leaving"
    DEFERRED = "deferred"  # it wants no requests for some time


class MarkChange(enum.Enum):
    """What an answer of a process means for a mark."""

    NONE = "none"
    IDENTIFIED = "identified"  # the process of the mark is known now
    CARRIED_OVER = "carried over"  # a later process has stated the same
    CLEARED = "cleared"  # another process is there, which hasn't


@dataclass(slots=True, kw_only=True)
class EndpointMark:
    """A statement of an endpoint's process that ends new requests to it.

    Attributes:
        kind: What the process has stated.
        source: What the response with the statement answered.
        set_at: Loop time at which the mark was set, in seconds.
        stated_at: Loop time of the newest such response, in seconds.
        statements: Number of such responses.
        until: Loop time at which the mark ends, in seconds; infinite if it
            lasts as long as the process.
        earliest_boot_ms: Start of the process that the entry named before the
            connection was opened; the mark is about this one or a later one.
        boot_ms: Start of the process by its own word; 0 if unknown.
        listed_at: Loop time since which the entry names its process, in
            seconds.
        probed: Whether the process that is there has been probed.
        answered: Whether it has answered.
        missing_since: Loop time since which the endpoint has no entry, in
            seconds; None while it has one.
        probe_at: Loop time from which the process may be probed, in seconds.
        retry_s: Time until it may be probed again, in seconds.
    """

    kind: MarkKind
    source: str
    set_at: float
    stated_at: float
    until: float
    earliest_boot_ms: int
    statements: int = 1
    boot_ms: int = UNKNOWN_BOOT_MS
    listed_at: float = 0.0
    probed: bool = False
    answered: bool = False
    missing_since: float | None = None
    probe_at: float = 0.0
    retry_s: float = FIRST_RETRY_S

    @property
    def known_by(self) -> str:
        """How the process of the mark is known."""
        return "its own word" if self.boot_ms else "the entry, at the earliest"

    def needs_probe(self, listed_boot_ms: int) -> bool:
        """Returns whether the process that is there has to be probed.

        Args:
            listed_boot_ms: Start of the process that the entry names.
        """
        if self.names_another(listed_boot_ms):
            return not self._may_name_own()
        if self.kind is MarkKind.DEFERRED:
            return not self.probed
        return not (self.answered and listed_boot_ms)

    def _may_name_own(self) -> bool:
        """Returns whether the entry may name the marked process just now.

        A leaving process says so when it is probed. One that wants no requests
        doesn't, so an entry that is renewed soon after may be its own.
        """
        if self.kind is MarkKind.LEAVING or self.boot_ms:
            return False
        return self.listed_at < self.stated_at + ENTRY_DELAY_S

    def names_another(self, listed_boot_ms: int) -> bool:
        """Returns whether the entry names another process than the marked one.

        If so, that one may still be there, or a later one have stated the same.
        """
        return bool(listed_boot_ms) and listed_boot_ms not in (
            self.boot_ms,
            self.earliest_boot_ms,
        )

    def answer_due_at(self, now: float) -> float:
        """Returns the loop time at which an answer is expected, in seconds."""
        has_failed = self.retry_s > 2 * FIRST_RETRY_S
        return (max(now, self.probe_at) if has_failed else now) + ANSWER_S

    def record_probe(self, now: float) -> None:
        """Records a probe, and when the next one may follow."""
        self.probed = True
        self.probe_at = now + self.retry_s
        self.retry_s = min(2 * self.retry_s, MAX_RETRY_S)

    def record_listing(self, now: float) -> None:
        """Records that the entry names another process, which may be there."""
        self.listed_at = now
        self._allow_probe()

    def _allow_probe(self) -> None:
        self.probe_at = 0.0
        self.retry_s = FIRST_RETRY_S

    def repeat(self, now: float, until: float, earliest_boot_ms: int) -> None:
        """Records that the statement was repeated, maybe by a later process.

        Args:
            now: Loop time, in seconds.
            until: Loop time at which the mark ends by it, in seconds.
            earliest_boot_ms: Start of the process that the entry named before
                the connection was opened.
        """
        self.statements += 1
        self.stated_at = now
        self.until = max(self.until, until)
        if self.kind is MarkKind.DEFERRED:
            self._forget_process(earliest_boot_ms)

    def _forget_process(self, earliest_boot_ms: int) -> None:
        """Leaves it open again which process the mark is about."""
        self.earliest_boot_ms = earliest_boot_ms
        self.boot_ms = UNKNOWN_BOOT_MS
        self.probed = self.answered = False
        self._allow_probe()

    def apply_answer(
        self, probe: Probe, answer: ProcessStatement
    ) -> MarkChange:
        """Applies what the process that is there says of itself."""
        listed_boot_ms = probe.entry.boot_ms
        if self.kind is MarkKind.LEAVING and answer.leaving:
            self.earliest_boot_ms = listed_boot_ms
            return self._bind(answer.boot_ms)
        if probe.statements != self.statements:
            return MarkChange.NONE  # may be older than the newest statement
        if not answer.well and not self._is_long_listed(probe.sent_at):
            return MarkChange.NONE  # a leaving process fails its checks too
        is_known = self.kind is MarkKind.LEAVING or self.boot_ms
        if not is_known and not self.names_another(listed_boot_ms):
            return self._bind(answer.boot_ms)
        if self._may_be_own(answer.boot_ms, listed_boot_ms):
            return self._bind(self.boot_ms or answer.boot_ms)
        self.answered = True
        # Requests are placed by the entry, so it has to be of this process.
        names_another = answer.boot_ms and listed_boot_ms
        if names_another and answer.boot_ms != listed_boot_ms:
            return MarkChange.NONE
        return MarkChange.CLEARED

    def _is_long_listed(self, now: float) -> bool:
        """Returns whether a leaving process would have ended since."""
        return now >= max(self.stated_at, self.listed_at) + UNWELL_S

    def _may_be_own(self, boot_ms: int, listed_boot_ms: int) -> bool:
        """Returns whether the process that is there may be the marked one."""
        if boot_ms:
            return boot_ms == (self.boot_ms or self.earliest_boot_ms)
        return bool(listed_boot_ms) and not self.names_another(listed_boot_ms)

    def _bind(self, boot_ms: int) -> MarkChange:
        previous_ms = self.boot_ms
        self.boot_ms, self.answered = boot_ms, True
        if not boot_ms or boot_ms == previous_ms:
            return MarkChange.NONE
        return MarkChange.CARRIED_OVER if previous_ms else MarkChange.IDENTIFIED


@dataclass(slots=True, kw_only=True)
class Probe:
    """A probe of the process that is at a marked endpoint.

    Attributes:
        entry: The endpoint's entry before the connection is opened.
        mark: The endpoint's mark.
        statements: Number of the mark's statements until then.
        sent_at: Loop time of the probe, in seconds.
    """

    entry: EndpointEntry
    mark: EndpointMark
    statements: int
    sent_at: float


__all__ = [
    "UNKNOWN_BOOT_MS",
    "EndpointMark",
    "MarkChange",
    "MarkKind",
    "Probe",
]

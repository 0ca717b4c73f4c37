"""Shares what is known of prompt parts that crash endpoints with the peers.

Each daemon tells its peers the requests that were in flight at a crash it has
observed, and each judges the evidence of all. A daemon that finds a cause asks
its peers first: one whose answers with such a part go on objects. Without an
objection the refusal is final. Heartbeats repeat it, so that daemons that
started or were cut off learn of it; a daemon that knows better objects again.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.platform.requests import MAX_SHARED_PARTS
from auburnswitch.routing.crashes.part_evidence import (
    CrashCause,
    PartEvidence,
    Parts,
)
from auburnswitch.routing.crashes.part_objections import (
    MAX_PARTS_PER_MESSAGE,
    PartObjections,
)
from auburnswitch.routing.crashes.part_refusal import (
    Refusal,
    decode_refusal,
    encode_refusal,
    log_refusal,
)
from auburnswitch.routing.crashes.part_refusals import PartRefusals
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import (
    CrashSuspect,
    Gossip,
    PartStart,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from auburnswitch.observe.statistics import EntryStatistics
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.schema.entry import BoundSettings
    from auburnswitch.schema.installation import EndpointEntry

OBJECTION_PERIOD_S: Final = 0.25
ANNOUNCE_DURATION_S: Final = 1.5
LIMIT_LOG_INTERVAL_S: Final = 60.0
MAX_SUSPECTS_PER_MESSAGE: Final = 24
MAX_REFUSALS_PER_MESSAGE: Final = 16


class PartWatch:
    """Finds, shares and lifts the refusals of prompt parts.

    Attributes:
        evidence: The crashes and the answers that went on.
        objections: Tells the peers which parts are sound.
        refusals: The refusals in force.
        statistics: Counts refusals by what became of them, and limits reached.
        rng: Random generator for delays and samples.
        send: Sends a message with these fields to all peers.
        on_change: Called with a refusal that this daemon's own evidence has
            ended or replaced, or None, and the one now in force, or None.
    """

    __slots__ = (
        "_limits_logged_at",
        "_own_suspects",
        "_suspected",
        "evidence",
        "objections",
        "on_change",
        "refusals",
        "rng",
        "send",
        "statistics",
    )

    def __init__(
        self,
        *,
        statistics: EntryStatistics,
        bounds: BoundSettings,
        rng: random.Random,
        releases_of: Callable[[str], set[str]],
        is_trial_owner: Callable[[Parts], bool],
        send: Callable[[Gossip], None],
        on_change: Callable[[Refusal | None, Refusal | None], None],
    ) -> None:
        self.statistics = statistics
        self.rng = rng
        self.send = send
        self.on_change = on_change
        self.evidence = PartEvidence(on_limit=self._record_limit)
        self.objections = PartObjections(
            evidence=self.evidence, rng=rng, send=send
        )
        self.refusals = PartRefusals(
            bounds=bounds,
            releases_of=releases_of,
            is_trial_owner=is_trial_owner,
            on_limit=self._record_limit,
            on_trial=self._record_trial,
        )
        self._suspected: dict[Parts, asyncio.TimerHandle] = {}
        self._own_suspects: list[tuple[float, CrashSuspect]] = []
        self._limits_logged_at: dict[str, float] = {}

    def record_crash(self, job: DeliveryJob, endpoint: EndpointEntry) -> None:
        """Records a request that was in flight at a crash, not under way."""
        if not job.parts:
            return
        if len(job.parts) >= MAX_SHARED_PARTS:
            self._record_limit("parts of a prompt")
        now = monotonic_s()
        parts = self.evidence.select_parts(job.parts)
        self.refusals.record_crash(parts, now)
        for before, after in self.refusals.record_trial_crash(job, now):
            self._report_change(before, after, "tried")
        is_new = self.evidence.add_suspect(
            (endpoint.id, endpoint.boot_ms),
            service=job.service.name,
            request=job.fingerprint,
            parts=parts,
            at=now,
            observed_here=True,
        )
        if not is_new:
            return
        suspect = CrashSuspect(
            service_name=job.service.name,
            endpoint=endpoint.id,
            boot_ms=endpoint.boot_ms,
            request=job.fingerprint,
            parts=sorted(parts),
        )
        self._own_suspects.append((now, suspect))
        self.send(Gossip(crash_suspects=[suspect]))
        self._judge(parts)

    def record_start(self, job: DeliveryJob) -> None:
        """Records an answer that has got past its beginning."""
        if not job.parts:
            return
        self.evidence.record_start(job.service.name, job.parts)
        if self._suspected or self.refusals.refusals:
            self.objections.object_to(
                part for part in job.parts if self._is_in_question(part)
            )
            self._clear("an answer went on")

    def fill_heartbeat(self, message: Gossip) -> None:
        """Adds the refusals in force and this daemon's newest evidence."""
        for refusal in self.refusals.expire():
            self._report_change(refusal, None, "no crash for a long time")
        refusals = self.refusals.refusals
        if len(refusals) > MAX_REFUSALS_PER_MESSAGE:
            refusals = self.rng.sample(refusals, MAX_REFUSALS_PER_MESSAGE)
        message.part_refusals = [encode_refusal(r) for r in refusals]
        now = monotonic_s()
        self._own_suspects = [
            (at, suspect)
            for at, suspect in self._own_suspects
            if now - at <= ANNOUNCE_DURATION_S
        ]
        part_count = 0
        for at, suspect in self._own_suspects[-MAX_SUSPECTS_PER_MESSAGE:]:
            part_count += len(suspect.parts)
            if part_count <= MAX_PARTS_PER_MESSAGE:
                suspect.age_s = now - at
                message.crash_suspects.append(suspect)

    def merge(self, message: Gossip) -> None:
        """Applies what a peer has told."""
        now = monotonic_s()
        for start in message.part_starts:
            self._apply_objection(start, now)
        for suspect in message.crash_suspects:
            self._add_peer_suspect(suspect, now)
        for encoded in message.part_refusals:
            if encoded.parts:
                self._consider(decode_refusal(encoded), encoded.confirmed)

    def adopt(self, refusal: Refusal, source: str) -> None:
        """Puts a refusal into force that is final elsewhere."""
        sound = self._find_sound(refusal)
        if sound:
            self.objections.schedule(sound)
        elif self.refusals.add(refusal):
            self.statistics.part_refusals["adopted"] += 1
            log_refusal(EventId.PARTS_REFUSED, refusal, reason=source)

    def _add_peer_suspect(self, suspect: CrashSuspect, now: float) -> None:
        parts = frozenset(suspect.parts)
        crash_at = now - max(0.0, suspect.age_s)
        self.refusals.record_crash(parts, crash_at)
        is_new = self.evidence.add_suspect(
            (suspect.endpoint, suspect.boot_ms),
            service=suspect.service_name,
            request=suspect.request,
            parts=parts,
            at=crash_at,
        )
        if is_new:
            self._judge(parts)

    def _judge(self, parts: Parts) -> None:
        """Suspects the parts that the evidence speaks against."""
        cause = self._find_cause(parts)
        if cause is None or cause.parts in self._suspected:
            return
        refusal = self._make_refusal(cause)
        self.statistics.part_refusals["suspected"] += 1
        log_refusal(EventId.PARTS_SUSPECTED, refusal)
        self._suspected[cause.parts] = asyncio.get_running_loop().call_later(
            OBJECTION_PERIOD_S, self._confirm, cause.parts
        )
        encoded = encode_refusal(refusal)
        encoded.confirmed = False
        self.send(Gossip(part_refusals=[encoded]))

    def _confirm(self, parts: Parts) -> None:
        """Refuses suspected parts to which no peer has objected."""
        del self._suspected[parts]
        if parts in self.refusals.groups():
            return  # a peer was faster
        cause = self._find_cause(parts)
        if cause is None:
            self.statistics.part_refusals["cleared"] += 1
            log_event(
                EventId.PARTS_CLEARED,
                parts=sorted(parts),
                reason="an answer went on, or other parts are to blame",
            )
            return
        refusal = self._make_refusal(cause)
        if not self.refusals.add(refusal):
            return
        self._report_change(None, refusal, "own evidence")
        self._judge(parts)  # what this one doesn't explain

    def _find_cause(self, parts: Iterable[str]) -> CrashCause | None:
        return self.evidence.find_cause(parts, self.refusals.groups())

    def _make_refusal(self, cause: CrashCause) -> Refusal:
        return Refusal(
            service=cause.service,
            parts=cause.parts,
            evidence_at=cause.evidence_at,
            last_crash_at=cause.last_crash_at,
            releases=self.refusals.releases_of(cause.service),
        )

    def _consider(self, refusal: Refusal, confirmed: bool) -> None:
        """Objects to a peer's refusal, or adopts it if it is final."""
        if confirmed:
            self.adopt(refusal, "a peer")
        else:
            self.objections.schedule(self._find_sound(refusal))

    def _find_sound(self, refusal: Refusal) -> list[str]:
        return [
            part
            for part in refusal.parts
            if self.evidence.is_sound_since(part, refusal.evidence_at)
        ]

    def _is_in_question(self, part: str) -> bool:
        return any(
            part in parts
            for parts in (*self._suspected, *self.refusals.groups())
        )

    def _apply_objection(self, start: PartStart, now: float) -> None:
        started_at = now - max(0.0, start.age_s)
        self.evidence.record_part_start(start.part, started_at)
        self.objections.drop(start.part)
        if self.refusals.groups():
            self._clear("an answer went on at a peer")

    def _clear(self, reason: str) -> None:
        """Takes parts that have proved sound out of the refusals."""
        for before, after in self.refusals.clear(self.evidence.is_sound_since):
            self._report_change(before, after, reason)

    def _record_trial(self, refusal: Refusal) -> None:
        self.statistics.part_refusals["tried"] += 1
        log_refusal(EventId.PARTS_TRIED, refusal)
        self.send(Gossip(part_refusals=[encode_refusal(refusal)]))
        self.on_change(refusal, refusal)

    def _report_change(
        self, before: Refusal | None, after: Refusal | None, reason: str
    ) -> None:
        if before is not None:
            self.statistics.part_refusals["cleared"] += 1
            log_refusal(EventId.PARTS_CLEARED, before, reason=reason)
        if after is not None:
            self.statistics.part_refusals["refused"] += 1
            log_refusal(EventId.PARTS_REFUSED, after, reason=reason)
            self.send(Gossip(part_refusals=[encode_refusal(after)]))
        self.on_change(before, after)

    def _record_limit(self, name: str) -> None:
        self.statistics.crash_limits[name] += 1
        now = monotonic_s()
        logged_at = self._limits_logged_at.get(name)
        if logged_at is None or now - logged_at >= LIMIT_LOG_INTERVAL_S:
            self._limits_logged_at[name] = now
            log_event(EventId.CRASH_MEMORY_FULL, limit=name)


__all__ = ["OBJECTION_PERIOD_S", "PartWatch"]

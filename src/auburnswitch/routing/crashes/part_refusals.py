"""Refuses requests whose prompt parts crash endpoints."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.routing.crashes.part_refusal import Refusal, merge

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from auburnswitch.routing.crashes.part_evidence import Parts
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.schema.entry import BoundSettings

MAX_REFUSALS: Final = 64


class PartVerdict(enum.Enum):
    """Whether a request may be sent to endpoints, as far as its parts go."""

    ALLOWED = "allowed"
    BUSY = "busy"  # another request with some of the parts is being tried
    REFUSED = "refused"


class PartRefusals:
    """The refusals in force at this daemon.

    Attributes:
        refusals: The refusals, oldest first.
        bounds: Says whether requests are refused.
        releases_of: Returns the releases of a service's endpoints.
        is_trial_owner: Returns whether this daemon decides on the trials of
            parts, so that the fleet tries one request at a time.
        on_limit: Called with the name of a limit that was reached.
        on_trial: Called with a refusal of which a request is tried again.
    """

    __slots__ = (
        "_by_part",
        "bounds",
        "is_trial_owner",
        "on_limit",
        "on_trial",
        "refusals",
        "releases_of",
    )

    def __init__(
        self,
        *,
        bounds: BoundSettings,
        releases_of: Callable[[str], set[str]],
        is_trial_owner: Callable[[Parts], bool],
        on_limit: Callable[[str], None],
        on_trial: Callable[[Refusal], None],
    ) -> None:
        self.refusals: list[Refusal] = []
        self.bounds = bounds
        self.releases_of = releases_of
        self.is_trial_owner = is_trial_owner
        self.on_limit = on_limit
        self.on_trial = on_trial
        self._by_part: dict[str, list[Refusal]] = {}

    def groups(self) -> list[Parts]:
        """Returns the parts of each refusal."""
        return [refusal.parts for refusal in self.refusals]

    def verdict(self, job: DeliveryJob) -> PartVerdict:
        """Returns whether a request may be sent now."""
        if not self._by_part or not self.bounds.refuse_crashing_parts:
            return PartVerdict.ALLOWED
        verdicts = {
            self._verdict_of(refusal, job) for refusal in self._find(job.parts)
        }
        for verdict in (PartVerdict.REFUSED, PartVerdict.BUSY):
            if verdict in verdicts:
                return verdict
        return PartVerdict.ALLOWED

    def begin(self, job: DeliveryJob) -> bool:
        """Returns whether a request may be sent, and marks it as tried."""
        if self.verdict(job) is not PartVerdict.ALLOWED:
            return False
        if not self.bounds.refuse_crashing_parts:
            return True
        for refusal in self._find(job.parts):
            if refusal.tried_request:
                continue
            refusal.tried_request = job.request.id
            if refusal.parts <= set(job.parts):
                refusal.trials += 1
                refusal.releases |= self.releases_of(refusal.service)
                self.on_trial(refusal)
        return True

    def end(self, job: DeliveryJob) -> None:
        """Records that a request is no longer tried."""
        for refusal in self._find(job.parts):
            if refusal.tried_request == job.request.id:
                refusal.tried_request = ""

    def concerns(self, job: DeliveryJob) -> bool:
        """Returns whether a request has a part of any refusal."""
        is_on = self.bounds.refuse_crashing_parts
        return is_on and bool(self._find(job.parts))

    def add(self, refusal: Refusal) -> bool:
        """Adds a refusal or merges it with a known one.

        Returns:
            Whether it is new, or narrower than the known one.
        """
        for known in list(self.refusals):
            if known.parts <= refusal.parts:
                merge(known, refusal)
                return False
            if refusal.parts < known.parts:
                self._remove(known)
                merge(refusal, known)
        self.refusals.append(refusal)
        for part in refusal.parts:
            self._by_part.setdefault(part, []).append(refusal)
        if len(self.refusals) > MAX_REFUSALS:
            self.on_limit("refusals")
            self._remove(min(self.refusals, key=lambda r: r.last_crash_at))
        return True

    def record_crash(self, parts: Parts, at: float) -> None:
        """Records a crash under a request that hadn't got past its beginning.

        Args:
            parts: Shared parts of the request.
            at: Loop time of the crash, in seconds.
        """
        for refusal in self.refusals:
            if refusal.parts <= parts:
                refusal.last_crash_at = max(refusal.last_crash_at, at)

    def record_trial_crash(
        self, job: DeliveryJob, at: float
    ) -> list[tuple[Refusal, Refusal]]:
        """Records that a request crashed its endpoint while it was tried.

        Returns:
            Refusals that have become narrower, before and after.
        """
        narrowed = []
        for refusal in self._find(job.parts):
            if refusal.tried_request != job.request.id:
                continue
            rest = refusal.parts & set(job.parts)
            if rest < refusal.parts:
                narrowed.append((refusal, self._narrow(refusal, rest, at)))
        return narrowed

    def clear(
        self, is_sound: Callable[[str, float], bool]
    ) -> list[tuple[Refusal, Refusal | None]]:
        """Takes sound parts out of the refusals.

        Args:
            is_sound: Returns whether a part has been sound since a loop time
                in seconds.

        Returns:
            The refusals that have changed, and what is left of each.
        """
        changed: list[tuple[Refusal, Refusal | None]] = []
        for refusal in list(self.refusals):
            evidence_at = refusal.evidence_at
            rest = frozenset(
                p for p in refusal.parts if not is_sound(p, evidence_at)
            )
            if not rest:
                self._remove(refusal)
                changed.append((refusal, None))
            elif rest < refusal.parts:
                narrower = self._narrow(refusal, rest, refusal.last_crash_at)
                changed.append((refusal, narrower))
        return changed

    def expire(self) -> list[Refusal]:
        """Ends refusals without a crash for a long time; returns them."""
        now = monotonic_s()
        expired = [r for r in self.refusals if r.expires_at <= now]
        for refusal in expired:
            self._remove(refusal)
        return expired

    def _verdict_of(self, refusal: Refusal, job: DeliveryJob) -> PartVerdict:
        if refusal.tried_request == job.request.id:
            return PartVerdict.ALLOWED
        if not refusal.parts <= set(job.parts):
            return (
                PartVerdict.BUSY
                if refusal.tried_request
                else PartVerdict.ALLOWED
            )
        if refusal.tried_request or not self._may_try(refusal):
            return PartVerdict.REFUSED
        return PartVerdict.ALLOWED

    def _may_try(self, refusal: Refusal) -> bool:
        releases = self.releases_of(refusal.service)
        has_new_release = bool(releases) and not releases & refusal.releases
        is_due = monotonic_s() >= refusal.next_trial_at or has_new_release
        return is_due and self.is_trial_owner(refusal.parts)

    def _find(self, parts: Iterable[str]) -> list[Refusal]:
        """Returns the refusals of which a request has a part, each once."""
        found = {
            id(refusal): refusal
            for part in parts
            for refusal in self._by_part.get(part, ())
        }
        return [*found.values()]

    def _narrow(self, refusal: Refusal, parts: Parts, at: float) -> Refusal:
        self._remove(refusal)
        narrower = Refusal(
            service=refusal.service,
            parts=parts,
            evidence_at=refusal.evidence_at,
            last_crash_at=max(refusal.last_crash_at, at),
            releases=refusal.releases,
            trials=refusal.trials,
        )
        self.add(narrower)
        return narrower

    def _remove(self, refusal: Refusal) -> None:
        self.refusals.remove(refusal)
        for part in refusal.parts:
            self._by_part[part].remove(refusal)
            if not self._by_part[part]:
                del self._by_part[part]


__all__ = ["MAX_REFUSALS", "PartRefusals", "PartVerdict"]

"""Chooses an endpoint for a request and reserves capacity on it."""

from __future__ import annotations

import asyncio
import hashlib
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.backlog import CHUNK_DELAY_S
from auburnswitch.endpoints.phases import (
    LEASE_REQUIRED_PHASES,
    UNSCHEDULABLE_PHASES,
)
from auburnswitch.endpoints.reservations import (
    HeldReservation,
    ReservationClient,
)
from auburnswitch.results import Refusal, refusal
from auburnswitch.routing.policy import (
    OwnerReservationPolicy,
    PlacementPolicy,
    PowerOfTwoChoicesPolicy,
)
from auburnswitch.schema.peers import (
    EndpointHint,
    EndpointPhase,
    LengthClass,
    ReserveReply,
    ReserveRequest,
    RunningWork,
)
from auburnswitch.schema.results import Ran, ResultCode

if TYPE_CHECKING:
    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.routing.request import RoutedRequest
    from auburnswitch.routing.strike_registry import StrikeRegistry

PROBE_ROUND_DELAY_S: Final = 0.05
MAX_OWNER_WAIT_S: Final = 1.0
WAIT_SLACK_S: Final = 0.01
COLD_RETRY_AFTER_S: Final = 5.0
FRESH_HINT_MAX_AGE_S: Final = 0.05
# Seconds of wait that may have built up per second of a hint's age.
STALENESS_PENALTY_S_PER_S: Final = 0.2
STALENESS_MAX_AGE_S: Final = 1.0  # from which the penalty stays constant
UNKNOWN_PHASE_PENALTY_S: Final = 0.5
FULL_PENALTY_S: Final = 1.0
MAX_PROBES: Final = 4  # per round, for a short or medium prompt
MAX_LONG_PROBES: Final = 8  # per round, for a long prompt


@dataclass(slots=True, kw_only=True)
class FinalRefusal:
    """A refusal that a retry of the reservation would not change."""

    refusal: Refusal


class Placer:
    """Places requests by endpoint hints and the replies of endpoint owners.

    Attributes:
        endpoint_manager: Holds the endpoint hints and the owner table.
        policy: Selects the placement algorithm.
        reservations: Requests and tracks this daemon's reservations.
        rng: Random generator for sampling and tie-breaks.
        strikes: Requests that were in flight at engine crashes.
    """

    __slots__ = (
        "endpoint_manager",
        "policy",
        "reservations",
        "rng",
        "strikes",
    )

    def __init__(
        self,
        *,
        endpoint_manager: EndpointManager,
        reservations: ReservationClient,
        policy: PlacementPolicy,
        strikes: StrikeRegistry,
        seed: int,
    ) -> None:
        self.endpoint_manager = endpoint_manager
        self.policy = policy
        self.strikes = strikes
        self.reservations = reservations
        self.rng = random.Random(seed)

    async def place(
        self, request: RoutedRequest, excluded: set[str]
    ) -> HeldReservation | Refusal:
        """Reserves capacity on the best endpoint for a request.

        Args:
            request: The request.
            excluded: Endpoints that must not be used.

        Returns:
            The reservation, or the reason for the refusal.
        """
        match self.policy:
            case PowerOfTwoChoicesPolicy(sample_size=sample_size):
                return self._place_by_sampling(request, excluded, sample_size)
            case OwnerReservationPolicy():
                return await self._place_by_owners(request, excluded)

    def _place_by_sampling(
        self, request: RoutedRequest, excluded: set[str], sample_size: int
    ) -> HeldReservation | Refusal:
        names = self._rank_candidates(request, excluded)
        if not names:
            return refusal(
                ResultCode.NO_ENDPOINT,
                ran=_execution_state(request),
                retry_after_s=1,
            )
        sample = self.rng.sample(names, min(sample_size, len(names)))
        best = min(sample, key=self._reported_tokens)
        work = unreserved_work(best, request)
        return self.reservations.hold_without_grant(work, request.deadline_at)

    def _reported_tokens(self, name: str) -> int:
        return self.endpoint_manager.latest_hint(name).reported_prefill_tokens

    async def _place_by_owners(
        self, request: RoutedRequest, excluded: set[str]
    ) -> HeldReservation | Refusal:
        """Runs probe rounds until a grant, a final refusal or the deadline."""
        started_at = monotonic_s()
        last_refusal = refusal(
            ResultCode.NO_ENDPOINT,
            ran=_execution_state(request),
            retry_after_s=1,
        )
        while request.time_left_s() > 0:
            if self.strikes.is_refused(request.fingerprint):
                return refusal(
                    ResultCode.CRASHING_REQUEST, ran=_execution_state(request)
                )
            outcome = await self._run_probe_round(request, excluded, started_at)
            match outcome:
                case HeldReservation():
                    if not self.strikes.is_refused(request.fingerprint):
                        return outcome
                    await self.reservations.release(outcome, succeeded=False)
                case FinalRefusal(refusal=last_refusal):
                    return last_refusal
                case Refusal():
                    last_refusal = outcome
            await asyncio.sleep(PROBE_ROUND_DELAY_S)
        return last_refusal

    async def _run_probe_round(
        self, request: RoutedRequest, excluded: set[str], started_at: float
    ) -> HeldReservation | FinalRefusal | Refusal:
        """Requests a reservation from owners in order of predicted wait.

        Each probe limits the wait to the one predicted for the next best
        endpoint, so that a stale hint costs one call but no queueing time. The
        last probe has no such limit and prefers endpoints with fresh hints.
        """
        refused_by: set[str] = set()
        last_refusal: Refusal | None = None
        for probe in range(_max_probes(request)):
            names = self._rank_candidates(request, excluded | refused_by)
            if not names:
                break
            limit_s = self._wait_limit_s(request, names)
            if probe == _max_probes(request) - 1:
                limit_s = 0.0
                names = [n for n in names if self._has_fresh_hint(n)] or names
            waited_s = monotonic_s() - started_at
            reply = await self._reserve(request, names[0], limit_s, waited_s)
            if isinstance(reply, HeldReservation):
                return reply
            last_refusal = refusal(
                ResultCode(reply.code),
                ran=_execution_state(request),
                retry_after_s=max(1.0, reply.retry_after_s),
            )
            if reply.code == ResultCode.PROMPT_TOO_LONG:
                last_refusal.retry_after_s = None
                return FinalRefusal(refusal=last_refusal)
            if reply.code != ResultCode.QUEUE_FULL or not reply.hints:
                refused_by.add(names[0])
        if last_refusal is None:
            return FinalRefusal(
                refusal=self._no_candidate_refusal(request, excluded)
            )
        if self._all_start_too_late(request, excluded):
            return FinalRefusal(refusal=last_refusal)
        return last_refusal

    def _no_candidate_refusal(
        self, request: RoutedRequest, excluded: set[str]
    ) -> Refusal:
        """Returns the refusal for a request without a candidate endpoint."""
        if any(
            self._exceeds_cold_limit(request, name)
            for name in self._schedulable_endpoints(request, excluded)
        ):
            return refusal(
                ResultCode.ENDPOINT_COLD,
                ran=_execution_state(request),
                retry_after_s=COLD_RETRY_AFTER_S,
            )
        return refusal(
            ResultCode.NO_ENDPOINT,
            ran=_execution_state(request),
            retry_after_s=1,
        )

    def _exceeds_cold_limit(self, request: RoutedRequest, name: str) -> bool:
        """Returns whether the prompt is too long for a cold endpoint."""
        if self.endpoint_manager.latest_hint(name).phase != EndpointPhase.COLD:
            return False
        spec = self.endpoint_manager.state.endpoints[name]
        return request.prompt_tokens > spec.cold_max_tokens

    def _wait_limit_s(self, request: RoutedRequest, names: list[str]) -> float:
        """Returns the longest acceptable wait at the first endpoint.

        The result is in seconds; 0.0 means that the wait is not limited.
        """
        if len(names) < 2 or self.strikes.has_strikes(request.fingerprint):
            return 0.0
        return self._predicted_wait_s(request, names[1]) + WAIT_SLACK_S

    def _has_fresh_hint(self, name: str) -> bool:
        return self._hint_age_s(name) <= FRESH_HINT_MAX_AGE_S

    def _hint_age_s(self, name: str) -> float:
        if self.endpoint_manager.owns(name):
            return 0.0
        return self.endpoint_manager.hints.age_s(name)

    def _all_start_too_late(
        self, request: RoutedRequest, excluded: set[str]
    ) -> bool:
        """Returns whether every predicted wait exceeds the time left."""
        names = self._rank_candidates(request, excluded)
        time_left_s = request.time_left_s()
        return all(
            self._predicted_wait_s(request, name) > time_left_s
            for name in names
        )

    def _schedulable_endpoints(
        self, request: RoutedRequest, excluded: set[str]
    ) -> list[str]:
        """Returns the endpoints of the service that accept new work."""
        endpoint_manager = self.endpoint_manager
        return [
            name
            for name in endpoint_manager.state.endpoints_of(request.service)
            if name not in excluded
            and not endpoint_manager.is_unschedulable(name)
            and endpoint_manager.latest_hint(name).phase
            not in UNSCHEDULABLE_PHASES
        ]

    def _rank_candidates(
        self, request: RoutedRequest, excluded: set[str]
    ) -> list[str]:
        names = [
            name
            for name in self._schedulable_endpoints(request, excluded)
            if not self._exceeds_cold_limit(request, name)
        ]
        if self.strikes.has_strikes(request.fingerprint):
            return self._sort_by_rendezvous_hash(request, names)
        self.rng.shuffle(names)
        return sorted(
            names, key=lambda name: self._predicted_wait_s(request, name)
        )

    def _sort_by_rendezvous_hash(
        self, request: RoutedRequest, names: list[str]
    ) -> list[str]:
        """Orders endpoints by rendezvous hashing on the fingerprint.

        All daemons compute the same order, so copies of one request that
        arrive through several daemons reach the same owner, which runs them
        one after the other.
        """
        warm = [
            name
            for name in names
            if self.endpoint_manager.latest_hint(name).phase
            not in LEASE_REQUIRED_PHASES
        ]
        fingerprint = request.fingerprint
        return sorted(
            warm or names, key=lambda name: _rendezvous_hash(fingerprint, name)
        )

    def _predicted_wait_s(self, request: RoutedRequest, name: str) -> float:
        """Predicts the wait at an endpoint from its newest hint, in seconds.

        The result includes penalties for the hint's age and the endpoint's
        state.
        """
        hint = self.endpoint_manager.latest_hint(name)
        age_s = self._hint_age_s(name)
        wait_s = hint.short_wait_s
        if request.length_class is not LengthClass.SHORT:
            wait_s = hint.long_wait_s
        remaining_s = max(0.0, wait_s - age_s)
        if hint.long_wait_s - age_s > max(remaining_s, CHUNK_DELAY_S):
            # A long prefill delays the request until it is preempted.
            remaining_s = max(remaining_s, CHUNK_DELAY_S)
        staleness_penalty_s = STALENESS_PENALTY_S_PER_S * min(
            age_s, STALENESS_MAX_AGE_S
        )
        return remaining_s + staleness_penalty_s + _penalty_s(request, hint)

    async def _reserve(
        self,
        request: RoutedRequest,
        name: str,
        limit_s: float,
        waited_s: float,
    ) -> HeldReservation | ReserveReply:
        time_left_s = request.time_left_s()
        return await self.reservations.reserve(
            ReserveRequest(
                endpoint=name,
                request_id=request.id,
                attempt=request.attempts,
                team=request.team,
                team_weight=request.team_weight,
                prompt_tokens=request.prompt_tokens,
                answer_tokens=request.answer_tokens,
                length_class=request.length_class,
                fingerprint=request.fingerprint,
                struck=self.strikes.has_strikes(request.fingerprint),
                time_left_s=time_left_s,
                max_wait_s=max(0.0, min(MAX_OWNER_WAIT_S, time_left_s)),
                max_start_wait_s=limit_s,
                waited_s=waited_s,
                service=request.service,
                epoch=roster_epoch(self.endpoint_manager),
            )
        )


def roster_epoch(endpoint_manager: EndpointManager) -> int:
    """Returns the roster epoch on which the owner table is based."""
    return endpoint_manager.view.roster.epoch


def unreserved_work(endpoint: str, request: RoutedRequest) -> RunningWork:
    """Builds the work record of a request without an owner's grant."""
    return RunningWork(
        endpoint=endpoint,
        reservation_id=f"{request.id}/{request.attempts}",
        tokens=request.prompt_tokens + request.answer_tokens,
        prompt_tokens=request.prompt_tokens,
        prefill_tokens=request.prompt_tokens,
        length_class=request.length_class,
        team=request.team,
        fingerprint=request.fingerprint,
    )


def _rendezvous_hash(fingerprint: str, endpoint: str) -> bytes:
    text = f"{fingerprint}/{endpoint}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def _max_probes(request: RoutedRequest) -> int:
    if request.length_class is LengthClass.LONG:
        return MAX_LONG_PROBES
    return MAX_PROBES


def _penalty_s(request: RoutedRequest, hint: EndpointHint) -> float:
    """Returns the penalty for an unknown phase or lack of capacity."""
    penalty_s = 0.0
    if hint.phase is EndpointPhase.UNKNOWN:
        penalty_s += UNKNOWN_PHASE_PENALTY_S
    if hint.running >= hint.max_running:
        penalty_s += FULL_PENALTY_S
    needed_tokens = request.prompt_tokens + request.answer_tokens
    if hint.free_tokens < needed_tokens and hint.boot_id:
        penalty_s += FULL_PENALTY_S
    return penalty_s


def _execution_state(request: RoutedRequest) -> Ran:
    return Ran.UNKNOWN if request.dispatched else Ran.NO


__all__ = ["Placer", "unreserved_work"]

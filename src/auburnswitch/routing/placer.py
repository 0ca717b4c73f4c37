"""Chooses an endpoint and reserves room on it."""

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
STALENESS_PENALTY_PER_S: Final = (
    0.2  # wait that may have come, per second of a hint's age
)
STALENESS_MAX_AGE_S: Final = 1.0
UNKNOWN_PHASE_PENALTY_S: Final = 0.5
FULL_PENALTY_S: Final = 1.0
MAX_SHORT_PROBES: Final = 4
MAX_LONG_PROBES: Final = 8


@dataclass(slots=True, kw_only=True)
class FinalRefusal:
    """A refusal that asking again would not change."""

    refusal: Refusal


class Placer:
    """Finds room for requests by hints and owners' answers.

    Attributes:
        endpoint_manager: Hints and ownership.
        reservations: This daemon's reservations.
        policy: How the endpoint is chosen.
        strikes: Requests that were in flight at crashes.
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
        """Reserves room on the endpoint that looks best.

        Args:
            request: The request.
            excluded: Endpoints that must not be used.

        Returns:
            The reservation, or why there is none.
        """
        match self.policy:
            case PowerOfTwoChoicesPolicy(sample_size=sample_size):
                return self._choose(request, excluded, sample_size)
            case OwnerReservationPolicy():
                return await self._ask_owners(request, excluded)

    def _choose(
        self, request: RoutedRequest, excluded: set[str], sample_size: int
    ) -> HeldReservation | Refusal:
        names = self._candidates(request, excluded)
        if not names:
            return refusal(
                ResultCode.NO_ENDPOINT, ran=_ran(request), retry_after_s=1
            )
        sample = self.rng.sample(names, min(sample_size, len(names)))
        best = min(sample, key=self._reported_tokens)
        work = unreserved_work(best, request)
        return self.reservations.hold_without_grant(work, request.deadline_at)

    def _reported_tokens(self, name: str) -> int:
        return self.endpoint_manager.latest_hint(name).reported_prefill_tokens

    async def _ask_owners(
        self, request: RoutedRequest, excluded: set[str]
    ) -> HeldReservation | Refusal:
        """Asks owners in rounds until one grants room or none ever can."""
        started_at = monotonic_s()
        last = refusal(
            ResultCode.NO_ENDPOINT, ran=_ran(request), retry_after_s=1
        )
        while request.time_left_s() > 0:
            if self.strikes.is_refused(request.fingerprint):
                return refusal(ResultCode.CRASHING_REQUEST, ran=_ran(request))
            outcome = await self._ask_round(request, excluded, started_at)
            match outcome:
                case HeldReservation():
                    if not self.strikes.is_refused(request.fingerprint):
                        return outcome
                    await self.reservations.release(outcome, succeeded=False)
                case FinalRefusal(refusal=last):
                    return last
                case Refusal():
                    last = outcome
            await asyncio.sleep(PROBE_ROUND_DELAY_S)
        return last

    async def _ask_round(
        self, request: RoutedRequest, excluded: set[str], started_at: float
    ) -> HeldReservation | FinalRefusal | Refusal:
        """Asks owners once, from the most to the least promising.

        Each asks for the wait that the next best endpoint promises at most,
        so that a stale hint costs one call and no time. The last call waits
        in the queue of the best endpoint among those just heard of.
        """
        refusing: set[str] = set()
        last: Refusal | None = None
        for probe in range(_probes(request)):
            names = self._candidates(request, excluded | refusing)
            if not names:
                break
            limit_s = self._wait_limit_s(request, names)
            if probe == _probes(request) - 1:
                limit_s = 0.0
                names = [n for n in names if self._is_fresh(n)] or names
            waited_s = monotonic_s() - started_at
            reply = await self._reserve(request, names[0], limit_s, waited_s)
            if isinstance(reply, HeldReservation):
                return reply
            last = refusal(
                ResultCode(reply.code),
                ran=_ran(request),
                retry_after_s=max(1.0, reply.retry_after_s),
            )
            if reply.code == ResultCode.PROMPT_TOO_LONG:
                last.retry_after_s = None
                return FinalRefusal(refusal=last)
            if reply.code != ResultCode.QUEUE_FULL or not reply.hints:
                refusing.add(names[0])
        if last is None:
            return FinalRefusal(refusal=self._no_candidate(request, excluded))
        if self._starts_too_late(request, excluded):
            return FinalRefusal(refusal=last)
        return last

    def _no_candidate(
        self, request: RoutedRequest, excluded: set[str]
    ) -> Refusal:
        """Returns why no endpoint can be asked."""
        if any(
            self._is_too_cold(request, name)
            for name in self._open_endpoints(request, excluded)
        ):
            return refusal(
                ResultCode.ENDPOINT_COLD,
                ran=_ran(request),
                retry_after_s=COLD_RETRY_AFTER_S,
            )
        return refusal(
            ResultCode.NO_ENDPOINT, ran=_ran(request), retry_after_s=1
        )

    def _is_too_cold(self, request: RoutedRequest, name: str) -> bool:
        """Tells whether an endpoint is cold and the prompt too long for it."""
        if self.endpoint_manager.latest_hint(name).phase != EndpointPhase.COLD:
            return False
        spec = self.endpoint_manager.state.endpoints[name]
        return request.prompt_tokens > spec.cold_max_tokens

    def _wait_limit_s(self, request: RoutedRequest, names: list[str]) -> float:
        """Returns the longest wait worth taking at the first endpoint."""
        if len(names) < 2 or self.strikes.is_struck(request.fingerprint):
            return 0.0
        return self._wait_s(request, names[1]) + WAIT_SLACK_S

    def _is_fresh(self, name: str) -> bool:
        return self._hint_age_s(name) <= FRESH_HINT_MAX_AGE_S

    def _hint_age_s(self, name: str) -> float:
        if self.endpoint_manager.owns(name):
            return 0.0
        return self.endpoint_manager.hints.age_s(name)

    def _starts_too_late(
        self, request: RoutedRequest, excluded: set[str]
    ) -> bool:
        """Tells whether no endpoint promises a start within the deadline."""
        names = self._candidates(request, excluded)
        left_s = request.time_left_s()
        return all(self._wait_s(request, name) > left_s for name in names)

    def _open_endpoints(
        self, request: RoutedRequest, excluded: set[str]
    ) -> list[str]:
        """Returns the endpoints that receive new work."""
        table = self.endpoint_manager
        return [
            name
            for name in table.state.endpoints_of(request.service)
            if name not in excluded
            and not table.is_unschedulable(name)
            and table.latest_hint(name).phase not in UNSCHEDULABLE_PHASES
        ]

    def _candidates(
        self, request: RoutedRequest, excluded: set[str]
    ) -> list[str]:
        names = [
            name
            for name in self._open_endpoints(request, excluded)
            if not self._is_too_cold(request, name)
        ]
        if self.strikes.is_struck(request.fingerprint):
            return self._struck_order(request, names)
        self.rng.shuffle(names)
        return sorted(names, key=lambda name: self._wait_s(request, name))

    def _struck_order(
        self, request: RoutedRequest, names: list[str]
    ) -> list[str]:
        """Returns an order that all daemons agree on.

        So copies of one request that come through several daemons meet at
        one owner, which runs them one after the other.
        """
        warm = [
            name
            for name in names
            if self.endpoint_manager.latest_hint(name).phase
            not in LEASE_REQUIRED_PHASES
        ]
        key = request.fingerprint
        return sorted(warm or names, key=lambda name: _rank(key, name))

    def _wait_s(self, request: RoutedRequest, name: str) -> float:
        """Returns the wait that the newest hint of an endpoint promises."""
        hint = self.endpoint_manager.latest_hint(name)
        age_s = self._hint_age_s(name)
        wait_s = hint.short_wait_s
        if request.length_class is not LengthClass.SHORT:
            wait_s = hint.long_wait_s
        left_s = max(0.0, wait_s - age_s)
        if hint.long_wait_s - age_s > max(left_s, CHUNK_DELAY_S):
            left_s = max(left_s, CHUNK_DELAY_S)  # a long prompt gives way
        unseen_s = STALENESS_PENALTY_PER_S * min(age_s, STALENESS_MAX_AGE_S)
        return left_s + unseen_s + _penalty_s(request, hint)

    async def _reserve(
        self,
        request: RoutedRequest,
        name: str,
        limit_s: float,
        waited_s: float,
    ) -> HeldReservation | ReserveReply:
        left_s = request.time_left_s()
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
                struck=self.strikes.is_struck(request.fingerprint),
                time_left_s=left_s,
                max_wait_s=max(0.0, min(MAX_OWNER_WAIT_S, left_s)),
                max_start_wait_s=limit_s,
                waited_s=waited_s,
                service=request.service,
                epoch=roster_epoch(self.endpoint_manager),
            )
        )


def roster_epoch(table: EndpointManager) -> int:
    """Returns the roster epoch that the owner table goes by."""
    return table.view.roster.epoch


def unreserved_work(endpoint: str, request: RoutedRequest) -> RunningWork:
    """Returns work of a request that no owner has granted."""
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


def _rank(fingerprint: str, endpoint: str) -> bytes:
    text = f"{fingerprint}/{endpoint}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def _probes(request: RoutedRequest) -> int:
    if request.length_class is LengthClass.LONG:
        return MAX_LONG_PROBES
    return MAX_SHORT_PROBES


def _penalty_s(request: RoutedRequest, hint: EndpointHint) -> float:
    """Returns what makes an endpoint less promising than its wait."""
    penalty_s = 0.0
    if hint.phase is EndpointPhase.UNKNOWN:
        penalty_s += UNKNOWN_PHASE_PENALTY_S
    if hint.running >= hint.max_running:
        penalty_s += FULL_PENALTY_S
    needed = request.prompt_tokens + request.answer_tokens
    if hint.free_tokens < needed and hint.boot_id:
        penalty_s += FULL_PENALTY_S
    return penalty_s


def _ran(request: RoutedRequest) -> Ran:
    return Ran.UNKNOWN if request.dispatched else Ran.NO


__all__ = ["Placer", "unreserved_work"]

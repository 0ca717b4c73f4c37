"""Chooses an endpoint and reserves room on it."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from auburnswitch.endpoints.ledger import CLOSED_PHASES
from auburnswitch.endpoints.reservations import (
    HeldReservation,
    ReservationClient,
)
from auburnswitch.results import Refusal, refusal
from auburnswitch.routing.policy import (
    OwnerReservations,
    PlacementPolicy,
    TwoChoices,
)
from auburnswitch.schema.peers import (
    EndpointHint,
    EndpointPhase,
    ReserveReply,
    ReserveRequest,
    RunningWork,
)
from auburnswitch.schema.results import Ran, ResultCode

if TYPE_CHECKING:
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.routing.request import RoutedRequest

ROUND_DELAY_S: Final = 0.05
OWNER_WAIT_S: Final = 1.0


class Placer:
    """Finds room for requests by hints and owners' answers.

    Attributes:
        owner_table: Hints and ownership.
        reservations: This daemon's reservations.
        policy: How the endpoint is chosen.
    """

    __slots__ = ("owner_table", "policy", "random", "reservations")

    def __init__(
        self,
        *,
        owner_table: OwnerTable,
        reservations: ReservationClient,
        policy: PlacementPolicy,
        seed: int,
    ) -> None:
        self.owner_table = owner_table
        self.policy = policy
        self.reservations = reservations
        self.random = random.Random(seed)

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
            case TwoChoices(choices=choices):
                return self._choose(request, excluded, choices)
            case OwnerReservations():
                return await self._ask_owners(request, excluded)

    def _choose(
        self, request: RoutedRequest, excluded: set[str], choices: int
    ) -> HeldReservation | Refusal:
        names = self._candidates(request, excluded)
        if not names:
            return refusal(
                ResultCode.NO_ENDPOINT, ran=_ran(request), retry_after_s=1
            )
        sample = self.random.sample(names, min(choices, len(names)))
        best = min(sample, key=self._reported_tokens)
        work = unreserved_work(best, request)
        return self.reservations.hold_unasked(work, request.deadline_at)

    def _reported_tokens(self, name: str) -> int:
        return self.owner_table.best_hint(name).reported_prefill_tokens

    async def _ask_owners(
        self, request: RoutedRequest, excluded: set[str]
    ) -> HeldReservation | Refusal:
        last = refusal(
            ResultCode.NO_ENDPOINT, ran=_ran(request), retry_after_s=1
        )
        while request.time_left_s() > 0:
            names = self._candidates(request, excluded)
            for name in names:
                outcome = await self._reserve(request, name)
                if isinstance(outcome, HeldReservation):
                    return outcome
                if outcome.code == ResultCode.PROMPT_TOO_LONG:
                    return refusal(
                        ResultCode.PROMPT_TOO_LONG, ran=_ran(request)
                    )
                last = refusal(
                    ResultCode(outcome.code),
                    ran=_ran(request),
                    retry_after_s=max(1.0, outcome.retry_after_s),
                )
            if not names:
                return last
            await asyncio.sleep(ROUND_DELAY_S)
        return last

    def _candidates(
        self, request: RoutedRequest, excluded: set[str]
    ) -> list[str]:
        table = self.owner_table
        names = [
            name
            for name in table.state.endpoints_of(request.service)
            if name not in excluded and not table.is_closed(name)
        ]
        hints = {name: table.best_hint(name) for name in names}
        names = [n for n in names if hints[n].phase not in CLOSED_PHASES]
        self.random.shuffle(names)
        return sorted(names, key=lambda name: _cost(hints[name]))

    async def _reserve(
        self, request: RoutedRequest, name: str
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
                time_left_s=left_s,
                max_wait_s=max(0.0, min(OWNER_WAIT_S, left_s)),
                epoch=table_epoch(self.owner_table),
            )
        )


def table_epoch(table: OwnerTable) -> int:
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


def _cost(hint: EndpointHint) -> float:
    filled = hint.running / max(1, hint.max_running)
    unknown = hint.phase is EndpointPhase.UNKNOWN
    return hint.short_wait_s + filled + (0.5 if unknown else 0.0)


def _ran(request: RoutedRequest) -> Ran:
    return Ran.UNKNOWN if request.dispatched else Ran.NO


__all__ = ["Placer", "unreserved_work"]

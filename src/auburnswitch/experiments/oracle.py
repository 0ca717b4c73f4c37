"""Oracle placement policy: reads the engines' true state, for comparison."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.results import Refusal, refusal
from auburnswitch.routing.placer import Placer, unreserved_work
from auburnswitch.schema.peers import LengthClass
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from auburnswitch.endpoints.reservations import HeldReservation
    from auburnswitch.routing.request import RoutedRequest
    from auburnswitch.standins.engine import EngineStandIn

RETRY_INTERVAL_S: Final = 0.01
MAX_TRANSIT_S: Final = 0.04
SHORT_MEMORY_SHARE: Final = 0.1


class OraclePlacer(Placer):
    """Chooses the engine whose true state predicts the earliest first token.

    Attributes:
        engines: Engine stand-ins by endpoint name.
        pending: Placed requests that have not reached their engine yet, with
            the loop time of their placement in seconds, by endpoint and
            request id.
    """

    __slots__ = ("engines", "pending")

    def __init__(
        self,
        *,
        placer: Placer,
        engines: Mapping[str, EngineStandIn],
        pending: dict[str, dict[str, tuple[float, RoutedRequest]]],
    ) -> None:
        super().__init__(
            endpoint_manager=placer.endpoint_manager,
            reservations=placer.reservations,
            policy=placer.policy,
            strikes=placer.strikes,
            seed=0,
        )
        self.rng = placer.rng
        self.engines = engines
        self.pending = pending

    async def place(
        self, request: RoutedRequest, excluded: set[str]
    ) -> HeldReservation | Refusal:
        """Returns a reservation on the engine with the least prefill ahead.

        Waits while no engine has the capacity, up to the deadline of the
        request.
        """
        while request.time_left_s() > 0:
            names = [
                name
                for name in self.engines
                if name not in excluded
                and not self.endpoint_manager.is_unschedulable(name)
                and self._has_capacity(name, request)
            ]
            if names:
                self.rng.shuffle(names)
                best = min(names, key=lambda n: self._prefill_ahead(n, request))
                self.pending[best][request.id] = (monotonic_s(), request)
                work = unreserved_work(best, request)
                return self.reservations.hold_without_grant(
                    work, request.deadline_at
                )
            await asyncio.sleep(RETRY_INTERVAL_S)
        return refusal(ResultCode.DEADLINE_EXCEEDED)

    def _in_transit(self, name: str) -> list[RoutedRequest]:
        arrived = {job.request_id for job in self.engines[name].batch.jobs()}
        oldest_placed_at = monotonic_s() - MAX_TRANSIT_S
        pending = self.pending[name]
        for request_id, (placed_at, _) in list(pending.items()):
            if request_id in arrived or placed_at < oldest_placed_at:
                del pending[request_id]
        return [request for _, request in pending.values()]

    def _has_capacity(self, name: str, request: RoutedRequest) -> bool:
        engine = self.engines[name]
        used_tokens = engine.batch.memory_used_tokens
        used_tokens += sum(job.memory_tokens for job in engine.batch.waiting)
        used_tokens += sum(
            r.prompt_tokens + r.answer_tokens for r in self._in_transit(name)
        )
        limit_tokens = float(engine.options.memory_tokens)
        if request.length_class is LengthClass.LONG:
            limit_tokens *= 1 - SHORT_MEMORY_SHARE
        needed_tokens = request.prompt_tokens + request.answer_tokens
        return used_tokens + needed_tokens <= limit_tokens

    def _prefill_ahead(
        self, name: str, request: RoutedRequest
    ) -> tuple[int, ...]:
        jobs = self.engines[name].batch.jobs()
        in_transit = self._in_transit(name)
        priority = int(request.length_class)
        ahead_tokens = sum(
            j.prefill_remaining_tokens for j in jobs if j.priority <= priority
        )
        ahead_tokens += sum(
            r.prompt_tokens
            for r in in_transit
            if int(r.length_class) <= priority
        )
        total_tokens = sum(j.prefill_remaining_tokens for j in jobs)
        total_tokens += sum(r.prompt_tokens for r in in_transit)
        return (ahead_tokens, total_tokens)


__all__ = ["OraclePlacer"]

"""A placement that sees every engine's true state; for comparison only."""

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
    """Chooses the engine whose true state promises the first token soonest.

    Attributes:
        engines: Engine stand-ins by endpoint name.
        pending: Requests placed that an engine has not seen yet, with the
            loop time of their placement in seconds, by endpoint.
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
        """Returns the engine with the least work before the request."""
        while request.time_left_s() > 0:
            names = [
                name
                for name in self.engines
                if name not in excluded
                and not self.endpoint_manager.is_unschedulable(name)
                and self._has_room(name, request)
            ]
            if names:
                self.rng.shuffle(names)
                best = min(names, key=lambda n: self._work_before(n, request))
                self.pending[best][request.id] = (monotonic_s(), request)
                work = unreserved_work(best, request)
                return self.reservations.hold_without_grant(
                    work, request.deadline_at
                )
            await asyncio.sleep(RETRY_INTERVAL_S)
        return refusal(ResultCode.DEADLINE_EXCEEDED)

    def _in_transit(self, name: str) -> list[RoutedRequest]:
        arrived = {job.request_id for job in self.engines[name].batch.jobs()}
        oldest = monotonic_s() - MAX_TRANSIT_S
        waiting = self.pending[name]
        for request_id, (placed_at, _) in list(waiting.items()):
            if request_id in arrived or placed_at < oldest:
                del waiting[request_id]
        return [request for _, request in waiting.values()]

    def _has_room(self, name: str, request: RoutedRequest) -> bool:
        engine = self.engines[name]
        used = engine.batch.memory_used_tokens
        used += sum(job.memory_tokens for job in engine.batch.waiting)
        used += sum(
            r.prompt_tokens + r.answer_tokens for r in self._in_transit(name)
        )
        limit = float(engine.options.memory_tokens)
        if request.length_class is LengthClass.LONG:
            limit *= 1 - SHORT_MEMORY_SHARE
        needed = request.prompt_tokens + request.answer_tokens
        return used + needed <= limit

    def _work_before(
        self, name: str, request: RoutedRequest
    ) -> tuple[int, ...]:
        jobs = self.engines[name].batch.jobs()
        transit = self._in_transit(name)
        length = int(request.length_class)
        first = sum(
            j.prefill_remaining_tokens for j in jobs if j.priority <= length
        )
        first += sum(
            r.prompt_tokens for r in transit if int(r.length_class) <= length
        )
        total = sum(j.prefill_remaining_tokens for j in jobs)
        total += sum(r.prompt_tokens for r in transit)
        return (first, total)


__all__ = ["OraclePlacer"]

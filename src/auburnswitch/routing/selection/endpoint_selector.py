"""Chooses the endpoints of a request and tracks its work on them."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.routing.selection import engine_latency
from auburnswitch.routing.selection.engine_candidate import PromptRequirements
from auburnswitch.routing.selection.placement import (
    MAX_PLACEMENT_WAIT_SHARE,
    Placement,
)
from auburnswitch.routing.selection.prefill_planner import (
    MAX_ENGINES,
    PrefillPlan,
    engines_needed,
    min_prefill_ms,
    plan_prefill,
)
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import WorkItem

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from auburnswitch.configuration.installation import Installation
    from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint
    from auburnswitch.members.cells import Cells
    from auburnswitch.routing.availability.endpoint_availability import (
        EndpointAvailability,
    )
    from auburnswitch.routing.availability.endpoint_health import EndpointHealth
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.selection.fleet_load import FleetLoad
    from auburnswitch.routing.selection.send_rate_limiter import SendRateLimiter
    from auburnswitch.schema.installation import EngineModel

PLAIN_REQUEST_MS: Final = 300.0  # expected duration of a plain request
MAX_PLAIN_QUEUED: Final = 2  # requests beyond an endpoint's slots
# Minimum for a long prompt; two of them may not fit into one engine's memory.
LONG_PROMPT_TOKENS: Final = 80_000
FALLBACK_SAMPLE_SIZE: Final = 32  # endpoints sampled from all cells
REMAINING_TIME_FACTOR: Final = 1.5  # of the predicted duration of a request
_MS_PER_S: Final = 1000.0


class EndpointSelector:
    """Chooses endpoints by the work of all daemons on them.

    Attributes:
        instance: This daemon's instance.
        zone: This daemon's availability zone.
        installation: The endpoints and services.
        availability: Decides which endpoints may get new requests.
        load: Work of all daemons on each endpoint.
        health: Tracks failures and suspected endpoints.
        rates: Limits the rate of requests to cold endpoints.
        group: Returns the id of this daemon's group, whose daemons prefer the
            same engines.
        cells: Endpoints that this daemon prefers in a large fleet.
        on_change: Called with the items that have started and the ids of the
            items that have ended.
        rng: Random generator for sampling and tie-breaks.
    """

    __slots__ = (
        "_next_id",
        "availability",
        "cells",
        "group",
        "health",
        "installation",
        "instance",
        "load",
        "on_change",
        "rates",
        "rng",
        "zone",
    )

    def __init__(
        self,
        *,
        instance: str,
        zone: str,
        installation: Installation,
        availability: EndpointAvailability,
        load: FleetLoad,
        health: EndpointHealth,
        rates: SendRateLimiter,
        on_change: Callable[[list[WorkItem], list[int]], None],
        group: Callable[[], str],
        cells: Cells,
        rng: random.Random,
    ) -> None:
        self.group = group
        self.cells = cells
        self.instance = instance
        self.zone = zone
        self.installation = installation
        self.availability = availability
        self.load = load
        self.health = health
        self.rates = rates
        self.on_change = on_change
        self.rng = rng
        self._next_id = 0

    def is_feasible(self, job: DeliveryJob) -> bool:
        """Returns whether idle endpoints could serve a request in time."""
        usable_count = self._count_usable(job)
        model, request = job.service.engine, job.request
        if model is None or not request.prompt_tokens:
            return usable_count > 0
        tokens = request.prompt_tokens + request.answer_tokens
        needed = engines_needed(model, tokens)
        if needed is None or usable_count < needed:
            return False
        prefill_ms = min_prefill_ms(model, request.prompt_tokens, usable_count)
        return prefill_ms <= job.time_left_s() * _MS_PER_S

    def _count_usable(self, job: DeliveryJob) -> int:
        """Counts usable endpoints, up to the most that one prefill can use.

        Endpoints that will be usable while the request may wait count too.
        """
        wait_s = job.route.target_latency_s * MAX_PLACEMENT_WAIT_SHARE
        latest_at = monotonic_s() + wait_s
        usable = (
            endpoint
            for endpoint in self.installation.endpoints_of(job.service.name)
            if self.availability.usable_at(endpoint) <= latest_at
            and endpoint.entry.id not in job.excluded
        )
        return sum(1 for _ in itertools.islice(usable, MAX_ENGINES))

    def select(self, job: DeliveryJob) -> Placement | None:
        """Chooses endpoints with capacity for a request.

        In a large fleet the endpoints of this daemon's cell take precedence.

        Returns:
            The placement, None if no endpoint has the capacity.
        """
        service = job.service.name
        if not self.cells.spans_cells(service):
            return self._choose_from(
                job, self.installation.endpoints_of(service)
            )
        placement = self._choose_from(job, self.cells.cell_endpoints(service))
        if placement is not None and not (
            placement.late or placement.delays_others
        ):
            return placement
        all_endpoints = self.installation.endpoints_of(service)
        sample = self.rng.sample(
            all_endpoints, min(len(all_endpoints), FALLBACK_SAMPLE_SIZE)
        )
        return self._choose_from(job, sample) or placement

    def _choose_from(
        self, job: DeliveryJob, candidates: Iterable[TrackedEndpoint]
    ) -> Placement | None:
        usable = [
            endpoint
            for endpoint in candidates
            if self.availability.is_usable(endpoint)
            and endpoint.entry.id not in job.excluded
            and self.rates.allows(job.service, endpoint.entry.id)
        ]
        healthy = [
            endpoint
            for endpoint in usable
            if not self.health.is_suspect(endpoint.entry.id)
        ]
        for choices in (healthy, usable):
            if job.service.engine is not None and job.request.prompt_tokens:
                placement = self._choose_engines(
                    job, job.service.engine, choices
                )
            else:
                placement = self._choose_plain(choices)
            if placement is not None:
                return placement
        return None

    def start(self, job: DeliveryJob, placement: Placement) -> None:
        """Adds the work of a placement and publishes it to peers.

        Does nothing if the placement has been started before.
        """
        if placement.started:
            return
        placement.started = True
        load = self.load.by_endpoint[placement.endpoint.entry.id]
        log_event(
            EventId.REQUEST_PLACED,
            request=job.request.id,
            endpoint=placement.endpoint.entry.id,
            helpers=placement.item.helpers,
            holders=placement.item.holders,
            writers=load.decode_count,
            helping=load.helper_prefill_count,
            backlog_ms=round(load.backlog_ms(monotonic_s()), 1),
            part_ms=round(placement.item.read_ms, 1),
            predicted_ms=round(placement.first_token_s * _MS_PER_S, 1),
        )
        self.rates.record_send(placement.endpoint.entry.id)
        self.load.add(self.instance, placement.item)
        self.on_change([placement.item], [])

    def record_prefilled(self, placement: Placement) -> None:
        """Records that the prefill of a placement has finished."""
        self.load.record_prefilled(self.instance, placement.item.id)

    def end(self, placement: Placement) -> None:
        """Removes the work of a placement and publishes its end to peers."""
        self.load.remove(self.instance, placement.item.id)
        self.on_change([], [placement.item.id])

    def find_by_address(self, address: str) -> str | None:
        """Returns the id of the endpoint at an address, None if unknown."""
        for endpoint in self.installation.endpoints.values():
            if f"{endpoint.entry.host}:{endpoint.entry.port}" == address:
                return endpoint.entry.id
        return None

    def _choose_plain(
        self, candidates: list[TrackedEndpoint]
    ) -> Placement | None:
        def rank(endpoint: TrackedEndpoint) -> tuple[float, bool, float]:
            pending = len(
                self.load.by_endpoint[endpoint.entry.id].work_by_request
            )
            in_other_zone = endpoint.entry.zone != self.zone
            return pending, in_other_zone, self.rng.random()

        best = min(candidates, key=rank, default=None)
        if best is None:
            return None
        if rank(best)[0] >= best.entry.slots + MAX_PLAIN_QUEUED:
            return None
        item = self._make_item(
            endpoint=best.entry.id, remaining_ms=PLAIN_REQUEST_MS
        )
        return Placement(
            endpoint=best,
            helpers=[],
            item=item,
            first_token_s=0,
            duration_s=PLAIN_REQUEST_MS / _MS_PER_S,
        )

    def _choose_engines(
        self,
        job: DeliveryJob,
        model: EngineModel,
        candidates: list[TrackedEndpoint],
    ) -> Placement | None:
        now = monotonic_s()
        shuffled = self.rng.sample(candidates, len(candidates))
        prompt = PromptRequirements(
            tokens=job.request.prompt_tokens,
            answer_tokens=job.request.answer_tokens,
            target_ms=max(0.0, job.target_time_left_s()) * _MS_PER_S,
            target_gap_ms=job.route.target_gap_s * _MS_PER_S,
        )
        loads = [
            (endpoint, self.load.by_endpoint[endpoint.entry.id])
            for endpoint in shuffled
        ]
        plan = plan_prefill(model, prompt, loads, now, self._tie_break(prompt))
        if plan is None:
            return None
        return self._make_placement(plan, model, prompt)

    def _tie_break(self, prompt: PromptRequirements) -> str:
        """Returns the tie-break text for equally good engines.

        Daemons of a group prefer the same engines, which packs short answers.
        Two long prompts that are placed at the same time may not fit into the
        memory of one engine, so each daemon has its own order for them.
        """
        return (
            self.instance
            if prompt.tokens >= LONG_PROMPT_TOKENS
            else self.group()
        )

    def _make_placement(
        self, plan: PrefillPlan, model: EngineModel, prompt: PromptRequirements
    ) -> Placement:
        decode_count = (
            self.load.by_endpoint[plan.decode_engine.entry.id].decode_count + 1
        )
        answer_ms = engine_latency.decode_ms(
            model, prompt.answer_tokens, decode_count, prompt.tokens
        )
        remaining_ms = plan.first_token_ms + answer_ms
        remaining_ms *= REMAINING_TIME_FACTOR
        item = self._make_item(
            endpoint=plan.decode_engine.entry.id,
            helpers=[helper.entry.id for helper in plan.helpers],
            read_ms=plan.part_ms,
            memory_tokens=plan.memory_tokens,
            helper_memory_tokens=plan.memory_tokens if plan.holders else 0,
            holders=plan.holders,
            target_gap_ms=prompt.target_gap_ms,
            due_ms=prompt.target_ms,
            remaining_ms=remaining_ms,
        )
        return Placement(
            endpoint=plan.decode_engine,
            helpers=plan.helpers,
            item=item,
            first_token_s=plan.first_token_ms / _MS_PER_S,
            duration_s=remaining_ms / _MS_PER_S,
            late=plan.first_token_ms > prompt.target_ms,
            delays_others=plan.interference_cost > 0,
        )

    def _make_item(self, **values: object) -> WorkItem:
        self._next_id += 1
        return WorkItem(id=self._next_id, **values)  # type: ignore[arg-type]


__all__ = ["EndpointSelector"]

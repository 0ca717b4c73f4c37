"""Chooses groups of endpoints for prompts too large for one endpoint."""

from __future__ import annotations

import asyncio
import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.endpoints.groups import release_group, reserve_group
from auburnswitch.endpoints.phases import (
    LEASE_REQUIRED_PHASES,
    UNSCHEDULABLE_PHASES,
)
from auburnswitch.results import Refusal, refusal
from auburnswitch.routing.length_classes import estimate_tokens
from auburnswitch.schema.objects import ServiceKind
from auburnswitch.schema.peers import ReserveRequest
from auburnswitch.schema.results import Ran, ResultCode

if TYPE_CHECKING:
    from auburnswitch.endpoints.reservations import HeldReservation
    from auburnswitch.routing.placer import Placer
    from auburnswitch.routing.request import RoutedRequest

MAX_GROUP_WAIT_S: Final = 30.0
MAX_GROUP_RETRY_DELAY_S: Final = 0.5
MAX_SEGMENTS: Final = 16
COMPLETIONS_PATH: Final = "/v1/completions"


@dataclass(slots=True, kw_only=True)
class GroupReservation:
    """Reservations on several endpoints for the segments of one prompt.

    Attributes:
        reservations: The reservations, in the order of the segments.
        segments: Text of each segment.
        active_index: Index of the reservation in use.
    """

    reservations: list[HeldReservation]
    segments: list[str]
    active_index: int = 0

    @property
    def endpoint(self) -> str:
        """The endpoint of the reservation in use."""
        return self.reservations[self.active_index].endpoint

    @property
    def boot_id(self) -> str:
        """Boot id of the endpoint in use, as reported by its owner."""
        return self.reservations[self.active_index].boot_id


class GroupPlacer:
    """Reserves capacity on all endpoints of a group, or on none.

    Attributes:
        placer: Provides the endpoints, reservations and strikes.
    """

    __slots__ = ("placer",)

    def __init__(self, *, placer: Placer) -> None:
        self.placer = placer

    def needs_group(self, request: RoutedRequest) -> bool:
        """Returns whether a request exceeds the memory of every endpoint."""
        state = self.placer.endpoint_manager.state
        service = state.services.get(request.service)
        if service is None or service.kind != ServiceKind.MODEL:
            return False
        needed_tokens = request.prompt_tokens + request.answer_tokens
        memory = [
            state.endpoints[name].memory_tokens
            for name in state.endpoints_of(request.service)
        ]
        return bool(memory) and needed_tokens > max(memory)

    async def place(
        self, request: RoutedRequest, excluded: set[str]
    ) -> GroupReservation | Refusal:
        """Reserves a group of endpoints for a request.

        If all endpoints of the service together are too small, the refusal
        carries no retry time, as a retry would not help.

        Returns:
            The reservations, or the reason for the refusal.
        """
        ran = Ran.UNKNOWN if request.dispatched else Ran.NO
        prompt = request.body.get("prompt")
        if request.path != COMPLETIONS_PATH or not isinstance(prompt, str):
            return refusal(ResultCode.PROMPT_TOO_LONG, ran=ran)
        endpoint_manager = self.placer.endpoint_manager
        all_names = endpoint_manager.state.endpoints_of(request.service)
        if not self._choose_group(request, all_names):
            return refusal(ResultCode.PROMPT_TOO_LONG, ran=ran)
        last_refusal = refusal(ResultCode.NO_ENDPOINT, ran=ran, retry_after_s=5)
        while request.time_left_s() > 0:
            if self.placer.strikes.is_refused(request.fingerprint):
                return refusal(ResultCode.CRASHING_REQUEST, ran=ran)
            names = self._choose_group(
                request, self._schedulable_endpoints(request, excluded)
            )
            if not names:
                return last_refusal
            group = await self._reserve(request, names, prompt)
            if isinstance(group, GroupReservation):
                return group
            last_refusal = refusal(
                ResultCode.QUEUE_FULL, ran=ran, retry_after_s=MAX_GROUP_WAIT_S
            )
            await asyncio.sleep(
                MAX_GROUP_RETRY_DELAY_S * self.placer.rng.random()
            )
        return last_refusal

    def release(
        self, group: GroupReservation, *, succeeded: bool, may_still_run: bool
    ) -> None:
        """Releases all reservations of a group."""
        release_group(
            self.placer.reservations,
            group.reservations,
            succeeded=succeeded,
            may_still_run=may_still_run,
        )

    async def _reserve(
        self, request: RoutedRequest, names: list[str], prompt: str
    ) -> GroupReservation | None:
        segments = split_prompt(prompt, len(names))
        segment_requests = [
            self._segment_request(
                request, name, segment, last=segment is segments[-1]
            )
            for name, segment in zip(names, segments, strict=True)
        ]
        outcome = await reserve_group(
            self.placer.reservations, segment_requests
        )
        if isinstance(outcome, list):
            return GroupReservation(reservations=outcome, segments=segments)
        return None

    def _segment_request(
        self, request: RoutedRequest, name: str, segment: str, *, last: bool
    ) -> ReserveRequest:
        time_left_s = request.time_left_s()
        settings = self.placer.endpoint_manager.settings.routing
        return ReserveRequest(
            endpoint=name,
            request_id=request.id,
            attempt=request.attempts,
            team=request.team,
            team_weight=request.team_weight,
            prompt_tokens=estimate_tokens(segment, settings),
            answer_tokens=request.answer_tokens if last else 0,
            length_class=request.length_class,
            fingerprint=request.fingerprint,
            struck=self.placer.strikes.has_strikes(request.fingerprint),
            time_left_s=time_left_s,
            max_wait_s=max(0.0, min(MAX_GROUP_WAIT_S, time_left_s)),
            service=request.service,
        )

    def _schedulable_endpoints(
        self, request: RoutedRequest, excluded: set[str]
    ) -> list[str]:
        endpoint_manager = self.placer.endpoint_manager
        return [
            name
            for name in endpoint_manager.state.endpoints_of(request.service)
            if name not in excluded
            and not endpoint_manager.is_unschedulable(name)
            and endpoint_manager.latest_hint(name).phase
            not in UNSCHEDULABLE_PHASES
            and endpoint_manager.latest_hint(name).phase
            not in LEASE_REQUIRED_PHASES
        ]

    def _choose_group(
        self, request: RoutedRequest, names: list[str]
    ) -> list[str]:
        """Returns the smallest sufficient group of least loaded endpoints."""
        endpoint_manager = self.placer.endpoint_manager
        long_memory_share = (
            1 - endpoint_manager.settings.routing.short_memory_share
        )
        ordered = sorted(
            names, key=lambda n: endpoint_manager.latest_hint(n).long_wait_s
        )
        for count in range(2, min(MAX_SEGMENTS, len(ordered)) + 1):
            chosen = ordered[:count]
            capacity_tokens = min(
                endpoint_manager.state.endpoints[n].memory_tokens
                for n in chosen
            )
            segment_tokens = math.ceil(request.prompt_tokens / count) + count
            if (
                segment_tokens + request.answer_tokens
                <= capacity_tokens * long_memory_share
            ):
                return chosen
        return []


def split_prompt(prompt: str, count: int) -> list[str]:
    """Splits a prompt into segments of about equal size in UTF-8."""
    data = prompt.encode()
    offsets = [0]
    for number in range(1, count):
        offset = number * len(data) // count
        while data[offset] & 0xC0 == 0x80:  # inside a UTF-8 sequence
            offset -= 1
        offsets.append(offset)
    offsets.append(len(data))
    return [
        data[begin:end].decode() for begin, end in itertools.pairwise(offsets)
    ]


__all__ = ["GroupPlacer", "GroupReservation", "split_prompt"]

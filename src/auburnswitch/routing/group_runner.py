"""Runs a prompt on a group of endpoints, one segment after the other."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING, Any

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import Attempt, EndpointFailureError
from auburnswitch.http_client import read_json
from auburnswitch.routing.answer_stream import (
    PREFILL_TIMEOUT_FACTOR,
    AnswerEnd,
    AnswerStream,
    AnswerText,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.endpoints.client import EndpointClient
    from auburnswitch.endpoints.reservations import HeldReservation
    from auburnswitch.observe.metrics import Metrics
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.routing.answer_progress import AnswerProgress
    from auburnswitch.routing.group_placer import GroupPlacer, GroupReservation
    from auburnswitch.routing.request import RoutedRequest
    from auburnswitch.schema.objects import Endpoint


class GroupRunner:
    """Prefills segments in a chain and streams the answer of the last endpoint.

    Attributes:
        group_placer: Reserves and releases the groups.
        client: Client for calls to endpoints.
        metrics: The daemon's metrics.
        member_id: This daemon's member id.
        cleanups: Cleanup tasks that outlive an attempt.
    """

    __slots__ = ("cleanups", "client", "group_placer", "member_id", "metrics")

    def __init__(
        self,
        *,
        group_placer: GroupPlacer,
        client: EndpointClient,
        metrics: Metrics,
        member_id: str,
        cleanups: TaskSet,
    ) -> None:
        self.group_placer = group_placer
        self.client = client
        self.metrics = metrics
        self.member_id = member_id
        self.cleanups = cleanups

    async def attempt(
        self,
        request: RoutedRequest,
        group: GroupReservation,
        progress: AnswerProgress,
    ) -> AsyncIterator[AnswerText | AnswerEnd]:
        """Runs one attempt and releases all its reservations.

        Raises:
            EndpointFailureError: An endpoint of the group failed.
            TimeoutError: The deadline passed.
        """
        attempt = Attempt(
            request_id=request.id,
            number=request.attempts,
            member_id=self.member_id,
        )
        succeeded = False
        progress.start_attempt()
        request.dispatched = True
        try:
            chain = await self._prefill_chain(request, group, attempt)
            stream = self._make_stream(request, group, attempt, progress, chain)
            async with contextlib.aclosing(stream.parts()) as parts:
                async for part in parts:
                    if isinstance(part, AnswerEnd):
                        _set_prompt_tokens(part, request)
                    yield part
            succeeded = True
        finally:
            cleanup = self._release_group(group, attempt, succeeded=succeeded)
            self.cleanups.start(cleanup, "free the parts of a group")

    async def _prefill_chain(
        self, request: RoutedRequest, group: GroupReservation, attempt: Attempt
    ) -> list[dict[str, str]]:
        chain: list[dict[str, str]] = []
        for number, segment in enumerate(group.segments[:-1]):
            group.active_index = number
            held = group.reservations[number]
            spec = self._spec(held)
            body = {
                "prompt": segment,
                "priority": int(request.length_class),
                "kv_chain": chain,
            }
            kv_id = await self._prefill(request, held, spec, attempt, body)
            url = f"http://{spec.host}:{spec.port}"
            chain = [*chain, {"url": url, "kv_id": kv_id}]
        group.active_index = len(group.reservations) - 1
        return chain

    async def _prefill(
        self,
        request: RoutedRequest,
        held: HeldReservation,
        spec: Endpoint,
        attempt: Attempt,
        body: dict[str, Any],
    ) -> str:
        timeout_s = self.client.settings.stream_idle_timeout_s
        tokens_per_s = max(1, spec.prefill_tokens_per_second)
        timeout_s += (
            PREFILL_TIMEOUT_FACTOR * held.work.prefill_tokens / tokens_per_s
        )
        timeout_at = min(request.deadline_at, monotonic_s() + timeout_s)
        guard = self.group_placer.placer.reservations.guard(held, attempt)
        try:
            async with asyncio.timeout_at(timeout_at):
                kv_id = await self._post_prefill(spec, attempt, body, guard)
        except TimeoutError as error:
            if monotonic_s() >= request.deadline_at:
                raise
            raise EndpointFailureError(
                "the prefill took too long", sent=True, lost=False
            ) from error
        held.work.prefill_tokens = 0
        await self.group_placer.placer.reservations.report_prefilled(held)
        return kv_id

    async def _post_prefill(
        self, spec: Endpoint, attempt: Attempt, body: Any, guard: Any
    ) -> str:
        async with self.client.request(
            spec,
            "POST",
            "/v1/prefill",
            guard=guard,
            json=body,
            headers=attempt.headers(),
        ) as response:
            if response.status != 200:
                raise EndpointFailureError(
                    f"HTTP status {response.status} for a prefill",
                    sent=True,
                    lost=False,
                    status=response.status,
                )
            return str((await read_json(response))["kv_id"])

    def _make_stream(
        self,
        request: RoutedRequest,
        group: GroupReservation,
        attempt: Attempt,
        progress: AnswerProgress,
        chain: list[dict[str, str]],
    ) -> AnswerStream:
        held = group.reservations[-1]
        body = request.body | {"prompt": group.segments[-1], "kv_chain": chain}
        return AnswerStream(
            client=self.client,
            metrics=self.metrics,
            request=dataclasses.replace(request, body=body),
            spec=self._spec(held),
            attempt=attempt,
            progress=progress,
            guard=self.group_placer.placer.reservations.guard(held, attempt),
        )

    async def _release_group(
        self, group: GroupReservation, attempt: Attempt, *, succeeded: bool
    ) -> None:
        """Frees the attempt on each endpoint and releases the reservations."""
        freed = [
            await self._free_endpoint(held, attempt)
            for held in group.reservations
            if held.dispatched_at is not None
        ]
        self.group_placer.release(
            group, succeeded=succeeded, may_still_run=not all(freed)
        )

    async def _free_endpoint(
        self, held: HeldReservation, attempt: Attempt
    ) -> bool:
        state = self.group_placer.placer.endpoint_manager.state
        spec = state.endpoints.get(held.endpoint)
        if spec is None:
            return False
        cancelled = await self.client.cancel(spec, attempt)
        return cancelled and await self.client.free_kv_caches(spec, attempt)

    def _spec(self, held: HeldReservation) -> Endpoint:
        state = self.group_placer.placer.endpoint_manager.state
        spec = state.endpoints.get(held.endpoint)
        if spec is None:
            raise EndpointFailureError(
                "the endpoint was removed", sent=False, lost=False
            )
        return spec


def _set_prompt_tokens(end: AnswerEnd, request: RoutedRequest) -> None:
    if "prompt_tokens" in end.usage:
        end.usage["prompt_tokens"] = request.prompt_tokens


__all__ = ["GroupRunner"]

"""Sends a request to the endpoints of a placement."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.platform.endpoint_responses import (
    BrokenResponse,
    RequestNotExecuted,
    RequestNotSent,
    ResponseHead,
    WrongResponse,
)
from auburnswitch.platform.requests import encode_request_headers
from auburnswitch.routing.delivery.outcomes import AttemptFailed
from auburnswitch.routing.selection.memory_reservations import MemoryRefusal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.platform.requests import PrefillHelper
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.delivery.outcomes import DeliveryProgress
    from auburnswitch.routing.selection.endpoint_selector import (
        EndpointSelector,
    )
    from auburnswitch.routing.selection.memory_reservations import (
        MemoryReservations,
    )
    from auburnswitch.routing.selection.placement import Placement
    from auburnswitch.schema.installation import EndpointEntry


CRASHES_REASON: Final = "crashes endpoints"


class AttemptOpener:
    """Opens attempts, each of which lasts until its context ends.

    Attributes:
        selector: Tracks the load of endpoints.
        memory: Reserves memory for long prompts.
        endpoint_client: Sends requests to endpoints.
        may_begin: Returns whether a request may be sent right now, as far as
            the crashes under it go.
        identify: Returns an entry that names the process which is there, as
            far as is known.
    """

    __slots__ = (
        "endpoint_client",
        "identify",
        "may_begin",
        "memory",
        "selector",
    )

    def __init__(
        self,
        *,
        selector: EndpointSelector,
        memory: MemoryReservations,
        endpoint_client: PlatformEndpointClient,
        may_begin: Callable[[DeliveryJob], bool] = lambda job: True,
        identify: Callable[[EndpointEntry], EndpointEntry] = lambda entry: (
            entry
        ),
    ) -> None:
        self.may_begin = may_begin
        self.identify = identify
        self.selector = selector
        self.memory = memory
        self.endpoint_client = endpoint_client

    @contextlib.asynccontextmanager
    async def open(
        self,
        job: DeliveryJob,
        placement: Placement,
        progress: DeliveryProgress,
        on_send: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[ResponseHead | AttemptFailed]:
        """Sends a request and yields the head of its answer, or the failure.

        Args:
            job: The request.
            placement: The endpoints chosen for it.
            progress: State of the request over all attempts.
            on_send: Called right before the first byte is sent.
        """
        self.selector.start(job, placement)
        try:
            async with self.memory.reserve(
                job.request.id, placement
            ) as helpers:
                if isinstance(helpers, MemoryRefusal):
                    job.excluded.update(helpers.endpoints)
                    yield AttemptFailed(
                        reason="memory not granted",
                        may_have_run=False,
                        sent=False,
                    )
                    return
                async with self._send(
                    job, placement, progress, helpers, on_send
                ) as answer:
                    yield answer
        finally:
            self.selector.end(placement)

    @contextlib.asynccontextmanager
    async def _send(
        self,
        job: DeliveryJob,
        placement: Placement,
        progress: DeliveryProgress,
        helpers: list[PrefillHelper],
        on_send: Callable[[], None],
    ) -> AsyncIterator[ResponseHead | AttemptFailed]:
        entry = placement.endpoint.entry
        placement.sent_to = self.identify(entry)
        headers = encode_request_headers(
            job.request,
            endpoint=entry,
            team=job.team,
            time_left_s=job.caller_deadline_at - monotonic_s(),
            helpers=helpers,
            last_event_id=progress.last_event_id,
        )

        crashes = False

        def may_send() -> bool:
            """Returns whether the request may be sent to its endpoints now."""
            nonlocal crashes
            is_usable = self.selector.availability.is_usable
            if not all(map(is_usable, placement.engines())):
                return False
            crashes = not self.may_begin(job)
            if crashes:
                return False
            on_send()
            return True

        may_have_run_before = progress.may_have_run
        progress.may_have_run = True  # reset below if it certainly did not run
        async with self.endpoint_client.send(
            job.request,
            endpoint=entry,
            headers=headers,
            body=job.body,
            may_send=may_send,
        ) as answer:
            if isinstance(answer, ResponseHead):
                yield answer
                return
            failure = self._make_failure(answer)
            if crashes:
                failure.reason = CRASHES_REASON
            if not failure.may_have_run:
                progress.may_have_run = may_have_run_before
            yield failure

    def _make_failure(
        self,
        answer: RequestNotSent
        | RequestNotExecuted
        | BrokenResponse
        | WrongResponse,
    ) -> AttemptFailed:
        match answer:
            case RequestNotSent(reason=reason, connect_failed=connect_failed):
                return AttemptFailed(
                    reason=reason,
                    may_have_run=False,
                    sent=False,
                    failed_to_connect=connect_failed,
                )
            case RequestNotExecuted(status=status, failed_address=address):
                return AttemptFailed(
                    reason=f"not run, {status}",
                    may_have_run=False,
                    failed_endpoint=self.selector.find_by_address(address),
                )
            case BrokenResponse(reason=reason):
                return AttemptFailed(
                    reason=reason, may_have_run=True, connection_broken=True
                )
            case WrongResponse(reason=reason):
                return AttemptFailed(reason=reason, may_have_run=True)


__all__ = ["AttemptOpener"]

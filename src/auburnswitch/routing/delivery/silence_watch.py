"""Watches an endpoint that runs a request for silence."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.logs import log_event
from auburnswitch.routing.availability.endpoint_health import (
    HARD_FAILURE_WEIGHT,
)
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.delivery.retry_permission import RetryPermission
    from auburnswitch.routing.delivery.successor import Successor
    from auburnswitch.routing.delivery.successor_opener import SuccessorOpener
    from auburnswitch.routing.selection.placement import Placement

SUCCESSOR_POLL_INTERVAL_S: Final = 0.1
SILENCE_REASON: Final = "silent endpoint"


class SilenceWatch:
    """Gives up an attempt at a silent endpoint once another one is answered.

    Silence alone is no reason to end an answer: as long as no other attempt may
    follow, no endpoint has the capacity for it, or none accepts it, the answer
    can still come.

    Attributes:
        retries: Reserves the placement of the next attempt.
        successors: Opens the next attempt while this one goes on.
        job: The request.
        placement: The endpoint that runs it.
        successor: The next attempt if this one has been given up, None
            otherwise.
    """

    __slots__ = (
        "_recorded",
        "_search",
        "_timer",
        "_wait",
        "job",
        "placement",
        "retries",
        "successor",
        "successors",
    )

    def __init__(
        self,
        *,
        retries: RetryPermission,
        successors: SuccessorOpener,
        job: DeliveryJob,
        placement: Placement,
    ) -> None:
        self.retries = retries
        self.successors = successors
        self.job = job
        self.placement = placement
        self.successor: Successor | None = None
        self._timer = asyncio.timeout(None)
        self._wait: asyncio.TimerHandle | None = None
        self._search: asyncio.Task[None] | None = None
        self._recorded = False

    @contextlib.asynccontextmanager
    async def open(self, silence_s: float | None) -> AsyncIterator[None]:
        """Ends the context's block early when the attempt is given up.

        Args:
            silence_s: As for `expect_within`.
        """
        given_up = False
        try:
            async with self._timer:
                self.expect_within(silence_s)
                yield
        except TimeoutError:
            given_up = self._timer.expired()
            if not given_up:
                raise
        finally:
            self._stop()
            if not given_up:
                self._drop_successor()

    def expect_within(self, silence_s: float | None) -> None:
        """Sets how long the endpoint may be silent from now on, in seconds.

        None means that it may be silent without limit. An attempt that is about
        to be given up goes on.
        """
        self._stop()
        if not self._timer.expired():
            self._timer.reschedule(None)
            self._drop_successor()
        if silence_s is not None:
            self._wait = asyncio.get_running_loop().call_later(
                silence_s, self._start_search
            )

    def _stop(self) -> None:
        if self._wait is not None:
            self._wait.cancel()
        if self._search is not None:
            self._search.cancel()
            self._search = None

    def _drop_successor(self) -> None:
        if self.successor is not None:
            self.successors.record_unused(self.successor.placement)
            self.retries.searches.start(
                self.successor.close(), "close a successor"
            )
            self.successor = None

    def _start_search(self) -> None:
        self._record_silence()
        self._search = self.retries.searches.start(
            self._find_successor(), "find a successor"
        )

    async def _find_successor(self) -> None:
        while self.successor is None:
            placement = await self.retries.reserve_successor(self.job)
            if placement is None:
                await asyncio.sleep(SUCCESSOR_POLL_INTERVAL_S)
            else:
                self.successor = await self.successors.open(placement)
        self._timer.reschedule(monotonic_s())

    def _record_silence(self) -> None:
        if self._recorded:
            return
        self._recorded = True
        endpoint = self.placement.endpoint.entry.id
        log_event(
            EventId.ENDPOINT_SILENT,
            request=self.job.request.id,
            endpoint=endpoint,
            attempts=self.job.attempts,
        )
        self.job.excluded.add(endpoint)
        self.retries.selector.health.record_failure(
            endpoint, SILENCE_REASON, HARD_FAILURE_WEIGHT
        )


__all__ = ["SILENCE_REASON", "SilenceWatch"]

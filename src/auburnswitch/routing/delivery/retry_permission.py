"""Decides whether a request may be sent to another endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.observe.tasks import TaskSet
from auburnswitch.routing.selection.placement_wait import wait_for_placement

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.routing.crashes.crash_guard import CrashGuard
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.delivery.outcomes import AttemptFailed
    from auburnswitch.routing.delivery.stop_deadline import StopDeadline
    from auburnswitch.routing.delivery.windowed_retry_budget import (
        WindowedRetryBudget,
    )
    from auburnswitch.routing.selection.endpoint_selector import (
        EndpointSelector,
    )
    from auburnswitch.routing.selection.placement import Placement

MIN_RETRY_TIME_LEFT_S: Final = 0.03


class RetryPermission:
    """Grants further attempts of requests.

    Attributes:
        selector: Chooses endpoints.
        budget: Limits the retries.
        crash_guard: Knows the requests that crash endpoints.
        stop: Bounds the requests of a stopping daemon.
        may_retry: Returns whether a retry is expected to end before the stop.
        searches: Running searches for the successors of silent endpoints.
    """

    __slots__ = (
        "budget",
        "crash_guard",
        "may_retry",
        "searches",
        "selector",
        "stop",
    )

    def __init__(
        self,
        *,
        selector: EndpointSelector,
        budget: WindowedRetryBudget,
        crash_guard: CrashGuard,
        stop: StopDeadline,
        may_retry: Callable[[DeliveryJob, Placement], bool],
    ) -> None:
        self.stop = stop
        self.may_retry = may_retry
        self.selector = selector
        self.budget = budget
        self.crash_guard = crash_guard
        self.searches = TaskSet()

    def try_acquire(
        self, job: DeliveryJob, last_failure: AttemptFailed
    ) -> bool:
        """Returns whether an attempt may follow a failed one.

        Takes a retry from the budget if the failed attempt was sent.
        """
        if last_failure.successor is not None:
            return True  # its retry has been acquired
        if last_failure.may_have_run and not job.retryable:
            return False
        if not self._allows_another(job, job.attempts):
            return False
        return not last_failure.sent or self.budget.try_acquire(
            job.service.name
        )

    def release(self, job: DeliveryJob, last_failure: AttemptFailed) -> None:
        """Gives back the retry of an attempt for which there is no endpoint."""
        if last_failure.sent and last_failure.successor is None:
            self.budget.release(job.service.name)

    async def reserve_successor(self, job: DeliveryJob) -> Placement | None:
        """Starts the placement of the attempt that follows the running one.

        Its retry is acquired as well.

        Returns:
            The placement, None if no attempt may follow now or no endpoint has
            the capacity.
        """
        service = job.service.name
        if not self._may_follow(job) or not self.budget.has_retry(service):
            return None
        placement = await wait_for_placement(self.selector, job, self.stop)
        if placement is None or not self._may_follow(job):
            return None
        if not self.may_retry(job, placement):
            return None
        if not self.budget.try_acquire(service):
            return None
        self.selector.start(job, placement)
        return placement

    def release_retry(self, job: DeliveryJob) -> None:
        """Gives back the retry of a successor that was not sent."""
        self.budget.release(job.service.name)

    def _may_follow(self, job: DeliveryJob) -> bool:
        return job.retryable and self._allows_another(job, job.attempts + 1)

    def _allows_another(self, job: DeliveryJob, attempts: int) -> bool:
        """Returns whether an attempt may follow, apart from the retry budget.

        Args:
            job: The request.
            attempts: Number of attempts that count as sent before it.
        """
        if not self.crash_guard.may_retry(job):
            return False
        if attempts >= job.route.max_attempts:
            return False
        return job.time_left_s() >= MIN_RETRY_TIME_LEFT_S


__all__ = ["RetryPermission"]

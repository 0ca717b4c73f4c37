"""Waits for endpoint capacity and lets long prompts yield to others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.routing.selection.placement import MAX_PLACEMENT_WAIT_SHARE

if TYPE_CHECKING:
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.delivery.stop_deadline import StopDeadline
    from auburnswitch.routing.selection.endpoint_selector import (
        EndpointSelector,
    )
    from auburnswitch.routing.selection.placement import Placement

PLACEMENT_POLL_INTERVAL_S: Final = 0.02
# Below this target latency callers disconnect early, so requests never yield.
MIN_YIELD_TARGET_S: Final = 1.0
MAX_YIELD_TARGET_RATIO: Final = 1.3
MAX_YIELD_TIME_SHARE: Final = 0.3  # of the time left to the deadline
# Of the remaining target latency; a request with a later first token doesn't
# yield to the ones it would delay.
YIELD_FIRST_TOKEN_SHARE: Final = 0.8
DEADLINE_SAFETY_FACTOR: Final = 1.25  # of the predicted first-token time


async def wait_for_placement(
    selector: EndpointSelector, job: DeliveryJob, stop: StopDeadline
) -> Placement | None:
    """Waits a limited time for a placement.

    A request that is predicted to miss its target latency anyway yields to
    others for a limited time, so that it does not make them late as well, as
    long as it can still meet its deadline. A request that would delay others
    also yields, as long as it can still meet its target latency. A request
    that even idle endpoints could not serve does not wait, and a request of a
    stopping daemon does not yield.

    Returns:
        The placement, None if there is none within the wait.
    """
    target_s = job.route.target_latency_s
    now = monotonic_s()
    give_up_at = now + target_s * MAX_PLACEMENT_WAIT_SHARE
    yield_until = now + _max_yield_s(job)
    while selector.is_feasible(job):
        placement = selector.select(job)
        now = monotonic_s()
        if placement is not None and (
            placement.first_token_s > job.time_left_s()
        ):
            placement = None  # the first token would miss the deadline
        if placement is None and now >= give_up_at:
            return None
        if placement is not None and (
            stop.stopping
            or now >= yield_until
            or not _should_yield(job, placement)
        ):
            return placement
        await asyncio.sleep(PLACEMENT_POLL_INTERVAL_S)
    return None


def _should_yield(job: DeliveryJob, placement: Placement) -> bool:
    """Returns whether a request can and should yield to other requests."""
    if placement.first_token_s * DEADLINE_SAFETY_FACTOR > job.time_left_s():
        return False
    if placement.late:
        return True
    slack_s = (
        job.target_time_left_s() * YIELD_FIRST_TOKEN_SHARE
        - placement.first_token_s
    )
    return placement.delays_others and slack_s > 0


def _max_yield_s(job: DeliveryJob) -> float:
    """Returns how long a request may yield to others, in seconds."""
    target_s = job.route.target_latency_s
    if target_s < MIN_YIELD_TARGET_S:
        return 0.0
    return min(
        MAX_YIELD_TARGET_RATIO * target_s,
        MAX_YIELD_TIME_SHARE * job.time_left_s(),
    )


__all__ = ["wait_for_placement"]

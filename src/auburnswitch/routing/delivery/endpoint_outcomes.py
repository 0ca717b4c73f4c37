"""Records the outcomes of attempts in the health and load of endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.platform.endpoint_responses import ResponseHead
from auburnswitch.routing.availability.endpoint_health import (
    HARD_FAILURE_WEIGHT,
    SOFT_FAILURE_WEIGHT,
)
from auburnswitch.routing.delivery.outcomes import AttemptFailed, Delivered

if TYPE_CHECKING:
    from auburnswitch.routing.delivery.delivery_job import DeliveryJob
    from auburnswitch.routing.selection.endpoint_selector import (
        EndpointSelector,
    )


def record_outcome(
    selector: EndpointSelector,
    job: DeliveryJob,
    endpoint: str,
    outcome: Delivered | AttemptFailed,
) -> None:
    """Records the outcome of an attempt.

    Args:
        selector: Keeps the health and the load of the endpoints.
        job: The request.
        endpoint: Id of the endpoint that received it.
        outcome: Outcome of the attempt.
    """
    health = selector.health
    match outcome:
        case AttemptFailed(successor=successor) if successor is not None:
            pass  # recorded when the endpoint fell silent
        case AttemptFailed(failed_endpoint=str(other), reason=reason) if (
            other != endpoint
        ):
            job.excluded.add(other)
            health.record_failure(other, reason, HARD_FAILURE_WEIGHT)
        case Delivered():
            health.record_success(endpoint)
        case AttemptFailed(sent=True, may_have_run=False, reason=reason):
            selector.load.by_endpoint[endpoint].record_full()
            health.record_failure(endpoint, reason, SOFT_FAILURE_WEIGHT)
        case AttemptFailed(head=ResponseHead(), reason=reason):
            health.record_failure(endpoint, reason, SOFT_FAILURE_WEIGHT)
        case (
            AttemptFailed(sent=True, reason=reason)
            | AttemptFailed(failed_to_connect=True, reason=reason)
        ):
            health.record_failure(endpoint, reason, HARD_FAILURE_WEIGHT)


__all__ = ["record_outcome"]

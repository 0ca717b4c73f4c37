"""Builds what sends to endpoints and knows which processes are there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.platform.endpoint_client import PlatformEndpointClient
from auburnswitch.routing.availability.process_prober import ProcessProber
from auburnswitch.routing.availability.process_tracker import ProcessTracker

if TYPE_CHECKING:
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.routing.availability.endpoint_availability import (
        EndpointAvailability,
    )


def build_endpoint_client(
    *, availability: EndpointAvailability, tasks: TaskSet
) -> tuple[PlatformEndpointClient, ProcessTracker]:
    """Returns the client, which reports what endpoints state of themselves.

    Args:
        availability: Marks endpoints, which are probed by the client.
        tasks: The running probes.
    """
    processes = ProcessTracker()
    client = PlatformEndpointClient(
        on_notice=availability.record_notice, on_process=processes.record
    )
    prober = ProcessProber(
        availability=availability, endpoint_client=client, tasks=tasks
    )
    availability.on_probe_needed = prober.probe
    availability.installation.process_listeners.append(
        availability.record_listing
    )
    return client, processes


__all__ = ["build_endpoint_client"]

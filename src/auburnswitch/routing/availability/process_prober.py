"""Probes which process is at an endpoint whose mark leaves it open."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.routing.availability.endpoint_availability import (
        EndpointAvailability,
    )

MAX_CONCURRENT_PROBES: Final = 24


class ProcessProber:
    """Probes endpoints for the process that is there, one at a time.

    Attributes:
        availability: The marks of endpoints.
        endpoint_client: Sends calls to endpoints.
        tasks: The running probes.
    """

    __slots__ = ("_in_progress", "availability", "endpoint_client", "tasks")

    def __init__(
        self,
        *,
        availability: EndpointAvailability,
        endpoint_client: PlatformEndpointClient,
        tasks: TaskSet,
    ) -> None:
        self.availability = availability
        self.endpoint_client = endpoint_client
        self.tasks = tasks
        self._in_progress: set[str] = set()

    def probe(self, endpoint: str) -> None:
        """Starts to probe an endpoint unless a probe is in progress.

        What can't be probed now is probed after a later sweep of the marks.
        """
        if endpoint in self._in_progress:
            return
        if len(self._in_progress) >= MAX_CONCURRENT_PROBES:
            return
        self._in_progress.add(endpoint)
        task = self.tasks.start(self._probe(endpoint), "probe an endpoint")
        task.add_done_callback(lambda _: self._in_progress.discard(endpoint))

    async def _probe(self, endpoint: str) -> None:
        probe = self.availability.take_probe(endpoint)
        table = self.availability.installation.table
        if probe is None or table is None:
            return
        service = table.service(probe.entry.service_name)
        if service is None:
            return  # nothing is sent to its endpoints
        answer = await self.endpoint_client.probe_process(probe.entry, service)
        if answer is not None:
            self.availability.record_answer(probe, answer)


__all__ = ["MAX_CONCURRENT_PROBES", "ProcessProber"]

"""Finds out whether an endpoint whose connection broke has crashed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from auburnswitch.platform.endpoint_client import ProcessState

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.schema.installation import EndpointEntry

ProcessId = tuple[str, int]  # endpoint and start of its process


class CrashChecker:
    """Asks an endpoint once for all requests that broke at the same time.

    Attributes:
        endpoint_client: Sends calls to endpoints.
        may_ask: Returns whether an endpoint may be asked now.
        tasks: The running checks.
    """

    __slots__ = ("_checks", "endpoint_client", "may_ask", "tasks")

    def __init__(
        self,
        *,
        endpoint_client: PlatformEndpointClient,
        may_ask: Callable[[EndpointEntry], bool],
        tasks: TaskSet,
    ) -> None:
        self.may_ask = may_ask
        self.endpoint_client = endpoint_client
        self.tasks = tasks
        self._checks: dict[ProcessId, asyncio.Task[ProcessState]] = {}

    async def check(self, endpoint: EndpointEntry) -> ProcessState:
        """Returns what is known about the process of an endpoint."""
        if not self.may_ask(endpoint):
            return ProcessState.UNKNOWN
        process = endpoint.id, endpoint.boot_ms
        check = self._checks.get(process)
        if check is None:
            check = self.tasks.start(
                self.endpoint_client.check_process(endpoint), "check a crash"
            )
            self._checks[process] = check
            check.add_done_callback(lambda _: self._checks.pop(process))
        return await asyncio.shield(check)


__all__ = ["CrashChecker"]

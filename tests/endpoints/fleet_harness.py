"""Runs a fleet under load and records the load of its cold engines."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import aiohttp

from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    Fleet,
    FleetOptions,
    open_fleet,
)
from auburnswitch.standins.history import HistoryKind
from tests.virtual_time import SimulatedConnector

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.members.peer_link import PeerLink
    from auburnswitch.standins.engine import EngineStandIn

AUTHORIZATION = {"Authorization": f"Bearer {CALLER_KEY}"}
BYTES_PER_TOKEN = 4


class ColdLoadRecorder:
    """Records the maximum load of an engine while it is cold.

    Attributes:
        running: Maximum number of concurrent requests.
        tokens: Maximum total of their prompt tokens.
    """

    def __init__(self, engine: EngineStandIn) -> None:
        self.engine = engine
        self.running = 0
        self.tokens = 0
        engine.batch.observer = RecordingEngineProxy(engine, self)

    def record(self) -> None:
        """Records the load if the engine is cold."""
        if not self.engine.cold:
            return
        jobs = self.engine.batch.jobs()
        self.running = max(self.running, len(jobs))
        tokens = sum(j.prompt_tokens for j in jobs)
        self.tokens = max(self.tokens, tokens)


class RecordingEngineProxy:
    """Forwards a batch's calls to its engine; records each load change."""

    def __init__(
        self, engine: EngineStandIn, recorder: ColdLoadRecorder
    ) -> None:
        self.engine = engine
        self.recorder = recorder

    def __getattr__(self, name: str) -> Any:
        if name == "on_load_changed":
            self.recorder.record()
        return getattr(self.engine, name)


class FleetHarness:
    """A fleet with simulated callers.

    Attributes:
        fleet: The fleet.
        load_recorders: Recorder of the cold load by engine name.
        statuses: HTTP status of each finished request, 0 if the connection
            failed.
        sent: Requests sent so far.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.load_recorders = {
            n: ColdLoadRecorder(e) for n, e in fleet.engines.items()
        }
        self.statuses: list[int] = []
        self.sent = 0
        self.tasks: set[asyncio.Task[Any]] = set()

    def send(
        self, instance: str, *, tokens: int = 1000, answer: int = 16
    ) -> asyncio.Task[Any]:
        """Starts a request through one daemon."""
        url = self.fleet.caller_url(instance) + "/v1/completions"
        task = asyncio.create_task(self._send(url, tokens, answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def load(
        self, seconds: float, per_second: float, **options: Any
    ) -> None:
        """Sends requests at a constant rate, round-robin over all daemons."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        number = 0
        while loop.time() < end_at:
            instances = sorted(self.fleet.daemons)
            self.send(instances[number % len(instances)], **options)
            number += 1
            await asyncio.sleep(1 / per_second)

    async def finish(self) -> None:
        """Waits for all requests."""
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def owner_of(self, endpoint: str) -> str:
        """Returns the instance whose daemon owns an endpoint."""
        for instance, daemon in self.fleet.daemons.items():
            if daemon.endpoint_manager.owns(endpoint):
                return instance
        raise LookupError(endpoint)

    def phase(self, endpoint: str) -> str:
        """Returns the phase that the endpoint's owner reports."""
        daemon = self.fleet.daemons[self.owner_of(endpoint)]
        return daemon.endpoint_manager.latest_hint(endpoint).phase.name

    async def wait_phase(self, endpoint: str, *names: str) -> None:
        """Waits until the owner reports one of the named phases."""
        async with asyncio.timeout(120):
            while self.phase(endpoint) not in names:
                await asyncio.sleep(0.05)

    async def warm_up(self) -> None:
        """Sends requests until every engine is warm."""
        async with asyncio.timeout(300):
            while any(self.phase(n) != "WARM" for n in self.fleet.engines):
                await self.load(1, 8)
            await self.finish()

    def partition(self, instance: str) -> None:
        """Partitions a daemon from its peers only."""
        for link in self._links_of(instance):
            link.dial = _refuse
            if link.connection is not None:
                link.connection.writer.transport.abort()

    def heal(self, instance: str) -> None:
        """Ends the partition of a daemon."""
        for link in self._links_of(instance):
            link.dial = asyncio.open_connection

    def _links_of(self, instance: str) -> list[PeerLink]:
        isolated = self.fleet.daemons[instance]
        own = list(isolated.membership.links.values())
        return own + [
            daemon.membership.links[isolated.member.id]
            for daemon in self.fleet.daemons.values()
            if isolated.member.id in daemon.membership.links
        ]

    def crashed_engines(self) -> list[str]:
        """Returns the engines that crashed from load while cold."""
        return [
            record.actor
            for record in self.fleet.history.select(HistoryKind.CRASHED)
            if record.fields["cause"] == "cold overload"
        ]

    def _prompt(self, tokens: int) -> str:
        """Returns a unique prompt, so that no crash strike applies to it."""
        self.sent += 1
        return f"{self.sent:08}" + "word" * (tokens - 2)

    async def _send(self, url: str, tokens: int, answer: int) -> None:
        body = {
            "model": MODEL,
            "prompt": self._prompt(tokens),
            "max_tokens": answer,
            "stream": False,
        }
        try:
            async with self.fleet.session.post(
                url, json=body, headers=AUTHORIZATION
            ) as response:
                await response.read()
                self.statuses.append(response.status)
        except (OSError, aiohttp.ClientError):
            self.statuses.append(0)


async def _refuse(*_: Any, **__: Any) -> Any:
    raise ConnectionRefusedError("partitioned")


@contextlib.asynccontextmanager
async def open_harness(**options: Any) -> AsyncIterator[FleetHarness]:
    """Opens a fleet in virtual time; requires a `FreezableLoop`."""
    options.setdefault("plain_services", 0)
    fleet_options = FleetOptions(connector=SimulatedConnector, **options)
    async with open_fleet(fleet_options) as fleet:
        harness = FleetHarness(fleet)
        yield harness
        for instance, daemon in fleet.daemons.items():
            violations = daemon.invariants.violations
            assert not violations, f"{instance}: {violations}"


def number_of(instance: str) -> int:
    """Returns the number of a daemon from its instance's name."""
    return int(instance.rpartition("-")[2])


__all__ = ["FleetHarness", "number_of", "open_harness"]

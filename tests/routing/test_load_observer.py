"""Observers of engines in a large fleet."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.configuration.installation import Installation
from auburnswitch.platform.endpoint_client import LoadReport
from auburnswitch.routing.fleet_load import FleetLoad
from auburnswitch.routing.load_observer import (
    MAX_CONCURRENT_REPORTS,
    LoadObserver,
)
from auburnswitch.schema.installation import (
    EndpointEntry,
    EndpointList,
    EngineModel,
    InstallationConfig,
    Service,
)
from tests.virtual_time import run_virtual

ENGINES = 1000
DAEMONS = 100


class CountedCalls:
    """Answers for all engines and counts the calls that run at one time."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.running = self.most = 0

    async def report(self, endpoint):
        self.asked.append(endpoint.id)
        self.running += 1
        self.most = max(self.most, self.running)
        await asyncio.sleep(0.002)
        self.running -= 1
        return LoadReport(requests=0, memory_tokens=0, slowdown=1.0)


def installation() -> Installation:
    known = Installation()
    service = Service(name="engines", engine=EngineModel(slots=6))
    known.adopt_config(InstallationConfig(version=1, services=[service]), "t")
    entries = [
        EndpointEntry(id=f"engine-{n}", service_name="engines", ready=True)
        for n in range(ENGINES)
    ]
    known.adopt_endpoints(EndpointList(revision=1, endpoints=entries), "t")
    return known


class ObserverTest(unittest.TestCase):
    def observe(self, name, peers, seconds) -> CountedCalls:
        async def run():
            calls = CountedCalls()
            observer = LoadObserver(
                installation=installation(),
                load=FleetLoad(),
                calls=calls,
                instance=name,
                live_instances=lambda: peers,
                publish=lambda reports: None,
            )
            running = asyncio.create_task(observer.run())
            await asyncio.sleep(seconds)
            running.cancel()
            return calls

        return run_virtual(run)

    def test_daemon_that_believes_to_be_alone_asks_few_at_a_time(self):
        calls = self.observe("entry-0", [], 10)
        self.assertLessEqual(calls.most, MAX_CONCURRENT_REPORTS)

    def test_each_engine_has_one_observer(self):
        names = [f"entry-{n}" for n in range(DAEMONS)]
        asked = []
        for name in names[:20]:
            others = [other for other in names if other != name]
            asked.append(set(self.observe(name, others, 3).asked))
        self.assertEqual(len(set().union(*asked)), sum(map(len, asked)))
        self.assertLess(max(map(len, asked)), 60)


if __name__ == "__main__":
    unittest.main()

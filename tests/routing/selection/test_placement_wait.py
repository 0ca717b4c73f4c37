"""Tests of requests that wait for capacity and of infeasible requests."""

from __future__ import annotations

import asyncio
import random
import unittest

from auburnswitch.clock import monotonic_s
from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint
from auburnswitch.members.cells import Cells
from auburnswitch.observe.statistics import EntryStatistics
from auburnswitch.platform.requests import decode_request
from auburnswitch.routing.availability.endpoint_availability import (
    EndpointAvailability,
)
from auburnswitch.routing.availability.endpoint_health import EndpointHealth
from auburnswitch.routing.delivery.delivery_job import DeliveryJob
from auburnswitch.routing.delivery.stop_deadline import StopDeadline
from auburnswitch.routing.selection.endpoint_selector import EndpointSelector
from auburnswitch.routing.selection.fleet_load import FleetLoad
from auburnswitch.routing.selection.placement_wait import (
    PLACEMENT_POLL_INTERVAL_S,
    wait_for_placement,
)
from auburnswitch.schema.gossip import EngineReport
from auburnswitch.schema.installation import EndpointEntry, Route, Service
from tests.routing.availability.marked_fleet import LEAVING, defer
from tests.routing.selection.test_prefill_planner import MODEL
from tests.virtual_time import run_virtual

TARGET_S = 4.0


class OpenEndpoints:
    """An installation with one service whose endpoints are all open."""

    def __init__(self, count: int) -> None:
        self.endpoints_revision = 1
        self.endpoint_list = [
            TrackedEndpoint(
                entry=EndpointEntry(
                    id=f"engine-{n}", service_name="engines", slots=8
                )
            )
            for n in range(count)
        ]
        self.endpoints = {
            endpoint.entry.id: endpoint for endpoint in self.endpoint_list
        }

    def endpoints_of(self, service):
        return self.endpoint_list

    def is_open(self, endpoint):
        return True


class UnlimitedRate:
    """A rate limiter that allows all requests."""

    def allows(self, service, endpoint):
        return True

    def record_send(self, endpoint):
        pass


def make_selector(engines: int, instance: str = "a") -> EndpointSelector:
    installation = OpenEndpoints(engines)
    return EndpointSelector(
        instance=instance,
        zone="z",
        installation=installation,
        availability=EndpointAvailability(
            installation=installation, statistics=EntryStatistics()
        ),
        cells=Cells(
            installation=installation, instance=instance, list_instances=list
        ),
        load=FleetLoad(),
        health=EndpointHealth(),
        rates=UnlimitedRate(),
        on_change=lambda items, ended: None,
        group=lambda: "",
        rng=random.Random(5),
    )


def make_job(tokens: int) -> DeliveryJob:
    request = decode_request(
        method="POST", raw_path=b"/a", query=b"", headers=[]
    )
    request.prompt_tokens = tokens
    now = monotonic_s()
    return DeliveryJob(
        request=request,
        body=b"",
        route=Route(target_latency_s=TARGET_S, target_gap_s=1.0),
        service=Service(name="engines", engine=MODEL),
        team="",
        arrived_at=now,
        deadline_at=now + 15,
        caller_deadline_at=now + 15,
    )


class ConcurrentPlacementTest(unittest.TestCase):
    """Daemons of a group place prompts before they exchange their work."""

    def decode_engines(self, tokens: int) -> set[str]:
        async def run():
            decode_engines = set()
            for number in range(12):
                selector = make_selector(20, f"entry-{number}")
                placement = selector.select(make_job(tokens))
                decode_engines.add(placement.endpoint.entry.id)
            return decode_engines

        return run_virtual(run)

    def test_long_prompts_go_to_different_engines(self):
        self.assertGreater(len(self.decode_engines(250_000)), 6)

    def test_short_prompts_are_packed(self):
        self.assertEqual(len(self.decode_engines(5_000)), 1)


class WaitTest(unittest.TestCase):
    def wait(
        self,
        engines,
        tokens,
        *,
        excluded=(),
        full=False,
        time_left_s=15,
        stopping=False,
    ):
        """Returns the placement or None, and the time waited in seconds."""

        async def run():
            selector = make_selector(engines)
            if full:
                for endpoint in selector.installation.endpoint_list:
                    report = EngineReport(unknown_tokens=MODEL.memory_tokens)
                    selector.load.by_endpoint[endpoint.entry.id].apply_report(
                        report
                    )
            job = make_job(tokens)
            job.excluded.update(excluded)
            job.deadline_at = monotonic_s() + time_left_s
            stop = StopDeadline()
            if stopping:
                stop.begin(grace_s=8.0)
            started_at = monotonic_s()
            placement = await wait_for_placement(selector, job, stop)
            return placement, monotonic_s() - started_at

        return run_virtual(run)

    def test_prompt_larger_than_one_engine_uses_several(self):
        placement, _ = self.wait(3, 600_000)
        self.assertEqual(len(placement.holders()), 1)

    def test_late_prompt_yields_only_while_it_can_still_be_answered(self):
        placement, took_s = self.wait(3, 600_000)
        self.assertTrue(placement.late)
        self.assertLess(took_s + placement.first_token_s, 15)

    # A stopping daemon let requests wait that could not be in time anyway.
    def test_late_prompt_of_a_stopping_daemon_does_not_yield(self):
        _, waited_s = self.wait(3, 600_000, time_left_s=60)
        placement, took_s = self.wait(3, 600_000, time_left_s=60, stopping=True)
        self.assertTrue(placement.late)
        self.assertLess(took_s, waited_s)
        self.assertLess(took_s, PLACEMENT_POLL_INTERVAL_S)

    def test_prompt_larger_than_all_engines_is_refused_immediately(self):
        for engines, tokens in ((2, 700_000), (60, 2_000_000), (0, 100)):
            placement, took_s = self.wait(engines, tokens)
            self.assertIsNone(placement)
            self.assertEqual(took_s, 0)

    def test_prompt_with_too_long_prefill_is_refused_immediately(self):
        placement, took_s = self.wait(13, 300_000, time_left_s=0.5)
        self.assertIsNone(placement)
        self.assertEqual(took_s, 0)
        placement, _ = self.wait(13, 300_000, time_left_s=3)
        self.assertIsNotNone(placement)

    def test_excluded_endpoints_do_not_count_as_usable(self):
        placement, took_s = self.wait(2, 600_000, excluded={"engine-0"})
        self.assertIsNone(placement)
        self.assertEqual(took_s, 0)

    def test_wait_for_full_engines_is_short(self):
        placement, took_s = self.wait(2, 1_000, full=True)
        self.assertIsNone(placement)
        self.assertGreater(took_s, 0)
        self.assertLess(took_s, TARGET_S / 8)


class AvailabilityTest(unittest.TestCase):
    """Requests that wait while endpoints defer requests or leave."""

    def wait(self, *, notes, engines=2):
        """Returns the placement or None, and the time waited in seconds.

        Args:
            notes: Delays in seconds, endpoint ids and their notices.
            engines: Number of engines.
        """

        async def run():
            selector = make_selector(engines)
            for delay_s, endpoint, notice in notes:
                asyncio.get_running_loop().call_later(
                    delay_s,
                    selector.availability.record_notice,
                    selector.installation.endpoints[endpoint].entry,
                    notice,
                )
            await asyncio.sleep(0.001)
            started_at = monotonic_s()
            placement = await wait_for_placement(
                selector, make_job(1_000), StopDeadline()
            )
            return placement, monotonic_s() - started_at

        return run_virtual(run)

    def test_short_deferral_is_waited_for(self):
        placement, took_s = self.wait(
            notes=[(0, "engine-0", defer(0.2)), (0, "engine-1", defer(9))]
        )
        self.assertEqual(placement.endpoint.entry.id, "engine-0")
        self.assertAlmostEqual(took_s, 0.2, delta=0.03)

    def test_long_deferral_is_refused_at_once(self):
        placement, took_s = self.wait(
            notes=[(0, "engine-0", defer(9)), (0, "engine-1", defer(9))]
        )
        self.assertIsNone(placement)
        self.assertEqual(took_s, 0)

    def test_endpoint_that_leaves_during_the_wait_is_not_chosen(self):
        placement, took_s = self.wait(
            notes=[
                (0, "engine-0", defer(0.3)),
                (0, "engine-1", defer(0.2)),
                (0.1, "engine-1", LEAVING),
            ]
        )
        self.assertEqual(placement.endpoint.entry.id, "engine-0")
        self.assertAlmostEqual(took_s, 0.3, delta=0.03)

    def test_request_is_refused_when_the_last_endpoint_leaves(self):
        placement, took_s = self.wait(
            engines=1,
            notes=[(0, "engine-0", defer(0.3)), (0.1, "engine-0", LEAVING)],
        )
        self.assertIsNone(placement)
        self.assertAlmostEqual(took_s, 0.1, delta=0.03)


if __name__ == "__main__":
    unittest.main()

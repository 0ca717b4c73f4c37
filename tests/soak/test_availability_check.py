"""Tests that the soak detects requests to endpoints that want none."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.soak.availability_check import find_availability_problems
from auburnswitch.soak.daemon_process import ProcessRun
from auburnswitch.soak.fault_proxy import FaultProxy
from auburnswitch.soak.fleet import SoakFleet
from auburnswitch.soak.workload_generator import RequestRecord
from auburnswitch.standins.endpoint import EndpointStandIn
from auburnswitch.standins.received_request import (
    FIRST_BOOT_MS,
    ReceivedRequest,
    deferral_s,
)


class AvailabilityCheckTest(unittest.TestCase):
    def setUp(self):
        asyncio.run(self.make_fleet())
        self.records: list[RequestRecord] = []
        self.run_of_daemon = ProcessRun(daemon="entry-0")
        self.run_of_another = ProcessRun(daemon="entry-1")

    async def make_fleet(self):
        self.fleet = SoakFleet()
        self.endpoint = EndpointStandIn(endpoint_id="desk-1")
        self.fleet.endpoints["desk-1"] = self.endpoint
        self.proxy = FaultProxy(target=("127.0.0.1", 1))
        self.fleet.endpoint_proxies["desk-1"] = self.proxy

    def add_request(
        self,
        time_s: float,
        *,
        run: ProcessRun | None = None,
        leaving: bool = False,
        boot_ms: int = FIRST_BOOT_MS,
        deferral_s: float = 0.0,
    ) -> RequestRecord:
        """Adds a request that is sent, received and answered at a time."""
        record = RequestRecord(
            id=f"r{len(self.records)}",
            path="/read/1",
            key="key-1",
            sent_at=time_s,
            run=run or self.run_of_daemon,
            answered_at=time_s,
            leaving=leaving,
        )
        self.records.append(record)
        received = ReceivedRequest(
            headers={"x-attempt-id": record.id},
            target="/read/1",
            body=b"",
            ran=not deferral_s,
            received_at=time_s,
            boot_ms=boot_ms,
            leaving=leaving,
            deferral_s=deferral_s,
        )
        self.endpoint.received_requests.append(received)
        return record

    def count_problems(self) -> int:
        return len(find_availability_problems(self.records, self.fleet))


class LeavingRuleTest(AvailabilityCheckTest):
    def test_request_after_the_notice_was_passed_on(self):
        self.add_request(10.0, leaving=True)
        self.add_request(10.05)  # within the slack
        self.assertEqual(self.count_problems(), 0)
        self.add_request(10.2)
        self.assertEqual(self.count_problems(), 1)

    def test_other_daemons_and_processes_are_not_bound(self):
        self.add_request(10.0, leaving=True)
        self.add_request(11.0, run=self.run_of_another)
        self.add_request(12.0, boot_ms=FIRST_BOOT_MS + 1)
        self.assertEqual(self.count_problems(), 0)

    def test_notice_that_was_not_passed_on_does_not_bind(self):
        self.add_request(10.0, leaving=True).leaving = False
        self.add_request(11.0)
        self.assertEqual(self.count_problems(), 0)

    def test_pause_excuses_only_later_requests(self):
        self.add_request(10.0, leaving=True)
        self.run_of_daemon.paused_at.append(11.0)
        self.add_request(12.0)
        self.assertEqual(self.count_problems(), 0)
        self.add_request(10.5)
        self.assertEqual(self.count_problems(), 1)


class DeferralRuleTest(AvailabilityCheckTest):
    def test_requests_in_the_time_that_the_endpoint_asked_for(self):
        self.add_request(10.0, deferral_s=2.0)
        for time_s in (10.2, 10.4, 10.49, 12.1, 12.2, 12.3):
            self.add_request(time_s)  # before and after that time
        self.add_request(10.6)
        self.add_request(11.9)
        self.assertEqual(self.count_problems(), 0)
        self.add_request(11.0)
        self.assertEqual(self.count_problems(), 1)

    def test_other_daemons_and_processes_are_not_bound(self):
        self.add_request(10.0, deferral_s=2.0)
        for number in range(9):
            self.add_request(11.0, run=self.run_of_another)
            self.add_request(11.0, boot_ms=FIRST_BOOT_MS + 1 + number)
        self.assertEqual(self.count_problems(), 0)

    def test_pause_and_disturbed_connections_excuse(self):
        self.add_request(10.0, deferral_s=2.0)
        for _ in range(3):
            self.add_request(11.0)
        self.assertEqual(self.count_problems(), 1)
        self.proxy.mode_changed_at.append(9.0)
        self.assertEqual(self.count_problems(), 0)
        self.proxy.mode_changed_at.clear()
        self.run_of_daemon.paused_at.append(10.5)
        self.assertEqual(self.count_problems(), 0)

    def test_meaning_of_the_header(self):
        for value, expected_s in (
            ("", 0),
            ("2.5", 2.5),
            ("-2", 0),
            ("soon", 0),
            ("inf", 0),
            ("Fri, 04 Dec 2015 12:00:00 GMT", 0),
        ):
            with self.subTest(value):
                self.assertEqual(deferral_s(value), expected_s)


if __name__ == "__main__":
    unittest.main()

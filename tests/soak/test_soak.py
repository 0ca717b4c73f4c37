"""Runs short soak tests, and checks that violations are detected."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from auburnswitch.soak.fleet import STREAM_EVENTS, FleetOptions, SoakFleet
from auburnswitch.soak.run import check_history, run_soak
from auburnswitch.soak.workload_generator import (
    RequestRecord,
    find_response_problem,
)
from auburnswitch.standins.endpoint import EndpointStandIn, ReceivedRequest

SEED = 1
FAULT_SECONDS = 5
REGRESSION_FAULT_SECONDS = 8
REGRESSION_SEEDS = {
    108: "a daemon's port for peers was free for UDP but in use for TCP",
    117: "the endpoint stand-in never released a killed daemon's reservation",
}


def make_record(path: str, status: int, body: bytes = b"x") -> RequestRecord:
    return RequestRecord(
        id="r1",
        path=path,
        key="key-1",
        sent_at=0.0,
        status=status,
        body=body,
        signed=True,
    )


def make_fleet(options: FleetOptions | None = None) -> SoakFleet:
    async def make() -> SoakFleet:
        return SoakFleet(options)

    return asyncio.run(make())


def make_stream_body(*ids: int) -> bytes:
    return b"".join(f"id: {n}\ndata: x\n\n".encode() for n in ids)


class HistoryCheckTest(unittest.TestCase):
    def setUp(self):
        self.fleet = make_fleet()
        self.endpoint = EndpointStandIn(endpoint_id="desk-1")
        self.fleet.endpoints["desk-1"] = self.endpoint

    def receive_requests(self, times: int, *, ran: bool = True):
        for _ in range(times):
            self.endpoint.received_requests.append(
                ReceivedRequest(
                    headers={"x-attempt-id": "r1"},
                    target="/book/1",
                    body=b"",
                    ran=ran,
                )
            )

    def test_detects_second_run_of_non_idempotent_request(self):
        self.receive_requests(2)
        self.assertTrue(check_history([make_record("/book/1", 0)], self.fleet))
        self.assertFalse(check_history([make_record("/read/1", 0)], self.fleet))

    def test_detects_run_of_refused_request(self):
        self.receive_requests(1)
        self.assertTrue(
            check_history([make_record("/book/1", 503)], self.fleet)
        )
        self.assertFalse(
            check_history([make_record("/book/1", 502)], self.fleet)
        )

    def test_accepts_refusal_by_endpoint(self):
        self.receive_requests(2, ran=False)
        self.assertFalse(
            check_history([make_record("/book/1", 503)], self.fleet)
        )

    def test_detects_run_of_unknown_request(self):
        self.receive_requests(1)
        self.assertTrue(check_history([], self.fleet))

    def test_detects_unreleased_reservation(self):
        self.endpoint.reservations["key"] = 5
        self.assertTrue(check_history([], self.fleet))

    def test_detects_wrong_responses(self):
        all_ids = range(1, STREAM_EVENTS + 1)
        valid = make_record("/chat/1", 200, make_stream_body(*all_ids))
        self.assertEqual(find_response_problem(valid), "")
        for ids in ([1, 2], [*all_ids][:-1], [1, *all_ids], [*all_ids][1:]):
            self.assertTrue(
                find_response_problem(
                    make_record("/chat/1", 200, make_stream_body(*ids))
                )
            )
        wrong_body = make_record("/read/1", 200, b"answer of r2")
        self.assertTrue(find_response_problem(wrong_body))
        valid.signed = False
        self.assertTrue(find_response_problem(valid))


class SoakTest(unittest.TestCase):
    def test_short_soak(self):
        self.run_seed(SEED, FAULT_SECONDS)

    def test_regression_seeds(self):
        for seed, cause in REGRESSION_SEEDS.items():
            with self.subTest(seed=seed, cause=cause):
                self.run_seed(seed, REGRESSION_FAULT_SECONDS)

    def run_seed(self, seed: int, seconds: float):
        with tempfile.TemporaryDirectory() as folder:
            problems = asyncio.run(run_soak(seed, seconds, Path(folder)))
        self.assertEqual(problems, [])


if __name__ == "__main__":
    unittest.main()

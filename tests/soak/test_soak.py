"""A short soak, and what its checks find in broken histories."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from auburnswitch.soak.fleet import STREAM_EVENTS, SoakFleet
from auburnswitch.soak.run import check_history, run_soak
from auburnswitch.soak.workload_generator import (
    RequestRecord,
    find_response_problem,
)
from auburnswitch.standins.endpoint import EndpointStandIn, ReceivedRequest

SEED = 1
SECONDS = 5
FAILED_SECONDS = 8
FAILED_SEEDS = {
    108: "a daemon's port for peers was free for UDP and in use for TCP",
    117: "the endpoint's stand-in kept a killed daemon's reservation for ever",
}


def outcome(path: str, status: int, body: bytes = b"x") -> RequestRecord:
    return RequestRecord(
        id="r1",
        path=path,
        key="key-1",
        sent_at=0.0,
        status=status,
        body=body,
        signed=True,
    )


def events(*ids: int) -> bytes:
    return b"".join(f"id: {n}\ndata: x\n\n".encode() for n in ids)


class CheckTest(unittest.TestCase):
    def setUp(self):
        async def make():
            return SoakFleet()

        self.fleet = asyncio.run(make())
        self.runner = EndpointStandIn(endpoint_id="desk-1")
        self.fleet.runners["desk-1"] = self.runner

    def arrive(self, times: int, *, ran: bool = True):
        for _ in range(times):
            self.runner.received_requests.append(
                ReceivedRequest(
                    headers={"x-attempt-id": "r1"},
                    target="/book/1",
                    body=b"",
                    ran=ran,
                )
            )

    def test_ran_twice(self):
        self.arrive(2)
        self.assertTrue(check_history([outcome("/book/1", 0)], self.fleet))
        self.assertFalse(check_history([outcome("/read/1", 0)], self.fleet))

    def test_refused_though_it_ran(self):
        self.arrive(1)
        self.assertTrue(check_history([outcome("/book/1", 503)], self.fleet))
        self.assertFalse(check_history([outcome("/book/1", 502)], self.fleet))

    def test_refused_by_the_endpoint(self):
        self.arrive(2, ran=False)
        self.assertFalse(check_history([outcome("/book/1", 503)], self.fleet))

    def test_nobody_sent_it(self):
        self.arrive(1)
        self.assertTrue(check_history([], self.fleet))

    def test_memory_left(self):
        self.runner.reservations["key"] = 5
        self.assertTrue(check_history([], self.fleet))

    def test_answers(self):
        whole = range(1, STREAM_EVENTS + 1)
        right = outcome("/chat/1", 200, events(*whole))
        self.assertEqual(find_response_problem(right), "")
        for ids in ([1, 2], [*whole][:-1], [1, *whole], [*whole][1:]):
            self.assertTrue(
                find_response_problem(outcome("/chat/1", 200, events(*ids)))
            )
        other = outcome("/read/1", 200, b"answer of r2")
        self.assertTrue(find_response_problem(other))
        right.signed = False
        self.assertTrue(find_response_problem(right))


class SoakTest(unittest.TestCase):
    def test_short_soak(self):
        self.run_seed(SEED, SECONDS)

    def test_seeds_that_once_failed(self):
        for seed, cause in FAILED_SEEDS.items():
            with self.subTest(seed=seed, cause=cause):
                self.run_seed(seed, FAILED_SECONDS)

    def run_seed(self, seed: int, seconds: float):
        with tempfile.TemporaryDirectory() as folder:
            problems = asyncio.run(run_soak(seed, seconds, Path(folder)))
        self.assertEqual(problems, [])


if __name__ == "__main__":
    unittest.main()

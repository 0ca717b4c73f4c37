"""Tests of requests to plain services."""

from __future__ import annotations

import unittest

from auburnswitch.platform.store import ABSENT
from auburnswitch.schema.results import Ran, ResultCode
from tests.routing.plain_support import open_bench
from tests.virtual_time import run_virtual


class SendOnceTest(unittest.TestCase):
    def test_broken_connection_does_not_send_again(self):
        async def scenario():
            async with open_bench() as bench:
                outcomes = []
                for method in ("POST", "PUT", "DELETE"):
                    bench.service.drop_next = 1
                    outcomes.append(
                        await bench.run(bench.routers[0], "", method=method)
                    )
                return bench.service.runs, outcomes

        runs, outcomes = run_virtual(scenario)
        self.assertEqual(runs, ["POST /book", "PUT /book", "DELETE /book"])
        for outcome in outcomes:
            self.assertIs(outcome.code, ResultCode.ENDPOINT_FAILED)
            self.assertIs(outcome.ran, Ran.UNKNOWN)

    def test_store_write_is_sent_once(self):
        async def scenario():
            async with open_bench() as bench:
                bench.platform.lose_answers = 1
                store = bench.routers[0].claims.store
                put = await store.put("a", 1, expected_version=ABSENT)
                return put.error, bench.platform.calls["put"]

        error, puts = run_virtual(scenario)
        self.assertTrue(error.outcome_unknown)
        self.assertEqual(puts, 1)

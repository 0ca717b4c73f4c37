"""Tests of the prefill model of an endpoint and its admission limits."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.endpoints.admission import has_capacity, predicted_wait_s
from auburnswitch.endpoints.backlog import CHUNK_DELAY_S, MIN_REMAINING_S
from auburnswitch.endpoints.ledger import EndpointLedger
from auburnswitch.schema.objects import Endpoint
from auburnswitch.schema.peers import LengthClass, ReserveRequest
from auburnswitch.schema.settings import RoutingSettings
from tests.virtual_time import run_virtual

SHORT, LONG = LengthClass.SHORT, LengthClass.LONG


def request(tokens, length):
    return ReserveRequest(prompt_tokens=tokens, length_class=length)


def make_ledger():
    spec = Endpoint(memory_tokens=500_000, prefill_tokens_per_second=20_000)
    return EndpointLedger(name="e", spec=spec)


class PredictedWaitTest(unittest.TestCase):
    def test_short_requests_wait_only_for_short_ones(self):
        async def scenario():
            ledger = make_ledger()
            ledger.grant(request(200_000, LONG), "m", "1")
            ledger.grant(request(4_000, SHORT), "m", "2")
            now = [predicted_wait_s(ledger, c) for c in (SHORT, LONG)]
            # One second: a chunk, 4 k short tokens and 15 k long tokens.
            await asyncio.sleep(1)
            return now, [predicted_wait_s(ledger, c) for c in (SHORT, LONG)]

        now, later = run_virtual(scenario)
        # Includes one chunk of the long prompt.
        self.assertAlmostEqual(now[0], 0.25)
        self.assertAlmostEqual(now[1], 10.25)
        self.assertAlmostEqual(later[0], MIN_REMAINING_S)
        self.assertAlmostEqual(later[1], 9.25 + MIN_REMAINING_S)

    def test_long_prompt_in_prefill_delays_a_short_one_by_one_chunk(self):
        async def scenario():
            ledger = make_ledger()
            ledger.grant(request(200_000, LONG), "m", "1")
            return predicted_wait_s(ledger, SHORT)

        self.assertAlmostEqual(run_virtual(scenario), CHUNK_DELAY_S)

    def test_first_token_ends_a_prompt(self):
        async def scenario():
            ledger = make_ledger()
            ledger.grant(request(200_000, LONG), "m", "1").prefill_tokens = 0
            return predicted_wait_s(ledger, LONG)

        self.assertEqual(run_virtual(scenario), 0)


class CapacityTest(unittest.TestCase):
    def fits_beside(self, granted, requested):
        async def scenario():
            ledger = make_ledger()
            for number, options in enumerate(granted):
                ledger.grant(request(*options), "m", str(number))
            return has_capacity(ledger, request(*requested), RoutingSettings())

        return run_virtual(scenario)

    def test_memory_share_is_reserved_for_short_requests(self):
        granted = [(250_000, LONG)]
        self.assertFalse(self.fits_beside(granted, (210_000, LONG)))
        self.assertTrue(self.fits_beside([(449_000, LONG)], (8_000, SHORT)))
        self.assertTrue(self.fits_beside([(1_000, SHORT)], (490_000, LONG)))

    def test_concurrent_long_prefill_is_limited(self):
        granted = [(200_000, LONG)]
        self.assertTrue(self.fits_beside(granted, (100_000, LONG)))
        self.assertFalse(self.fits_beside(granted, (100_001, LONG)))

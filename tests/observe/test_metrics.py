"""Tests of the metrics that a daemon exports."""

from __future__ import annotations

import unittest

from auburnswitch.experiments.caller import stream_completion
from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    FleetOptions,
    open_fleet,
)
from tests.virtual_time import SimulatedConnector, run_virtual


class MetricsTest(unittest.TestCase):
    def test_metrics_after_one_request(self):
        async def scenario():
            options = FleetOptions(
                engines=1, daemons=1, connector=SimulatedConnector
            )
            async with open_fleet(options) as fleet:
                await stream_completion(
                    fleet.session,
                    fleet.caller_url("entry-0"),
                    {"model": MODEL, "prompt": "hello", "max_tokens": 2},
                    {"Authorization": f"Bearer {CALLER_KEY}"},
                )
                url = fleet.daemons["entry-0"].operator_server.url + "/metrics"
                async with fleet.session.get(url) as response:
                    return await response.text()

        text = run_virtual(scenario)
        for line in (
            'auburnswitch_requests_total{code="ok"} 1.0',
            'auburnswitch_first_token_seconds_count{length="short"} 1.0',
            "auburnswitch_requests_in_flight 0.0",
            "auburnswitch_requests_queued 0.0",
            "auburnswitch_endpoints_owned 2.0",
        ):
            self.assertIn(line, text)
        self.assertIn("auburnswitch_store_calls_made ", text)

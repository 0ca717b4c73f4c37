"""Tests of what the limiter of requests per second remembers."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.routing.selection.send_rate_limiter import (
    WINDOW_S,
    SendRateLimiter,
)
from auburnswitch.schema.entry import BoundSettings
from tests.virtual_time import in_virtual_loop

INTERVAL_S = 0.01


class SendRateLimiterTest(unittest.TestCase):
    # The times of all requests of the fleet were kept for endpoints of services
    # without a cold rate, which nobody asks about.
    @in_virtual_loop
    async def test_memory_is_bounded_for_services_without_a_cold_rate(self):
        limiter = SendRateLimiter(
            bounds=BoundSettings(), count_daemons=lambda: 1
        )
        for _ in range(500):
            limiter.record_send("desk-0")
            await asyncio.sleep(INTERVAL_S)
        for sends in (limiter._local_sends, limiter._fleet_sends):
            self.assertLessEqual(
                len(sends["desk-0"]), WINDOW_S / INTERVAL_S + 2
            )


if __name__ == "__main__":
    unittest.main()

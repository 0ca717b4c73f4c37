"""Retries, cold rates and endpoint health of the entry daemon."""

from __future__ import annotations

import asyncio
import unittest

from auburnswitch.routing.endpoint_health import EndpointHealth
from auburnswitch.routing.send_rate_limiter import SendRateLimiter
from auburnswitch.routing.windowed_retry_budget import WindowedRetryBudget
from auburnswitch.schema.entry import BoundSettings
from auburnswitch.schema.installation import Service
from tests.virtual_time import run_virtual

BOUNDS = BoundSettings(
    retry_ratio=0.2,
    retry_extra=106,
    retry_window_s=10,
    cold_ratio=1.5,
    cold_extra=5,
)
COLD = Service(name="engines", cold_requests_per_s=26)


class BudgetTest(unittest.TestCase):
    def test_all_daemons_together_stay_within_the_window(self):
        """Every daemon retries as often as it may, with no view of others."""

        async def run():
            budgets = [
                WindowedRetryBudget(bounds=BOUNDS, count_daemons=lambda: 9)
                for _ in range(9)
            ]
            requests = retries = 0
            for budget in budgets:
                for _ in range(40):
                    budget.note_request("engines")
                    requests += 1
                while budget.try_acquire("engines"):
                    retries += 1
            allowed = BOUNDS.retry_ratio * requests + BOUNDS.retry_extra
            self.assertLessEqual(retries, allowed)
            self.assertGreater(retries, allowed / 2)

        run_virtual(run)

    def test_window_slides(self):
        async def run():
            budget = WindowedRetryBudget(bounds=BOUNDS, count_daemons=lambda: 9)
            while budget.try_acquire("engines"):
                pass
            await asyncio.sleep(9)
            self.assertFalse(budget.try_acquire("engines"))
            await asyncio.sleep(1.1)
            self.assertTrue(budget.try_acquire("engines"))

        run_virtual(run)


class ColdRateTest(unittest.TestCase):
    def test_daemons_that_know_nothing_of_each_other(self):
        """All daemons send to one endpoint that turned cold, and cannot talk.

        Three more daemons than known have been started as well.
        """

        async def run():
            fleet = [
                SendRateLimiter(bounds=BOUNDS, count_daemons=lambda: 9)
                for _ in range(12)
            ]
            sent = 0
            for rates in fleet:
                while rates.allows(COLD, "engine"):
                    rates.record_send("engine")
                    sent += 1
            self.assertLessEqual(sent, 26 * 1.5 + 5)

        run_virtual(run)

    def test_daemons_that_hear_of_each_other(self):
        async def run():
            rates = SendRateLimiter(bounds=BOUNDS, count_daemons=lambda: 90)
            for _ in range(27):
                rates.record_fleet_send("engine")
            self.assertFalse(rates.allows(COLD, "engine"))
            self.assertTrue(rates.allows(COLD, "another"))
            await asyncio.sleep(1.2)
            self.assertTrue(rates.allows(COLD, "engine"))

        run_virtual(run)

    def test_service_without_a_cold_rate(self):
        async def run():
            rates = SendRateLimiter(bounds=BOUNDS, count_daemons=lambda: 9)
            for _ in range(500):
                rates.record_send("desk")
            self.assertTrue(rates.allows(Service(name="desk"), "desk"))

        run_virtual(run)


class HealthTest(unittest.TestCase):
    def test_failures_make_suspect_and_fade(self):
        async def run():
            health = EndpointHealth()
            health.note_failure("a", "cut")
            self.assertFalse(health.is_suspect("a"))
            health.note_failure("a", "cut")
            self.assertTrue(health.is_suspect("a"))
            self.assertFalse(health.is_suspect("b"))
            await asyncio.sleep(3)
            self.assertFalse(health.is_suspect("a"))

        run_virtual(run)

    def test_successes_count(self):
        async def run():
            health = EndpointHealth()
            for _ in range(2):
                health.note_failure("a", "cut")
            health.note_success("a")
            self.assertFalse(health.is_suspect("a"))

        run_virtual(run)


if __name__ == "__main__":
    unittest.main()

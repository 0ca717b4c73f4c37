"""Tests that entry daemons apply the engines' load reports."""

from __future__ import annotations

import unittest

from auburnswitch.experiments.installation import open_installation, wait_until


class LoadObservationTest(unittest.IsolatedAsyncioTestCase):
    async def test_unknown_work_and_slowdown_reach_all_daemons(self):
        async with open_installation(daemons=2) as fleet:
            endpoint = fleet.endpoints["engine-0"]
            endpoint.running = 3
            endpoint.slowdown = 2.5
            await wait_until(
                lambda: all(
                    d.fleet_load.by_endpoint["engine-0"].unknown_requests == 3
                    and d.fleet_load.by_endpoint["engine-0"].slowdown == 2.5
                    for d in fleet.daemons
                )
            )
            endpoint.running, endpoint.slowdown = 0, 1.0
            await wait_until(
                lambda: (
                    not any(
                        d.fleet_load.by_endpoint["engine-0"].unknown_requests
                        for d in fleet.daemons
                    )
                )
            )


if __name__ == "__main__":
    unittest.main()

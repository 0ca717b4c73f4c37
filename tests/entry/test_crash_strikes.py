"""Tests that a request which succeeds isn't taken for one that crashes."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from auburnswitch.experiments.installation import (
    open_installation,
    wait_until,
)
from auburnswitch.standins.endpoint import Fault

if TYPE_CHECKING:
    from collections.abc import Collection

    from auburnswitch.experiments.installation import LoopbackInstallation

SHORT = "1000,50"
ENGINES = ("engine-0", "engine-1", "engine-2")
HTTP_OK = 200


async def open_only(fleet: LoopbackInstallation, engines: Collection[str]):
    """Lets all daemons send to some engines only."""
    for name in ENGINES:
        state = "ready" if name in engines else "draining"
        fleet.put_endpoint(name, "engines", State=state)

    def open_engines(daemon) -> set[str]:
        installation = daemon.installation
        return {
            endpoint.entry.id
            for endpoint in installation.endpoints_of("engines")
            if installation.is_open(endpoint)
        }

    expected = set(engines)
    await wait_until(
        lambda: all(open_engines(d) == expected for d in fleet.daemons)
    )


class CrashStrikesTest(unittest.IsolatedAsyncioTestCase):
    # Soak 105: after recovery a request that three engines had failed at some
    # time was refused with 503 at all daemons, though it had succeeded between.
    async def test_request_that_succeeds_between_failures_is_served(self):
        async with open_installation(engines=3, daemons=2) as fleet:
            await wait_until(
                lambda: all(d.gossip.peers.live_peers() for d in fleet.daemons)
            )
            for name in ENGINES:
                await open_only(fleet, [name])
                fleet.endpoints[name].faults.append(Fault.DISCONNECT)
                await fleet.call("/chat/1", tokens=SHORT)
                await open_only(fleet, ENGINES)
                answers = [
                    await fleet.call("/chat/1", tokens=SHORT, daemon=daemon)
                    for daemon in (0, 1)
                ]
                statuses = [answer.status for answer in answers]
                self.assertEqual(statuses, [HTTP_OK, HTTP_OK], name)

    # Soak 105: an answer that wasn't the request's counted as a crash.
    async def test_wrong_answers_are_no_crashes(self):
        for fault in (Fault.UNSIGNED, Fault.WRONG_REQUEST_ID):
            with self.subTest(fault):
                async with open_installation(engines=3) as fleet:
                    for name in ENGINES:
                        await open_only(fleet, [name])
                        fleet.endpoints[name].faults.append(fault)
                        await fleet.call("/chat/1", tokens=SHORT)
                    await open_only(fleet, ENGINES)
                    answer = await fleet.call("/chat/1", tokens=SHORT)
                self.assertEqual(answer.status, HTTP_OK)


if __name__ == "__main__":
    unittest.main()

"""Short tests of guarantees that span several packages."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.configuration.state import ConfigState
from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    PLAIN_SERVICE,
    FleetOptions,
    open_fleet,
)
from auburnswitch.experiments.recording_caller import RecordingCaller
from auburnswitch.schema.objects import (
    AvailabilityZone,
    Change,
    ObjectKind,
    Ticket,
)
from auburnswitch.standins.history import HistoryKind
from tests.virtual_time import SimulatedConnector, run_virtual

ZONES = ("daejeon-1", "daejeon-2")


def make_zone_ticket(number: int, name: str) -> Ticket:
    zone = AvailabilityZone(out=number % 2 == 1)
    change = Change(kind=ObjectKind.AVAILABILITY_ZONE, name=name, zone=zone)
    return Ticket(number=number, changes=[change])


class GuaranteeTest(unittest.TestCase):
    def test_same_key_at_two_daemons_runs_once(self):
        async def scenario():
            options = FleetOptions(
                engines=1, daemons=2, connector=SimulatedConnector
            )
            async with open_fleet(options) as fleet:
                caller = RecordingCaller(
                    session=fleet.session, caller_key=CALLER_KEY
                )
                calls = [
                    caller.call_plain(
                        f"{fleet.caller_url(name)}/services/{PLAIN_SERVICE}",
                        name,
                        method="POST",
                        path="/bookings",
                        body={"slot": "9:00"},
                        key="key-1",
                        deadline_s=10.0,
                    )
                    for name in ("entry-0", "entry-1")
                ]
                records = await asyncio.gather(*calls)
                runs = list(fleet.history.select(HistoryKind.PLAIN_RUN))
                return [record.outcome.result for record in records], len(runs)

        results, runs = run_virtual(scenario)
        self.assertEqual(runs, 1)
        self.assertEqual(sorted(results), ["in_progress", "ok"])

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.permutations([(n, ZONES[n // 3]) for n in range(1, 6)]))
    def test_tickets_in_any_order_never_revert(self, tickets):
        state = ConfigState()
        newest_numbers = dict.fromkeys(ZONES, 0)
        for number, name in tickets:
            state.join_ticket(make_zone_ticket(number, name))
            newest_numbers[name] = max(newest_numbers[name], number)
            for zone, expected in newest_numbers.items():
                entry = state.entries.get((ObjectKind.AVAILABILITY_ZONE, zone))
                self.assertEqual(entry.number if entry else 0, expected)

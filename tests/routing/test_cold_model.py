"""Searches all ways in which daemons may send to one cold endpoint.

The decisions are those of the real code, at times that the search chooses. An
endpoint that turned cold may get no more than its bound in one second, whatever
the daemons know of each other and however late a request arrives.
"""

from __future__ import annotations

import unittest
from collections import deque
from unittest import mock

from auburnswitch.routing import send_rate_limiter as module
from auburnswitch.routing.send_rate_limiter import SendRateLimiter
from auburnswitch.schema.entry import BoundSettings
from auburnswitch.schema.installation import Service
from tests.model_search import InvariantViolationError, explore_states

ENDPOINT = "engine"
SECOND_S = 1.0
NOW_S = 100.0


class Fleet:
    """Daemons that are cut off from each other.

    Attributes:
        bound: Requests in a second that may come from these daemons.
        daemons: Daemons that send.
        known: How many of them each knows of.
        tick_s: Time between two decisions, in seconds.
        most_delay: Ticks that a request may take to arrive.
    """

    def __init__(
        self,
        *,
        rate: int,
        bound: int,
        daemons: int,
        known: int,
        tick_s: float,
        most_delay: int = 0,
    ) -> None:
        self.bound = bound
        self.daemons = daemons
        self.known = known
        self.tick_s = tick_s
        self.most_delay = most_delay
        self.service = Service(name="s", cold_requests_per_s=rate)
        self.longest = round(1.2 / tick_s) + 1

    def allows(self, ages: tuple[int, ...]) -> bool:
        """Asks the real code about one more request."""
        bounds = BoundSettings(cold_ratio=1.0, cold_extra=0)
        rates = SendRateLimiter(bounds=bounds, count_daemons=lambda: self.known)
        times = [NOW_S - age * self.tick_s for age in sorted(ages)[::-1]]
        rates._local_sends[ENDPOINT] = deque(times)
        with (
            mock.patch.object(module, "monotonic_s", lambda: NOW_S),
            mock.patch.object(module, "FLEET_RATE_FRACTION", 1.0),
        ):
            return rates.allows(self.service, ENDPOINT)

    def next_states(self, state):
        """Yields the states after a request is sent, or a tick passes.

        A state has, for each daemon, the ages of its requests when sent and
        when arrived; a request that is under way has a negative one.
        """
        yield tuple(
            tuple(
                (sent + 1, arrived + 1)
                for sent, arrived in requests
                if sent < self.longest
            )
            for requests in state
        )
        for number, requests in enumerate(state):
            if not self.allows(tuple(sent for sent, _ in requests)):
                continue
            for delay in range(self.most_delay + 1):
                after = tuple(sorted((*requests, (0, -delay))))
                yield (*state[:number], after, *state[number + 1 :])

    def check(self, state) -> None:
        """Checks what has arrived in the last second."""
        last = round(SECOND_S / self.tick_s)
        arrived = sum(
            0 <= age < last for requests in state for _, age in requests
        )
        if arrived > self.bound:
            raise InvariantViolationError(f"{arrived} in one second")

    def explore_states(self) -> int:
        return explore_states(
            ((),) * self.daemons, self.next_states, self.check
        )


def alone() -> Fleet:
    """One daemon, which shares the rate with three that it does not know."""
    return Fleet(rate=8, bound=2, daemons=1, known=1, tick_s=0.1, most_delay=1)


def apart() -> Fleet:
    """Five daemons, of which each knows two: itself and another one."""
    return Fleet(rate=5, bound=5, daemons=5, known=2, tick_s=0.4)


class ColdModelTest(unittest.TestCase):
    def test_late_arrivals(self):
        self.assertGreater(alone().explore_states(), 100)

    def test_daemons_that_know_few_others(self):
        self.assertGreater(apart().explore_states(), 100)

    def refuted(self, fleet: Fleet, name: str, value: float) -> None:
        with (
            mock.patch.object(module, name, value),
            self.assertRaises(InvariantViolationError),
        ):
            fleet.explore_states()

    def test_window_of_a_second_only(self):
        self.refuted(alone(), "WINDOW_S", SECOND_S - 0.05)

    def test_no_allowance_for_unknown_daemons(self):
        self.refuted(apart(), "UNSEEN_DAEMON_ALLOWANCE", 0)


if __name__ == "__main__":
    unittest.main()

"""Counters and latency histograms of the entry daemon.

They are plain numbers, so that a start does not wait for the imports of a
metrics library; ``auburnswitch.observe.entry_metrics`` exports them.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import Final

LATENCY_BUCKET_BOUNDS_S: Final = (
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.5,
    0.75,
    1.0,
    1.5,
    2.0,
    3.0,
    5.0,
    10.0,
    30.0,
)
SHORT_MAX_TOKENS: Final = 24_000
MEDIUM_MAX_TOKENS: Final = 110_000


class Histogram:
    """Counts of values by bucket.

    Attributes:
        counts: Values in each bucket, the last one without an upper bound.
        total: Sum of all values.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKET_BOUNDS_S) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Adds a value."""
        self.counts[bisect_left(LATENCY_BUCKET_BOUNDS_S, value)] += 1
        self.total += value

    def cumulative_counts(self) -> list[tuple[str, int]]:
        """Returns each upper bound with the number of values up to it."""
        bounds = [*map(str, LATENCY_BUCKET_BOUNDS_S), "+Inf"]
        passed, rows = 0, []
        for bound, count in zip(bounds, self.counts, strict=True):
            passed += count
            rows.append((bound, passed))
        return rows


class EntryStatistics:
    """What one entry daemon has done.

    Attributes:
        requests: Requests by length class and outcome.
        retries: Further attempts by cause.
        time_to_first_event: Time to an answer's first event by length class.
        duration: Time to an answer's end by length class.
    """

    __slots__ = ("duration", "requests", "retries", "time_to_first_event")

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, str]] = Counter()
        self.retries: Counter[str] = Counter()
        classes = ("plain", "short", "medium", "long")
        self.time_to_first_event = {name: Histogram() for name in classes}
        self.duration = {name: Histogram() for name in classes}

    def record_request(self, tokens: int, outcome: str, took_s: float) -> None:
        """Counts a request that has ended."""
        name = classify_length(tokens)
        self.requests[name, outcome] += 1
        self.duration[name].observe(took_s)

    def record_first_event(self, tokens: int, after_s: float) -> None:
        """Counts the first event of an answer."""
        self.time_to_first_event[classify_length(tokens)].observe(after_s)


def classify_length(prompt_tokens: int) -> str:
    """Returns the class of a prompt's length, ``plain`` without a prompt."""
    if not prompt_tokens:
        return "plain"
    if prompt_tokens <= SHORT_MAX_TOKENS:
        return "short"
    return "medium" if prompt_tokens <= MEDIUM_MAX_TOKENS else "long"


__all__ = ["EntryStatistics", "Histogram", "classify_length"]

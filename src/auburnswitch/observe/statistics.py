"""Collects counters and latency histograms of the entry daemon.

The values are plain numbers, so that the start of the daemon does not wait
for the imports of a metrics library; ``auburnswitch.observe.entry_metrics``
exports them.
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
    """Histogram of latencies in seconds.

    Attributes:
        counts: Number of values in each bucket; the last bucket has no upper
            bound.
        total: Sum of all values.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKET_BOUNDS_S) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Adds a value in seconds."""
        self.counts[bisect_left(LATENCY_BUCKET_BOUNDS_S, value)] += 1
        self.total += value

    def cumulative_counts(self) -> list[tuple[str, int]]:
        """Returns each upper bound with the number of values up to it."""
        bounds = [*map(str, LATENCY_BUCKET_BOUNDS_S), "+Inf"]
        cumulative_count, rows = 0, []
        for bound, count in zip(bounds, self.counts, strict=True):
            cumulative_count += count
            rows.append((bound, cumulative_count))
        return rows


class EntryStatistics:
    """Request statistics of one entry daemon.

    Attributes:
        requests: Number of requests by length class and outcome.
        retries: Number of retries by cause.
        time_to_first_event: Time to the first event of an answer by length
            class, in seconds.
        duration: Time to the end of an answer by length class, in seconds.
        endpoint_marks: Number of marks of endpoints by kind.
        endpoint_mark_changes: Number of marks whose process became known, that
            were carried over to a later process, or cleared for one.
        answer_ends: Number of endpoints' answers by the framing of the body and
            the way in which it ended.
        part_refusals: Number of refusals of prompt parts by what became of
            them.
        crash_limits: Number of times that a limit on what is remembered of
            crashes was reached, by limit.
    """

    __slots__ = (
        "answer_ends",
        "crash_limits",
        "duration",
        "endpoint_mark_changes",
        "endpoint_marks",
        "part_refusals",
        "requests",
        "retries",
        "time_to_first_event",
    )

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, str]] = Counter()
        self.retries: Counter[str] = Counter()
        self.endpoint_marks: Counter[str] = Counter()
        self.endpoint_mark_changes: Counter[str] = Counter()
        self.answer_ends: Counter[tuple[str, str]] = Counter()
        self.part_refusals: Counter[str] = Counter()
        self.crash_limits: Counter[str] = Counter()
        length_classes = ("plain", "short", "medium", "long")
        self.time_to_first_event = {
            length_class: Histogram() for length_class in length_classes
        }
        self.duration = {
            length_class: Histogram() for length_class in length_classes
        }

    def record_request(
        self, prompt_tokens: int, outcome: str, duration_s: float
    ) -> None:
        """Records a finished request and its duration."""
        length_class = classify_length(prompt_tokens)
        self.requests[length_class, outcome] += 1
        self.duration[length_class].observe(duration_s)

    def record_first_event(
        self, prompt_tokens: int, first_event_s: float
    ) -> None:
        """Records the time to the first event of an answer."""
        self.time_to_first_event[classify_length(prompt_tokens)].observe(
            first_event_s
        )


def classify_length(prompt_tokens: int) -> str:
    """Returns the length class of a prompt; ``plain`` if there is none."""
    if not prompt_tokens:
        return "plain"
    if prompt_tokens <= SHORT_MAX_TOKENS:
        return "short"
    return "medium" if prompt_tokens <= MEDIUM_MAX_TOKENS else "long"


__all__ = ["EntryStatistics", "Histogram", "classify_length"]

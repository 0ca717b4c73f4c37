"""First-token times, outcomes and their comparison between policies."""

from __future__ import annotations

import collections
import dataclasses
from dataclasses import dataclass, field
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from auburnswitch.schema.peers import LengthClass

HISTOGRAM_UNITS_PER_S: Final = 10_000
MAX_RECORDED_S: Final = 7200
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50.0, 95.0, 99.0)


@dataclass(slots=True, kw_only=True)
class RequestSample:
    """What one caller saw.

    Attributes:
        offset_s: When its request was sent, in seconds from the start.
        length_class: Length class of the prompt.
        result: Name of the result code.
        first_token_s: Time to first token, in seconds; None without one.
    """

    offset_s: float
    length_class: LengthClass
    result: str
    first_token_s: float | None


@dataclass(slots=True, kw_only=True)
class LengthSummary:
    """The requests of one length class in one run.

    Attributes:
        p50_s: Median time to first token, in seconds.
        p95_s: 95th percentile, in seconds.
        p99_s: 99th percentile, in seconds.
        outcomes: Requests by name of their result code.
    """

    p50_s: float
    p95_s: float
    p99_s: float
    outcomes: dict[str, int]


@dataclass(slots=True, kw_only=True)
class RunSummary:
    """One run of one policy.

    Attributes:
        policy: The policy's name.
        load: Offered share of the prefill capacity.
        shared: Whether long prompts were among the requests.
        lengths: Summary by name of the length class.
        took_s: Wall time of the run, in seconds.
        counters: Other figures of the run, by name.
    """

    policy: str
    load: float
    shared: bool
    lengths: dict[str, LengthSummary] = field(default_factory=dict)
    took_s: float = 0.0
    counters: dict[str, float] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Returns the summary in JSON types."""
        return dataclasses.asdict(self)


def percentiles_s(times_s: list[float]) -> list[float]:
    """Returns the 50th, 95th and 99th percentile, in seconds."""
    histogram = HdrHistogram(
        1, MAX_RECORDED_S * HISTOGRAM_UNITS_PER_S, SIGNIFICANT_DIGITS
    )
    for time_s in times_s:
        histogram.record_value(max(1, round(time_s * HISTOGRAM_UNITS_PER_S)))
    return [
        histogram.get_value_at_percentile(percentile) / HISTOGRAM_UNITS_PER_S
        for percentile in PERCENTILES
    ]


def summarize_lengths(samples: list[RequestSample]) -> dict[str, LengthSummary]:
    """Returns the summary of each length class that occurs."""
    summaries = {}
    for length_class in LengthClass:
        own = [
            sample for sample in samples if sample.length_class is length_class
        ]
        if not own:
            continue
        times_s = [s.first_token_s for s in own if s.first_token_s is not None]
        p50_s, p95_s, p99_s = percentiles_s(times_s)
        outcomes = collections.Counter(sample.result for sample in own)
        summaries[length_class.name.lower()] = LengthSummary(
            p50_s=p50_s, p95_s=p95_s, p99_s=p99_s, outcomes=dict(outcomes)
        )
    return summaries


def comparison_lines(runs: list[RunSummary]) -> list[str]:
    """Returns the ratios that the targets speak of, one for each line."""
    by_key = {(run.policy, run.load, run.shared): run for run in runs}
    lines = []
    for load in sorted({run.load for run in runs}):
        for policy in ("two-choices", "owner", "oracle"):
            shared = by_key.get((policy, load, True))
            alone = by_key.get((policy, load, False))
            if shared and alone:
                lines.append(_slowdown_line(shared, alone))
        for other in ("two-choices", "oracle"):
            own = by_key.get(("owner", load, True))
            against = by_key.get((other, load, True))
            if own and against:
                lines.append(_ratio_line(own, against))
        own = by_key.get(("owner", load, True))
        base = by_key.get(("two-choices", load, False))
        if own and base:
            mine_s = own.lengths["short"].p95_s
            base_s = base.lengths["short"].p95_s
            lines.append(
                f"load {load}: owner's short p95 shared {mine_s:.3f} s,"
                f" two-choices' alone {base_s:.3f} s"
            )
    return lines


def _slowdown_line(shared: RunSummary, alone: RunSummary) -> str:
    mine, other = shared.lengths["short"], alone.lengths["short"]
    return (
        f"load {shared.load}: {shared.policy}: slowdown of short requests"
        f" p50 {mine.p50_s / other.p50_s:.2f},"
        f" p95 {mine.p95_s / other.p95_s:.2f},"
        f" p99 {mine.p99_s / other.p99_s:.2f}"
    )


def _ratio_line(own: RunSummary, other: RunSummary) -> str:
    ratios = [
        f"{name} p95 {own.lengths[name].p95_s / other.lengths[name].p95_s:.2f}"
        for name in ("short", "long")
    ]
    return f"load {own.load}: owner over {other.policy}: {', '.join(ratios)}"


def table_lines(runs: list[RunSummary]) -> list[str]:
    """Returns a Markdown table of first-token times and outcomes."""
    lines = [
        "| Load | Policy | Long ones | Length | p50, s | p95, s | p99, s"
        " | Outcomes |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for run in sorted(runs, key=lambda r: (r.load, r.policy, r.shared)):
        mixed = "shared" if run.shared else "alone"
        for name, own in run.lengths.items():
            outcomes = ", ".join(f"{k} {v}" for k, v in own.outcomes.items())
            lines.append(
                f"| {run.load} | {run.policy} | {mixed} | {name} |"
                f" {own.p50_s:.3f} | {own.p95_s:.3f} | {own.p99_s:.3f} |"
                f" {outcomes} |"
            )
    return lines


__all__ = [
    "LengthSummary",
    "RunSummary",
    "RequestSample",
    "comparison_lines",
    "percentiles_s",
    "summarize_lengths",
    "table_lines",
]

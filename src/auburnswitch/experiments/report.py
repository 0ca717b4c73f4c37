"""Summarizes time to first token and compares placement policies."""

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
    """Outcome of one request.

    Attributes:
        offset_s: Send time, in seconds from the start.
        length_class: Length class of the prompt.
        result: Name of the result code.
        first_token_s: Time to first token, in seconds; None if no token
            was received.
    """

    offset_s: float
    length_class: LengthClass
    result: str
    first_token_s: float | None


@dataclass(slots=True, kw_only=True)
class LengthSummary:
    """Summary of the requests of one length class in one run.

    Attributes:
        p50_s: Median time to first token, in seconds.
        p95_s: 95th percentile of the time to first token, in seconds.
        p99_s: 99th percentile of the time to first token, in seconds.
        outcomes: Number of requests by name of the result code.
    """

    p50_s: float
    p95_s: float
    p99_s: float
    outcomes: dict[str, int]


@dataclass(slots=True, kw_only=True)
class RunSummary:
    """Summary of one run of one policy.

    Attributes:
        policy: Name of the policy.
        load: Offered load as a share of the prefill capacity.
        shared: Whether the requests included long prompts.
        lengths: Summaries by name of the length class.
        took_s: Wall time of the run, in seconds.
        counters: Further counters of the run, by name.
    """

    policy: str
    load: float
    shared: bool
    lengths: dict[str, LengthSummary] = field(default_factory=dict)
    took_s: float = 0.0
    counters: dict[str, float] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Returns the summary as a JSON object."""
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
    """Returns a summary for each length class with at least one sample."""
    summaries = {}
    for length_class in LengthClass:
        class_samples = [
            sample for sample in samples if sample.length_class is length_class
        ]
        if not class_samples:
            continue
        times_s = [
            s.first_token_s
            for s in class_samples
            if s.first_token_s is not None
        ]
        p50_s, p95_s, p99_s = percentiles_s(times_s)
        outcomes = collections.Counter(
            sample.result for sample in class_samples
        )
        summaries[length_class.name.lower()] = LengthSummary(
            p50_s=p50_s, p95_s=p95_s, p99_s=p99_s, outcomes=dict(outcomes)
        )
    return summaries


def comparison_lines(runs: list[RunSummary]) -> list[str]:
    """Returns lines with the ratios that the performance targets limit."""
    by_key = {(run.policy, run.load, run.shared): run for run in runs}
    lines = []
    for load in sorted({run.load for run in runs}):
        for policy in ("two-choices", "owner", "oracle"):
            shared = by_key.get((policy, load, True))
            alone = by_key.get((policy, load, False))
            if shared and alone:
                lines.append(_slowdown_line(shared, alone))
        for other_policy in ("two-choices", "oracle"):
            owner_run = by_key.get(("owner", load, True))
            other_run = by_key.get((other_policy, load, True))
            if owner_run and other_run:
                lines.append(_ratio_line(owner_run, other_run))
        owner_run = by_key.get(("owner", load, True))
        baseline_run = by_key.get(("two-choices", load, False))
        if owner_run and baseline_run:
            owner_s = owner_run.lengths["short"].p95_s
            baseline_s = baseline_run.lengths["short"].p95_s
            lines.append(
                f"load {load}: owner's short p95 shared {owner_s:.3f} s,"
                f" two-choices' alone {baseline_s:.3f} s"
            )
    return lines


def _slowdown_line(shared: RunSummary, alone: RunSummary) -> str:
    shared_short, alone_short = shared.lengths["short"], alone.lengths["short"]
    return (
        f"load {shared.load}: {shared.policy}: slowdown of short requests"
        f" p50 {shared_short.p50_s / alone_short.p50_s:.2f},"
        f" p95 {shared_short.p95_s / alone_short.p95_s:.2f},"
        f" p99 {shared_short.p99_s / alone_short.p99_s:.2f}"
    )


def _ratio_line(owner: RunSummary, base: RunSummary) -> str:
    ratios = [
        f"{name} p95 {owner.lengths[name].p95_s / base.lengths[name].p95_s:.2f}"
        for name in ("short", "long")
    ]
    return f"load {owner.load}: owner over {base.policy}: {', '.join(ratios)}"


def table_lines(runs: list[RunSummary]) -> list[str]:
    """Returns a Markdown table of time to first token and outcomes."""
    lines = [
        "| Load | Policy | Long prompts | Length | p50, s | p95, s | p99, s"
        " | Outcomes |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for run in sorted(runs, key=lambda r: (r.load, r.policy, r.shared)):
        long_prompts = "shared" if run.shared else "alone"
        for name, row in run.lengths.items():
            outcomes = ", ".join(f"{k} {v}" for k, v in row.outcomes.items())
            lines.append(
                f"| {run.load} | {run.policy} | {long_prompts} | {name} |"
                f" {row.p50_s:.3f} | {row.p95_s:.3f} | {row.p99_s:.3f} |"
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

"""Exports the entry daemon's statistics as OpenTelemetry metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from auburnswitch.observe.statistics import EntryStatistics, Histogram

METRIC_PREFIX: Final = "auburnswitch_entry"


class EntryMetrics:
    """Metrics whose values are read from the statistics at each collection."""

    __slots__ = ("meter", "provider", "registry", "statistics")

    def __init__(
        self,
        *,
        statistics: EntryStatistics,
        gauges: dict[str, Callable[[], float]],
    ) -> None:
        self.statistics = statistics
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self.registry,
        )
        self.provider = MeterProvider(
            metric_readers=[reader], shutdown_on_exit=False
        )
        self.meter = self.provider.get_meter("auburnswitch")
        self._add_counter("requests", self._observe_requests)
        self._add_counter("retries", self._observe_retries)
        self._add_counter("endpoint_marks", self._observe_endpoint_marks)
        self._add_counter("endpoint_mark_changes", self._observe_mark_changes)
        self._add_counter("answer_ends", self._observe_answer_ends)
        self._add_counter("part_refusals", self._observe_part_refusals)
        self._add_counter("crash_limits", self._observe_crash_limits)
        self._add_histograms(
            "first_event_seconds", statistics.time_to_first_event
        )
        self._add_histograms("duration_seconds", statistics.duration)
        for name, read in gauges.items():
            self._add_gauge(name, lambda read=read: [Observation(read())])

    def export(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _observe_requests(self) -> Iterable[Observation]:
        for (length, outcome), count in self.statistics.requests.items():
            labels = {"length": length, "outcome": outcome}
            yield Observation(count, labels)

    def _observe_retries(self) -> Iterable[Observation]:
        for cause, count in self.statistics.retries.items():
            yield Observation(count, {"cause": cause})

    def _observe_endpoint_marks(self) -> Iterable[Observation]:
        for mark, count in self.statistics.endpoint_marks.items():
            yield Observation(count, {"mark": mark})

    def _observe_mark_changes(self) -> Iterable[Observation]:
        for change, count in self.statistics.endpoint_mark_changes.items():
            yield Observation(count, {"change": change})

    def _observe_answer_ends(self) -> Iterable[Observation]:
        for (framing, end), count in self.statistics.answer_ends.items():
            yield Observation(count, {"framing": framing, "end": end})

    def _observe_part_refusals(self) -> Iterable[Observation]:
        for change, count in self.statistics.part_refusals.items():
            yield Observation(count, {"change": change})

    def _observe_crash_limits(self) -> Iterable[Observation]:
        for limit, count in self.statistics.crash_limits.items():
            yield Observation(count, {"limit": limit})

    def _add_counter(
        self, name: str, read: Callable[[], Iterable[Observation]]
    ) -> None:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return read()

        self.meter.create_observable_counter(
            f"{METRIC_PREFIX}_{name}", callbacks=[observe]
        )

    def _add_gauge(
        self, name: str, read: Callable[[], Iterable[Observation]]
    ) -> None:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return read()

        self.meter.create_observable_gauge(
            f"{METRIC_PREFIX}_{name}", callbacks=[observe]
        )

    def _add_histograms(
        self, name: str, histograms: dict[str, Histogram]
    ) -> None:
        def observe_buckets() -> Iterable[Observation]:
            for length, histogram in histograms.items():
                for bound, count in histogram.cumulative_counts():
                    yield Observation(count, {"length": length, "le": bound})

        def observe_sums() -> Iterable[Observation]:
            for length, histogram in histograms.items():
                yield Observation(histogram.total, {"length": length})

        def observe_counts() -> Iterable[Observation]:
            for length, histogram in histograms.items():
                yield Observation(sum(histogram.counts), {"length": length})

        self._add_gauge(f"{name}_bucket", observe_buckets)
        self._add_gauge(f"{name}_sum", observe_sums)
        self._add_gauge(f"{name}_count", observe_counts)


__all__ = ["EntryMetrics"]

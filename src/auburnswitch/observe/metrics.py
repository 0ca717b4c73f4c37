"""Exports OpenTelemetry metrics in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import CollectorRegistry, generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable

    from opentelemetry.metrics import CallbackT

FIRST_TOKEN_BUCKET_BOUNDS_S: Final = (
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.5,
    0.75,
    1,
    2,
    5,
    10,
    30,
    60,
    300,
)
FIRST_TOKEN_METRIC: Final = "auburnswitch_first_token"


class Metrics:
    """OpenTelemetry instruments of one daemon.

    Attributes:
        time_to_first_token: Time to first token by length class, in seconds.
        requests: Number of finished requests by result code.
        retries: Number of attempts after the first of a request.
        late_frames: Number of dropped frames of another attempt.
    """

    __slots__ = (
        "late_frames",
        "meter",
        "provider",
        "registry",
        "requests",
        "retries",
        "time_to_first_token",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self.registry,
        )
        bounds = ExplicitBucketHistogramAggregation(FIRST_TOKEN_BUCKET_BOUNDS_S)
        view = View(instrument_name=FIRST_TOKEN_METRIC, aggregation=bounds)
        self.provider = MeterProvider(
            metric_readers=[reader], views=[view], shutdown_on_exit=False
        )
        self.meter = self.provider.get_meter("auburnswitch")
        self.time_to_first_token = self.meter.create_histogram(
            FIRST_TOKEN_METRIC, unit="s"
        )
        self.requests = self._create_counter("requests")
        self.retries = self._create_counter("retries")
        self.late_frames = self._create_counter("late_frames")

    def _create_counter(self, name: str):  # noqa: ANN202
        return self.meter.create_counter(f"auburnswitch_{name}")

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a gauge that is read when metrics are collected."""
        self.meter.create_observable_gauge(
            f"auburnswitch_{name}", callbacks=[lambda _: [Observation(read())]]
        )

    def register_counter(self, name: str, callback: CallbackT) -> None:
        """Registers a counter that is read when metrics are collected."""
        self.meter.create_observable_counter(
            f"auburnswitch_{name}", callbacks=[callback]
        )

    def export(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def close(self) -> None:
        """Shuts the meter provider down."""
        self.provider.shutdown()


__all__ = ["Metrics"]

"""OpenTelemetry counters, gauges and histograms, exposed in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from goldcrestridge_core.types import Count, Labels

# Bounds follow the design size: 28 ms between tokens, 520 ms to the first token.
DURATION_BOUNDS_MS = (
    *(1, 2, 5, 10, 14, 20, 28, 40, 60, 100, 150, 250, 400, 520, 750, 1_000, 1_500, 2_500),
    *(5_000, 10_000, 30_000, 60_000),
)
DURATION_SUFFIX = "_ms"


class Metrics:
    """Count in plain dicts on the hot path and publish them when they are scraped."""

    def __init__(self) -> None:
        self._reader = PrometheusMetricReader()
        view = View(
            instrument_name="*_ms",
            aggregation=ExplicitBucketHistogramAggregation(DURATION_BOUNDS_MS),
        )
        self._provider = MeterProvider(metric_readers=[self._reader], views=[view])
        self._meter: Meter = self._provider.get_meter("goldcrestridge")
        self._totals: dict[str, dict[Labels, float]] = {}
        self._histograms: dict[str, Histogram] = {}

    def record(self, count: Count) -> None:
        """Add to a counter, or record a duration if the name ends in ``_ms``."""
        if count.name.endswith(DURATION_SUFFIX):
            histogram = self._histograms.get(count.name)
            if histogram is None:
                histogram = self._meter.create_histogram(count.name, unit="ms")
                self._histograms[count.name] = histogram
            histogram.record(count.value, dict(count.labels))
            return
        totals = self._totals.get(count.name)
        if totals is None:
            totals = self._totals[count.name] = {}
            self._meter.create_observable_counter(count.name, [_observe(totals)])
        totals[count.labels] = totals.get(count.labels, 0.0) + count.value

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Publish a value that is read at each scrape."""
        self._meter.create_observable_gauge(name, [lambda _options: [Observation(read())]])

    def total(self, name: str) -> float:
        """Return the sum of a counter over all labels."""
        return sum(self._totals.get(name, {}).values())

    def totals(self) -> dict[str, float]:
        """Return all counters, summed over their labels."""
        return {name: sum(values.values()) for name, values in sorted(self._totals.items())}

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)


def _observe(
    totals: dict[Labels, float],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def read(_options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(value, dict(labels)) for labels, value in totals.items()]

    return read

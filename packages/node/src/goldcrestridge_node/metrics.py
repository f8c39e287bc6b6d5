"""Counters, gauges and histograms, exported by OpenTelemetry in the Prometheus text format."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from attrs import define, field

from goldcrestridge_core.types import Count, Labels

if TYPE_CHECKING:
    from opentelemetry.metrics import CallbackOptions, Histogram, Meter, Observation

# The buckets include the design latencies: 28 ms between tokens, 520 ms to the first token.
DURATION_BOUNDS_MS = (
    *(1, 2, 5, 10, 14, 20, 28, 40, 60, 100, 150, 250, 400, 520, 750, 1_000, 1_500, 2_500),
    *(5_000, 10_000, 30_000, 60_000),
)
DURATION_SUFFIX = "_ms"
# Durations buffered until the next scrape: about a minute at a hundred requests per second.
MAX_BUFFERED_DURATIONS = 10_000


@define(eq=False)
class Metrics:
    """Record metrics in plain containers on the hot path and export them at each scrape.

    OpenTelemetry is imported at the first scrape, so that a restarted node serves earlier.
    """

    _totals: dict[str, dict[Labels, float]] = field(factory=dict)
    _durations: deque[Count] = field(factory=lambda: deque(maxlen=MAX_BUFFERED_DURATIONS))
    _gauges: dict[str, Callable[[], float]] = field(factory=dict)
    _exported: set[str] = field(factory=set)
    _histograms: dict[str, Histogram] = field(factory=dict)
    _meter: Meter | None = None

    def record(self, count: Count) -> None:
        """Add to a counter, or record a duration in milliseconds if the name ends in ``_ms``."""
        if count.name.endswith(DURATION_SUFFIX):
            self._durations.append(count)
            return
        totals = self._totals.get(count.name)
        if totals is None:
            totals = self._totals[count.name] = {}
        totals[count.labels] = totals.get(count.labels, 0.0) + count.value

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge, whose value is read at each scrape."""
        self._gauges[name] = read

    def total(self, name: str) -> float:
        """Return the sum of a counter over all labels."""
        return sum(self._totals.get(name, {}).values())

    def totals(self) -> dict[str, float]:
        """Return all counters, summed over their labels."""
        return {name: sum(values.values()) for name, values in sorted(self._totals.items())}

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import REGISTRY, generate_latest

        meter = self._meter
        if meter is None:
            meter = self._meter = _new_meter()
        self._export(meter)
        return generate_latest(REGISTRY)

    def _export(self, meter: Meter) -> None:
        """Create instruments for new metrics and record the buffered durations."""
        for name, totals in self._totals.items():
            if name not in self._exported:
                self._exported.add(name)
                meter.create_observable_counter(name, [_counter_callback(totals)])
        for name, read in self._gauges.items():
            if name not in self._exported:
                self._exported.add(name)
                meter.create_observable_gauge(name, [_gauge_callback(read)])
        while self._durations:
            count = self._durations.popleft()
            histogram = self._histograms.get(count.name)
            if histogram is None:
                histogram = meter.create_histogram(count.name, unit="ms")
                self._histograms[count.name] = histogram
            histogram.record(count.value, dict(count.labels))


def _new_meter() -> Meter:
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View

    view = View(
        instrument_name="*_ms",
        aggregation=ExplicitBucketHistogramAggregation(DURATION_BOUNDS_MS),
    )
    provider = MeterProvider(metric_readers=[PrometheusMetricReader()], views=[view])
    return provider.get_meter("goldcrestridge")


def _counter_callback(
    totals: dict[Labels, float],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    from opentelemetry.metrics import Observation

    def read(_options: Any) -> Iterable[Observation]:
        return [Observation(value, dict(labels)) for labels, value in totals.items()]

    return read


def _gauge_callback(
    value: Callable[[], float],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    from opentelemetry.metrics import Observation

    return lambda _options: [Observation(value())]

"""Counters, gauges and histograms, published by OpenTelemetry in the Prometheus text format."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from attrs import define, field

from goldcrestridge_core.types import Count, Labels

if TYPE_CHECKING:
    from opentelemetry.metrics import CallbackOptions, Histogram, Meter, Observation

# Bounds follow the design size: 28 ms between tokens, 520 ms to the first token.
DURATION_BOUNDS_MS = (
    *(1, 2, 5, 10, 14, 20, 28, 40, 60, 100, 150, 250, 400, 520, 750, 1_000, 1_500, 2_500),
    *(5_000, 10_000, 30_000, 60_000),
)
DURATION_SUFFIX = "_ms"
# Durations kept until the first scrape, about a minute's at a hundred requests a second.
KEPT_DURATIONS = 10_000


@define(eq=False)
class Metrics:
    """Count in plain dicts on the hot path and publish them when they are scraped.

    OpenTelemetry is imported at the first scrape: a restarted node serves earlier without it.
    """

    _totals: dict[str, dict[Labels, float]] = field(factory=dict)
    _durations: deque[Count] = field(factory=lambda: deque(maxlen=KEPT_DURATIONS))
    _gauges: dict[str, Callable[[], float]] = field(factory=dict)
    _published: set[str] = field(factory=set)
    _histograms: dict[str, Histogram] = field(factory=dict)
    _meter: Meter | None = None

    def record(self, count: Count) -> None:
        """Add to a counter, or record a duration if the name ends in ``_ms``."""
        if count.name.endswith(DURATION_SUFFIX):
            self._durations.append(count)
            return
        totals = self._totals.get(count.name)
        if totals is None:
            totals = self._totals[count.name] = {}
        totals[count.labels] = totals.get(count.labels, 0.0) + count.value

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Publish a value that is read at each scrape."""
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
        self._publish(meter)
        return generate_latest(REGISTRY)

    def _publish(self, meter: Meter) -> None:
        """Create the instruments that are new, and hand over the durations kept since."""
        for name, totals in self._totals.items():
            if name not in self._published:
                self._published.add(name)
                meter.create_observable_counter(name, [_observe(totals)])
        for name, read in self._gauges.items():
            if name not in self._published:
                self._published.add(name)
                meter.create_observable_gauge(name, [_observe_one(read)])
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


def _observe(totals: dict[Labels, float]) -> Callable[[CallbackOptions], Iterable[Observation]]:
    from opentelemetry.metrics import Observation

    def read(_options: Any) -> Iterable[Observation]:
        return [Observation(value, dict(labels)) for labels, value in totals.items()]

    return read


def _observe_one(
    value: Callable[[], float],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    from opentelemetry.metrics import Observation

    return lambda _options: [Observation(value())]

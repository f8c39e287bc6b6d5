"""Online estimates of output length by class, model and workspace."""

from __future__ import annotations

import math
from array import array
from collections import OrderedDict

from attrs import Factory, define

BUCKETS_PER_OCTAVE = 4  # Bucket bounds grow by 19 %, which bounds the error of quantiles.
BUCKET_COUNT = 72  # Up to 2**18 tokens.
MAX_KEYS = 4_096  # 576 bytes each; the least recently observed key is evicted.
# All weights are halved when their total reaches this, so that estimates follow a change.
MAX_TOTAL_WEIGHT = 400.0
MIN_TOTAL_WEIGHT = 8.0  # With fewer observations the next coarser key is used.
PRIOR_TOKENS = 256.0  # Estimate without observations.

_BOUNDS = [2.0 ** (index / BUCKETS_PER_OCTAVE) for index in range(BUCKET_COUNT + 1)]
_MIDPOINTS = [math.sqrt(_BOUNDS[i] * _BOUNDS[i + 1]) for i in range(BUCKET_COUNT)]

LengthKey = tuple[str, str, str]  # Class, model, workspace; an empty string matches all.


def _bucket_index(tokens: float) -> int:
    if tokens <= 1.0:
        return 0
    return min(BUCKET_COUNT - 1, int(math.log2(tokens) * BUCKETS_PER_OCTAVE + 1e-9))


@define
class Sketch:
    """Histogram of lengths in logarithmic buckets, with decaying weights."""

    counts: array[float] = Factory(lambda: array("d", bytes(8 * BUCKET_COUNT)))
    total: float = 0.0
    _all_buckets: list[tuple[float, float]] | None = None

    def add(self, tokens: int) -> None:
        """Add the length of a completed output."""
        self._all_buckets = None
        if self.total >= MAX_TOTAL_WEIGHT:
            self.counts = array("d", (count / 2 for count in self.counts))
            self.total /= 2
        self.counts[_bucket_index(tokens)] += 1.0
        self.total += 1.0

    def buckets_above(self, produced: int) -> list[tuple[float, float]]:
        """Return midpoint and weight of each bucket of lengths above ``produced`` tokens."""
        if produced <= 0:
            if self._all_buckets is None:
                self._all_buckets = self._collect_above(0, 0)
            return self._all_buckets
        return self._collect_above(_bucket_index(produced + 1), produced)

    def _collect_above(self, first: int, produced: int) -> list[tuple[float, float]]:
        return [
            (max(_MIDPOINTS[index], produced + 1.0), self.counts[index])
            for index in range(first, BUCKET_COUNT)
            if self.counts[index] > 0.0
        ]


@define
class LengthEstimator:
    """Estimate output lengths from completed requests, falling back to coarser keys.

    The maximum length that a caller sets only caps an estimate. The estimate for a running
    request is based on the observed lengths above the tokens produced so far. ``prior`` is
    the estimate without observations.
    """

    prior: float = PRIOR_TOKENS
    _sketches: OrderedDict[LengthKey, Sketch] = Factory(OrderedDict)

    def observe(self, class_name: str, model: str, workspace: str, tokens: int) -> None:
        """Record the output length of a completed request."""
        for key in _fallback_keys(class_name, model, workspace):
            sketch = self._sketches.get(key)
            if sketch is None:
                sketch = self._sketches[key] = Sketch()
            self._sketches.move_to_end(key)
            sketch.add(tokens)
        while len(self._sketches) > MAX_KEYS:
            self._sketches.popitem(last=False)

    def quantile(
        self,
        share: float,
        class_name: str,
        model: str,
        workspace: str,
        max_tokens: int = 0,
        produced: int = 0,
    ) -> float:
        """Return the length in tokens that ``share`` of such requests do not exceed."""
        buckets = self._buckets(class_name, model, workspace, produced)
        target = share * sum(weight for _, weight in buckets)
        estimate = max(self.prior, produced + 1.0)
        cumulative = 0.0
        for midpoint, weight in buckets:
            cumulative += weight
            estimate = midpoint
            if cumulative >= target:
                break
        return _cap(estimate, max_tokens, produced)

    def mean(
        self, class_name: str, model: str, workspace: str, max_tokens: int = 0, produced: int = 0
    ) -> float:
        """Return the expected total length in tokens given those produced so far."""
        buckets = self._buckets(class_name, model, workspace, produced)
        weight = sum(weight for _, weight in buckets)
        if not weight:
            return _cap(max(self.prior, 2.0 * produced), max_tokens, produced)
        total = sum(_cap(midpoint, max_tokens, produced) * count for midpoint, count in buckets)
        return total / weight

    def key_count(self) -> int:
        """Return the number of keys with a histogram."""
        return len(self._sketches)

    def _buckets(
        self, class_name: str, model: str, workspace: str, produced: int
    ) -> list[tuple[float, float]]:
        """Return the buckets of the finest key that has enough observations."""
        for key in _fallback_keys(class_name, model, workspace):
            sketch = self._sketches.get(key)
            if sketch is None or sketch.total < MIN_TOTAL_WEIGHT:
                continue
            buckets = sketch.buckets_above(produced)
            if buckets:
                return buckets
        return []


def _fallback_keys(class_name: str, model: str, workspace: str) -> tuple[LengthKey, ...]:
    return (
        (class_name, model, workspace),
        (class_name, model, ""),
        (class_name, "", ""),
        ("", "", ""),
    )


def _cap(estimate: float, max_tokens: int, produced: int) -> float:
    capped = min(estimate, max_tokens) if max_tokens > 0 else estimate
    return max(capped, float(produced))

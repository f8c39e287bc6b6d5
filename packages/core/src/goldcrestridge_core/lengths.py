"""Online estimates of output length by class, model and workspace."""

from __future__ import annotations

import math
from array import array
from collections import OrderedDict

from attrs import Factory, define

BUCKETS_PER_OCTAVE = 4  # Bucket bounds grow by 19 %, which bounds the error of a quantile.
BUCKETS = 72  # Up to 2**18 tokens.
MAX_KEYS = 4_096  # 576 bytes each; the key used longest ago is dropped.
# The weight of old observations is halved at this total, so the estimate follows a change.
MAX_WEIGHT = 400.0
MIN_WEIGHT = 8.0  # With fewer observations the next coarser key answers.
PRIOR_TOKENS = 256.0  # Estimate before anything was observed.

_BOUNDS = [2.0 ** (index / BUCKETS_PER_OCTAVE) for index in range(BUCKETS + 1)]
_MIDDLES = [math.sqrt(_BOUNDS[i] * _BOUNDS[i + 1]) for i in range(BUCKETS)]

LengthKey = tuple[str, str, str]  # Class, model, workspace; empty parts mean all of them.


def _bucket(tokens: float) -> int:
    if tokens <= 1.0:
        return 0
    return min(BUCKETS - 1, int(math.log2(tokens) * BUCKETS_PER_OCTAVE + 1e-9))


@define
class Sketch:
    """Histogram of lengths in logarithmic buckets, with fading weights."""

    counts: array[float] = Factory(lambda: array("d", bytes(8 * BUCKETS)))
    total: float = 0.0
    _all_buckets: list[tuple[float, float]] | None = None

    def add(self, tokens: int) -> None:
        """Record one complete length."""
        self._all_buckets = None
        if self.total >= MAX_WEIGHT:
            self.counts = array("d", (count / 2 for count in self.counts))
            self.total /= 2
        self.counts[_bucket(tokens)] += 1.0
        self.total += 1.0

    def buckets_above(self, produced: int) -> list[tuple[float, float]]:
        """Return middle and weight of the buckets of lengths above ``produced`` tokens."""
        if produced <= 0:
            if self._all_buckets is None:
                self._all_buckets = self._collect_above(0, 0)
            return self._all_buckets
        return self._collect_above(_bucket(produced + 1), produced)

    def _collect_above(self, first: int, produced: int) -> list[tuple[float, float]]:
        return [
            (max(_MIDDLES[index], produced + 1.0), self.counts[index])
            for index in range(first, BUCKETS)
            if self.counts[index] > 0.0
        ]


@define
class LengthEstimator:
    """Estimate output lengths from completed requests, falling back to coarser keys.

    The caller's maximum only caps an estimate. An estimate for a running request is that of
    the observed lengths above the tokens produced so far. ``prior`` answers before anything
    was observed.
    """

    prior: float = PRIOR_TOKENS
    _sketches: OrderedDict[LengthKey, Sketch] = Factory(OrderedDict)

    def observe(self, class_name: str, model: str, workspace: str, tokens: int) -> None:
        """Record the output length of a completed request."""
        for key in _keys(class_name, model, workspace):
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
        """Return the length that ``share`` of such requests do not exceed, in tokens."""
        buckets = self._buckets(class_name, model, workspace, produced)
        wanted = share * sum(weight for _, weight in buckets)
        estimate = max(self.prior, produced + 1.0)
        seen = 0.0
        for middle, weight in buckets:
            seen += weight
            estimate = middle
            if seen >= wanted:
                break
        return _cap(estimate, max_tokens, produced)

    def mean(
        self, class_name: str, model: str, workspace: str, max_tokens: int = 0, produced: int = 0
    ) -> float:
        """Return the expected total length given the tokens produced so far."""
        buckets = self._buckets(class_name, model, workspace, produced)
        weight = sum(weight for _, weight in buckets)
        if not weight:
            return _cap(max(self.prior, 2.0 * produced), max_tokens, produced)
        total = sum(_cap(middle, max_tokens, produced) * count for middle, count in buckets)
        return total / weight

    def key_count(self) -> int:
        """Return the number of keys held."""
        return len(self._sketches)

    def _buckets(
        self, class_name: str, model: str, workspace: str, produced: int
    ) -> list[tuple[float, float]]:
        """Return the buckets of the finest key that has enough observations."""
        for key in _keys(class_name, model, workspace):
            sketch = self._sketches.get(key)
            if sketch is None or sketch.total < MIN_WEIGHT:
                continue
            buckets = sketch.buckets_above(produced)
            if buckets:
                return buckets
        return []


def _keys(class_name: str, model: str, workspace: str) -> tuple[LengthKey, ...]:
    return (
        (class_name, model, workspace),
        (class_name, model, ""),
        (class_name, "", ""),
        ("", "", ""),
    )


def _cap(estimate: float, max_tokens: int, produced: int) -> float:
    capped = min(estimate, max_tokens) if max_tokens > 0 else estimate
    return max(capped, float(produced))

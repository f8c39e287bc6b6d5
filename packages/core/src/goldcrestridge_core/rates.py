"""Event rates with exponential decay, and buckets that bound the rate of requests."""

from __future__ import annotations

import math

from attrs import define

from goldcrestridge_core.clock import MS_PER_SECOND

# Requests that an idle upstream accumulates, as those of this time, beside a single one.
BURST_MS = 250.0
# One request in four seconds is allowed whatever the limit, since an upstream that gets none may
# have no occasion to name another limit.
MIN_REQUESTS_PER_SECOND = 0.25


@define
class Rate:
    """Estimate events per second with the decay time ``window_ms``.

    ``prior`` is the rate assumed at the start; its weight decays in the same time, so that the
    estimate is neither zero nor too high before enough events are recorded.
    """

    window_ms: float
    prior: float = 0.0
    started_ms: float = 0.0
    _decayed_count: float = 0.0
    _decayed_at_ms: float = 0.0

    def restart(self, prior: float, now_ms: float) -> None:
        """Discard all recorded events and assume ``prior`` events per second."""
        self.prior = prior
        self.started_ms = now_ms
        self._decayed_count = 0.0
        self._decayed_at_ms = now_ms

    def add(self, now_ms: float, count: float = 1.0) -> None:
        """Record ``count`` events; a negative count takes events back."""
        self._decay(now_ms)
        self._decayed_count += count

    def per_second(self, now_ms: float) -> float:
        """Return the estimated events per second."""
        self._decay(now_ms)
        window_s = self.window_ms / MS_PER_SECOND
        prior_weight = math.exp(-max(0.0, now_ms - self.started_ms) / self.window_ms)
        return self._decayed_count / window_s + self.prior * prior_weight

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._decayed_at_ms
        if elapsed_ms > 0.0:
            self._decayed_count *= math.exp(-elapsed_ms / self.window_ms)
            self._decayed_at_ms = now_ms


@define
class RequestBucket:
    """Bound the rate of requests to an upstream that names a limit; it starts empty."""

    updated_ms: float
    requests: float = 0.0

    def refill(self, per_second: float, now_ms: float) -> None:
        """Add the requests that the limit allows since the last call."""
        earned = request_rate(per_second) * max(0.0, now_ms - self.updated_ms)
        burst = 1.0 + request_rate(per_second) * BURST_MS
        self.requests = min(burst, self.requests + earned)
        self.updated_ms = max(self.updated_ms, now_ms)

    def next_ms(self, per_second: float) -> float:
        """Return the time until the limit allows a request."""
        return max(0.0, 1.0 - self.requests) / request_rate(per_second)


def request_rate(per_second: float) -> float:
    """Return the requests per millisecond that a named limit allows."""
    return max(per_second, MIN_REQUESTS_PER_SECOND) / MS_PER_SECOND

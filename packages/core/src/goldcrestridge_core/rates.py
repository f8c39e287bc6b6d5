"""Decaying rates of events."""

from __future__ import annotations

import math

from attrs import define

from goldcrestridge_core.clock import MS_PER_SECOND


@define
class Rate:
    """Estimate events per second over about ``window_ms``.

    ``prior`` is the rate assumed before anything was observed; its influence fades with the
    window, so the estimate is neither zero nor too high at the start.
    """

    window_ms: float
    prior: float = 0.0
    started_ms: float = 0.0
    _sum: float = 0.0
    _at_ms: float = 0.0

    def restart(self, prior: float, now_ms: float) -> None:
        """Forget all observations and assume ``prior`` events per second."""
        self.prior = prior
        self.started_ms = now_ms
        self._sum = 0.0
        self._at_ms = now_ms

    def add(self, now_ms: float, value: float = 1.0) -> None:
        """Record ``value`` events."""
        self._decay(now_ms)
        self._sum += value

    def per_second(self, now_ms: float) -> float:
        """Return the estimated events per second."""
        self._decay(now_ms)
        window_s = self.window_ms / MS_PER_SECOND
        faded = math.exp(-max(0.0, now_ms - self.started_ms) / self.window_ms)
        return self._sum / window_s + self.prior * faded

    def _decay(self, now_ms: float) -> None:
        elapsed = now_ms - self._at_ms
        if elapsed > 0.0:
            self._sum *= math.exp(-elapsed / self.window_ms)
            self._at_ms = now_ms

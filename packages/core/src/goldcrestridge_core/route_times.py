"""Usual time of the requests of each route, from those that this node has forwarded."""

from __future__ import annotations

from attrs import define, field

# Weights of a new time in the mean and in the mean deviation, and the deviations that are added to
# the mean, as in the retransmission timer of TCP (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0
# Bounds the memory; versions may rename routes.
MAX_ROUTES = 1_000


@define
class RouteTimes:
    """Mean and mean deviation of the time of a route, in milliseconds."""

    _times: dict[str, tuple[float, float]] = field(factory=dict)

    def record(self, route: str, took_ms: float) -> None:
        """Record the time of one request from its sending to the end of its answer."""
        known = self._times.get(route)
        if known is None:
            if len(self._times) >= MAX_ROUTES:
                self._times.clear()
            self._times[route] = (took_ms, took_ms / 2)
            return
        mean_ms, deviation_ms = known
        deviation_ms += (abs(took_ms - mean_ms) - deviation_ms) * DEVIATION_WEIGHT
        mean_ms += (took_ms - mean_ms) * MEAN_WEIGHT
        self._times[route] = (mean_ms, deviation_ms)

    def usual_ms(self, route: str, limit_ms: float) -> float:
        """Return within which time most requests of a route end, at most ``limit_ms``."""
        if route not in self._times:
            return limit_ms
        mean_ms, deviation_ms = self._times[route]
        return min(limit_ms, mean_ms + DEVIATIONS * deviation_ms)

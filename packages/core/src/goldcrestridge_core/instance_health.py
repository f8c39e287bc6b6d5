"""Health and load of one upstream instance as one entry node knows it."""

from __future__ import annotations

import math

from attrs import define

# Backoff of an instance after its first failure; it doubles with each consecutive failure.
INITIAL_BACKOFF_MS = 400.0
MAX_BACKOFF_MS = 6_000.0
# Maximum age of a load report from an answer header. After that only the in-flight counts of the
# entry nodes are used.
REPORT_VALID_MS = 1_500.0
# The failure share is an EWMA over about ten requests. It also decays with this half-life, so that
# an instance that gets no requests is eventually tried again.
FAILURE_EWMA_WEIGHT = 0.1
FAILURE_HALF_LIFE_MS = 4_000.0


@define
class InstanceHealth:
    """Health and load of one instance as this node knows it."""

    in_flight: int = 0
    consecutive_failures: int = 0
    backoff_until_ms: float = 0.0
    failure_share: float = 0.0
    failure_updated_ms: float = 0.0
    reported_requests: int = 0  # Running and waiting requests in the last load report.
    in_flight_at_report: int = 0
    reported_ms: float = float("-inf")
    peer_requests: int = 0  # In-flight requests of all other entry nodes.
    replaced: bool = False  # Another instance answers at its address.
    unreachable_ms: float = float("-inf")  # Time of the last refused connection.

    def failure_share_at(self, now_ms: float) -> float:
        """Return the failure share, decayed since the last update."""
        if not self.failure_share:
            return 0.0
        age_ms = max(0.0, now_ms - self.failure_updated_ms)
        return self.failure_share * math.exp2(-age_ms / FAILURE_HALF_LIFE_MS)

    def record(self, failed: bool, now_ms: float) -> None:
        """Update the failure share with the outcome of one request."""
        share = self.failure_share_at(now_ms)
        self.failure_share = share + (float(failed) - share) * FAILURE_EWMA_WEIGHT
        self.failure_updated_ms = now_ms

    def record_success(self, now_ms: float) -> None:
        """Record an answer and end the backoff."""
        self.consecutive_failures = 0
        self.backoff_until_ms = 0.0
        self.record(failed=False, now_ms=now_ms)

    def record_failure(self, now_ms: float) -> None:
        """Record a failure, such as a cut connection, and start the backoff."""
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**self.consecutive_failures)
        self.consecutive_failures += 1
        self.backoff_until_ms = now_ms + backoff_ms
        self.record(failed=True, now_ms=now_ms)

    def load_at(self, now_ms: float) -> float:
        """Return the estimated number of running and waiting requests."""
        in_flight = self.in_flight + self.peer_requests
        if now_ms - self.reported_ms > REPORT_VALID_MS:
            return float(in_flight)
        started_since_report = self.in_flight - self.in_flight_at_report
        return float(max(in_flight, self.reported_requests + started_since_report))

    def set_reported_load(self, requests: int, now_ms: float) -> None:
        """Store the number of running and waiting requests that the instance reported."""
        self.reported_requests = requests
        self.reported_ms = now_ms
        self.in_flight_at_report = self.in_flight

"""Bound on the retries to a service by all entry nodes together, in any sliding window."""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen


@frozen
class BudgetState:
    """What one service has left in the window: retries and requests counted, retries allowed."""

    retries: int
    requests: int
    allowed: float

    def __str__(self) -> str:
        """Return the state as the request log shows it."""
        return f"{self.retries} of {self.allowed:.1f} retries, {self.requests} requests"


@define
class WindowBudget:
    """Bound on retries to a service in any sliding window: a share of its requests plus ``extra``.

    Every send of a request after the first that reaches an upstream counts, even if the upstream
    rejects it. The extra retries are split evenly over the live entry nodes, so that all of them
    together stay within the bound without coordination.
    """

    share: float
    extra: float
    window_ms: float
    live_entries: int = 1
    _requests: dict[str, deque[float]] = field(factory=dict)
    _retries: dict[str, deque[float]] = field(factory=dict)

    def set_entries(self, count: int, _now_ms: float) -> None:
        """Apply the list of live entry nodes."""
        self.live_entries = max(1, count)

    def record_request(self, service: str, now_ms: float) -> None:
        """Count one request to a service."""
        self._recent(self._requests, service, now_ms).append(now_ms)

    def state(self, service: str, now_ms: float) -> BudgetState:
        """Return what a service has left."""
        retries = len(self._recent(self._retries, service, now_ms))
        requests = len(self._recent(self._requests, service, now_ms))
        return BudgetState(
            retries, requests, self.share * requests + self.extra / self.live_entries
        )

    def spend(self, service: str, now_ms: float) -> bool:
        """Spend one retry; return False if the window has none left for this entry node."""
        state = self.state(service, now_ms)
        if state.retries + 1 > state.allowed:
            return False
        self._retries[service].append(now_ms)
        return True

    def _recent(self, times: dict[str, deque[float]], service: str, now_ms: float) -> deque[float]:
        """Drop the times before the window and return the others."""
        recent = times.setdefault(service, deque())
        while recent and recent[0] <= now_ms - self.window_ms:
            recent.popleft()
        return recent

"""Retry budgets: repeats allowed as a share of requests."""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field

# Balance lost by a factor of e in this time. When one of five engines fails, a fifth of the
# running streams must move at once; at streams of 10 s, 60 s of completions times the default
# share of 0.1 cover them.
WINDOW_MS = 60_000.0


@define
class RetryBudget:
    """Balance per class: a completion adds ``share``, a repeat costs one, and time decays it.

    Each entry earns from its own completions only, so the sum over all entries never exceeds the
    share over the fleet, without any message between entries.
    """

    share: float
    _balances: dict[str, tuple[float, float]] = field(factory=dict)

    def balance(self, class_name: str, now_ms: float) -> float:
        """Return the number of repeats that the class has earned and not used."""
        value, at_ms = self._balances.get(class_name, (0.0, now_ms))
        return value * math.exp(-max(0.0, now_ms - at_ms) / WINDOW_MS)

    def record_completion(self, class_name: str, now_ms: float) -> None:
        """Credit one successfully completed request."""
        self._balances[class_name] = (self.balance(class_name, now_ms) + self.share, now_ms)

    def can_spend(self, class_name: str, now_ms: float) -> bool:
        """Return whether the balance covers one repeat."""
        # The tolerance makes ten credits of 0.1 worth one repeat despite rounding.
        return self.balance(class_name, now_ms) >= 1.0 - 1e-9

    def spend(self, class_name: str, now_ms: float) -> bool:
        """Take one repeat from the balance; return False if it does not cover one."""
        if not self.can_spend(class_name, now_ms):
            return False
        balance = self.balance(class_name, now_ms)
        self._balances[class_name] = (max(0.0, balance - 1.0), now_ms)
        return True


@define
class WindowBudget:
    """Repeats to a service allowed in any window: a share of its requests, and some more.

    Every arrival beyond the first of a request counts, also one that an upstream rejects. The
    extra repeats are split evenly over the live entry nodes, so that all of them together stay
    within the bound without a message between them.
    """

    share: float
    extra: float
    window_ms: float
    _requests: dict[str, deque[float]] = field(factory=dict)
    _repeats: dict[str, deque[float]] = field(factory=dict)

    def record_request(self, service: str, now_ms: float) -> None:
        """Count one request for a service."""
        self._recent(self._requests, service, now_ms).append(now_ms)

    def spend(self, service: str, entries: int, now_ms: float) -> bool:
        """Take one repeat; return False if the window has none left."""
        repeats = self._recent(self._repeats, service, now_ms)
        requests = self._recent(self._requests, service, now_ms)
        allowed = self.share * len(requests) + self.extra / max(1, entries)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now_ms)
        return True

    def _recent(self, times: dict[str, deque[float]], service: str, now_ms: float) -> deque[float]:
        """Return the times within the window."""
        recent = times.setdefault(service, deque())
        while recent and recent[0] <= now_ms - self.window_ms:
            recent.popleft()
        return recent

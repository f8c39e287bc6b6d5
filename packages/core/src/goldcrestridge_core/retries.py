"""Retry budgets: bounds on retries as a share of requests."""

from __future__ import annotations

import math

from attrs import define, field

# Time constant of the decay of a balance. When one of five engines fails, a fifth of the running
# streams must be continued on other engines at once. With streams of 10 s, the completions of 60 s
# at the default share of 0.1 cover them.
DECAY_TIME_MS = 60_000.0


@define
class RetryBudget:
    """Balance per class: a completion adds ``share``, a retry costs 1, and the balance decays.

    Each entry node is credited for its own completions only, so the retries of all entry nodes
    together stay within the share without coordination.
    """

    share: float
    _balances: dict[str, tuple[float, float]] = field(factory=dict)

    def balance(self, class_name: str, now_ms: float) -> float:
        """Return the decayed balance of a class, in retries."""
        value, at_ms = self._balances.get(class_name, (0.0, now_ms))
        return value * math.exp(-max(0.0, now_ms - at_ms) / DECAY_TIME_MS)

    def record_completion(self, class_name: str, now_ms: float) -> None:
        """Credit one successfully completed request."""
        self._balances[class_name] = (self.balance(class_name, now_ms) + self.share, now_ms)

    def can_spend(self, class_name: str, now_ms: float) -> bool:
        """Return whether the balance covers one retry."""
        # With the tolerance, ten credits of 0.1 cover one retry despite rounding.
        return self.balance(class_name, now_ms) >= 1.0 - 1e-9

    def spend(self, class_name: str, now_ms: float) -> bool:
        """Deduct one retry from the balance; return False if it does not cover one."""
        if not self.can_spend(class_name, now_ms):
            return False
        balance = self.balance(class_name, now_ms)
        self._balances[class_name] = (max(0.0, balance - 1.0), now_ms)
        return True

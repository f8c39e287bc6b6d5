"""Retry budget: repeats allowed as a share of successfully completed requests, per class."""

from __future__ import annotations

import math

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

    def completed(self, class_name: str, now_ms: float) -> None:
        """Credit one successfully completed request."""
        self._balances[class_name] = (self.balance(class_name, now_ms) + self.share, now_ms)

    def affords(self, class_name: str, now_ms: float) -> bool:
        """Return whether the balance covers one repeat."""
        # The tolerance makes ten credits of 0.1 worth one repeat despite rounding.
        return self.balance(class_name, now_ms) >= 1.0 - 1e-9

    def spend(self, class_name: str, now_ms: float) -> bool:
        """Take one repeat from the balance; return False if it does not cover one."""
        if not self.affords(class_name, now_ms):
            return False
        balance = self.balance(class_name, now_ms)
        self._balances[class_name] = (max(0.0, balance - 1.0), now_ms)
        return True

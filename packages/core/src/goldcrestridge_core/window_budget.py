"""Bound on the retries to a service by all entry nodes together, in any sliding window."""

from __future__ import annotations

import itertools
import math
from collections import Counter
from collections.abc import Callable

from attrs import define, field, frozen

# Resolution of the windows. Requests of the slots at their ends are left out.
SLOTS_PER_WINDOW = 100
# The requests of a window are those of it, of the one before, or of the one half a window before,
# whichever has most. Nodes that don't know which one that is use the mean, since the means of all
# nodes add up to the mean of the sums, which the largest sum is never below.
WINDOW_CHOICES = 3


@frozen
class BudgetState:
    """Retries and requests counted in the window, and how many more retries are allowed."""

    retries: int
    requests: int
    left: float

    def __str__(self) -> str:
        """Return the state as the request log shows it."""
        return f"{self.retries} retries for {self.requests} requests, {self.left:.1f} left"


@define
class _ServiceCounts:
    """Requests and retries of one service by slot, and the retries under way."""

    requests: Counter[int] = field(factory=Counter)
    retries: Counter[int] = field(factory=Counter)
    under_way: int = 0

    def forget(self, oldest: int) -> None:
        """Forget what lies before a slot; slots are added nearly in the order of their times."""
        for counts in (self.requests, self.retries):
            while counts and (first := next(iter(counts))) < oldest:
                del counts[first]


def _whole(_now_ms: float, /) -> float:
    return 1.0


@define
class WindowBudget:
    """Bound on retries to a service in any sliding window: a share of its requests plus ``extra``.

    Every send of a request after the first that reaches an upstream counts, even if the upstream
    rejects it. It arrives at some time between ``spend`` and ``settle``, so it counts in all
    windows that hold a part of that time. ``part`` returns this node's part of the extra retries
    at a monotonic time in milliseconds, as a share; the parts of all entry nodes within one
    window are at most 1 together.
    """

    share: float
    extra: float
    window_ms: float
    part: Callable[[float], float] = _whole
    _services: dict[str, _ServiceCounts] = field(factory=dict)

    def record_request(self, service: str, now_ms: float) -> None:
        """Count one request to a service."""
        slot = self._slot(now_ms)
        self._counts(service, slot).requests[slot] += 1

    def state(self, service: str, now_ms: float) -> BudgetState:
        """Return what a service has left."""
        slot = self._slot(now_ms)
        counts = self._counts(service, slot)
        recent = range(slot - SLOTS_PER_WINDOW, slot + 1)
        return BudgetState(
            counts.under_way + sum(counts.retries.get(number, 0) for number in recent),
            sum(counts.requests.get(number, 0) for number in recent),
            self._left(counts, slot, now_ms),
        )

    def spend(self, service: str, now_ms: float) -> bool:
        """Spend one retry that is sent now; return False if this entry node has none left."""
        slot = self._slot(now_ms)
        counts = self._counts(service, slot)
        if self._left(counts, slot, now_ms) < 1.0:
            return False
        counts.under_way += 1
        return True

    def settle(self, service: str, arrived: bool, now_ms: float) -> None:
        """Record that a retry has arrived by now, or that it was not sent and costs nothing."""
        slot = self._slot(now_ms)
        counts = self._counts(service, slot)
        counts.under_way -= 1
        if arrived:
            counts.retries[slot] += 1

    def _slot(self, now_ms: float) -> int:
        return int(now_ms * SLOTS_PER_WINDOW // self.window_ms)

    def _counts(self, service: str, slot: int) -> _ServiceCounts:
        counts = self._services.setdefault(service, _ServiceCounts())
        counts.forget(slot - 2 * SLOTS_PER_WINDOW)
        return counts

    def _left(self, counts: _ServiceCounts, slot: int, now_ms: float) -> float:
        """Return how many retries fit now into every window that holds the present.

        Such a window began in one of the last slots. The requests that will come in it are unknown.
        """
        size, half = SLOTS_PER_WINDOW, SLOTS_PER_WINDOW // 2
        first = slot - 2 * size
        # Requests in the slots before each slot; the last item is the sum of all.
        before = list(
            itertools.accumulate(
                (counts.requests.get(number, 0) for number in range(first, slot + 1)), initial=0
            )
        )
        extra = self.extra * self.part(now_ms)
        share = self.share / WINDOW_CHOICES
        left = math.inf
        retries = counts.under_way
        for start in range(2 * size, size - 1, -1):
            retries += counts.retries.get(first + start, 0)
            # The window of ``start``, the one half a window before, and the one before.
            known = (
                before[-1]
                - before[start + 1]
                + before[min(start + half, 2 * size + 1)]
                - before[start - half + 1]
                + before[start]
                - before[start - size + 1]
            )
            left = min(left, share * known + extra - retries)
        return left

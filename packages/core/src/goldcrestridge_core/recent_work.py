"""Recent work of one service, and how many of its engines each kind of request needs."""

from __future__ import annotations

import math

from attrs import define, field

from goldcrestridge_core.follow_types import ServiceWork

# A long prompt queues behind other long prompts, so at equal utilisation it waits longer than a
# short one. The weight gives long prompts slightly more engines than their share of the work.
LONG_PROMPT_WEIGHT = 1.15
# The partition follows the work of about this time, and changes only if the ideal engine count
# differs from the current one by more than the hysteresis.
WORK_TIME_CONSTANT_MS = 1_500.0
PARTITION_HYSTERESIS = 0.65
# With a smaller share of the work, no engine is kept for short prompts.
MIN_SHORT_SHARE = 0.01


@define
class RecentWork:
    """Recent work of one service by kind of request, at this node and at its peers."""

    short: float = 0.0
    long: float = 0.0
    tight: float = 0.0
    updated_ms: float = 0.0
    peers: ServiceWork = field(factory=lambda: ServiceWork("", 0.0, 0.0))
    long_count: int = 0  # Engines for long prompts.
    tight_count: int = 0  # Engines reserved for tight streams.

    def decay(self, now_ms: float) -> None:
        """Decay the recorded work exponentially up to ``now_ms``."""
        factor = math.exp(-max(0.0, now_ms - self.updated_ms) / WORK_TIME_CONSTANT_MS)
        self.short *= factor
        self.long *= factor
        self.tight *= factor
        self.updated_ms = now_ms

    @property
    def has_both_kinds(self) -> bool:
        """Return whether there are long prompts, and short ones that need engines of their own."""
        long, short = self.long + self.peers.long, self.short + self.peers.short
        return bool(long) and short >= MIN_SHORT_SHARE * (long + short)

    @property
    def has_tight(self) -> bool:
        """Return whether there are streams that allow only short gaps."""
        return bool(self.tight + self.peers.tight)

    def long_engines(self, engines: int, min_short: int) -> int:
        """Return the number of engines for long prompts, leaving ``min_short`` for the others."""
        long = LONG_PROMPT_WEIGHT * (self.long + self.peers.long)
        total = long + self.short + self.peers.short
        wanted = engines * long / total if total else 0.0
        if (
            abs(wanted - self.long_count) > PARTITION_HYSTERESIS
            or not 0 < self.long_count < engines
        ):
            self.long_count = round(wanted)
        self.long_count = min(max(self.long_count, 1), engines - 1)
        return max(1, min(self.long_count, engines - min_short))

    def tight_engines(self, engines: int, min_tight: int) -> int:
        """Return how many engines for short prompts are reserved for tight streams."""
        short = self.short + self.peers.short
        share = (self.tight + self.peers.tight) / short if short else 0.0
        return max(1, min(max(round(engines * share), min_tight), engines - 1))

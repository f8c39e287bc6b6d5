"""Network simulation in virtual time with seeded faults.

Tests, state machines and the fuzz tool use it. Messages can be lost, duplicated, delayed (and so
reordered), or blocked in one direction.
"""

from __future__ import annotations

import heapq
from random import Random
from typing import Any

from attrs import Factory, define


@define
class SimulatedNetwork:
    """Network between named nodes; ``in_flight`` is a heap ordered by arrival time.

    ``loss`` and ``duplication`` are probabilities per message. Each copy takes ``delay_ms`` plus a
    uniformly random part of ``jitter_ms``. ``blocked`` holds the directed links (source, target)
    that drop all messages.
    """

    rng: Random
    delay_ms: float = 1.0
    jitter_ms: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    blocked: set[tuple[str, str]] = Factory(set)
    in_flight: list[tuple[float, int, str, str, Any]] = Factory(list)
    sequence: int = 0
    sent: int = 0

    def send(self, source: str, target: str, message: Any, now_ms: float) -> None:
        """Queue a message for delivery, or drop it."""
        self.sent += 1
        if (source, target) in self.blocked or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            self.sequence += 1
            arrival_ms = now_ms + self.delay_ms + self.rng.random() * self.jitter_ms
            heapq.heappush(self.in_flight, (arrival_ms, self.sequence, source, target, message))

    def next_arrival_ms(self) -> float | None:
        """Return the arrival time of the next message, None if none is in flight."""
        return self.in_flight[0][0] if self.in_flight else None

    def receive(self, now_ms: float) -> tuple[str, str, Any] | None:
        """Return the next message due as (source, target, message), None if none is due.

        A message whose link was blocked after it was sent is dropped.
        """
        while self.in_flight and self.in_flight[0][0] <= now_ms:
            _, _, source, target, message = heapq.heappop(self.in_flight)
            if (source, target) not in self.blocked:
                return source, target, message
        return None

    def block(self, source: str, target: str, both: bool = False) -> None:
        """Drop all messages from ``source`` to ``target``; with ``both`` also the other way."""
        self.blocked.add((source, target))
        if both:
            self.blocked.add((target, source))

    def heal(self) -> None:
        """Clear all faults; messages in flight still arrive."""
        self.blocked.clear()
        self.loss = 0.0
        self.duplication = 0.0
        self.jitter_ms = 0.0

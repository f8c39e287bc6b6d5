"""What was admitted to one model engine, kept by the engine's owner.

Load pattern that it answers: long prompts come faster than the engine reads them. Engines read
prompts in the order of their arrival, so without a bound all requests of a burst come too late.
The owner admits only what the engine begins to read in time, and what its memory holds beside the
parts that prompts share.
"""

from __future__ import annotations

import math

from attrs import define, field

from goldcrestridge_core.engine_types import EngineRequest

# Share of an engine's memory for running requests; the rest keeps parts that prompts share.
MEMORY_SHARE = 0.6
# Tokens that an engine reads in a millisecond until its own rate is known, and the bounds of that.
INITIAL_TOKENS_PER_MS = 30.0
MIN_TOKENS_PER_MS = 4.0
MAX_TOKENS_PER_MS = 60.0
RATE_EWMA_WEIGHT = 0.1
# Time from the admission of a request to its end until the engine's own is known, and the weight
# of each further one in the mean: some 20 requests, as many as an engine has slots.
INITIAL_RUN_MS = 500.0
RUN_EWMA_WEIGHT = 0.05
# For this time after an urgent request was refused, less urgent ones may wait only this share of
# its time, so that the engine's queue becomes short enough for it.
YIELD_MS = 250.0
YIELD_SHARE = 0.5
# An admission is dropped this long after its request must have ended.
EXPIRY_MS = 1_000.0


@define
class _Admission:
    work: float
    memory: float
    granted_ms: float
    expires_ms: float
    prefilling: bool = True


@define
class EngineLedger:
    """Admissions to one engine, and the rate at which it reads prompts."""

    tokens_per_ms: float = INITIAL_TOKENS_PER_MS
    run_ms: float = INITIAL_RUN_MS
    _admitted: dict[str, _Admission] = field(factory=dict)
    _last_start_ms: float = float("-inf")
    # For each priority when a request was last refused, and how long that might have waited.
    _refused: dict[int, tuple[float, float]] = field(factory=dict)

    def admit(self, request: EngineRequest, now_ms: float) -> float | None:
        """Admit a request, or return the wait that is too long for it."""
        self._expire(now_ms)
        wait_ms = self._wait_ms(request, now_ms)
        if wait_ms > self._max_wait_ms(request, now_ms):
            self._refused[request.priority] = (now_ms, request.longest_ms)
            return wait_ms
        self._admitted[request.ticket] = _Admission(
            request.work, request.memory, now_ms, now_ms + request.limit_ms + EXPIRY_MS
        )
        return None

    def record_start(self, ticket: str, now_ms: float) -> None:
        """Note that the engine has read a prompt, and learn its rate."""
        item = self._admitted.get(ticket)
        if item is None or not item.prefilling:
            return
        item.prefilling = False
        took_ms = now_ms - max(item.granted_ms, self._last_start_ms)
        self._last_start_ms = now_ms
        if took_ms > 0:
            seen = min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, item.work / took_ms))
            self.tokens_per_ms += (seen - self.tokens_per_ms) * RATE_EWMA_WEIGHT

    def release(self, ticket: str, now_ms: float) -> None:
        """Forget a request that has ended, and learn how long requests take."""
        item = self._admitted.pop(ticket, None)
        if item is not None and not item.prefilling:
            self.run_ms += (now_ms - item.granted_ms - self.run_ms) * RUN_EWMA_WEIGHT

    def _wait_ms(self, request: EngineRequest, now_ms: float) -> float:
        """Return the expected time until the engine begins to read; an idle one does at once."""
        if not self._admitted:
            return 0.0
        prefilling = [item for item in self._admitted.values() if item.prefilling]
        # Prompts are read in order, so a new one waits about as long as the oldest has waited,
        # whatever the works and the rate were taken for.
        oldest_ms = max((now_ms - item.granted_ms for item in prefilling), default=0.0)
        wait_ms = max(sum(item.work for item in prefilling) / self.tokens_per_ms, oldest_ms)
        memory = sum(item.memory for item in self._admitted.values()) + request.memory
        room = MEMORY_SHARE * request.capacity or math.inf
        # An engine without room has some again once enough of its requests have ended.
        excess = max(len(self._admitted) + 1 - request.slots, 0) / request.slots
        return wait_ms + self.run_ms * max(excess, memory / room - 1.0)

    def _max_wait_ms(self, request: EngineRequest, now_ms: float) -> float:
        """Return how long a request may wait, less while more urgent ones are refused."""
        if request.late:
            return request.longest_ms
        bounds = (
            YIELD_SHARE * longest_ms
            for priority, (refused_ms, longest_ms) in self._refused.items()
            if priority < request.priority and now_ms - refused_ms < YIELD_MS
        )
        return max(0.0, min((request.longest_ms, *bounds)))

    def _expire(self, now_ms: float) -> None:
        expired = [name for name, item in self._admitted.items() if item.expires_ms <= now_ms]
        for name in expired:
            del self._admitted[name]

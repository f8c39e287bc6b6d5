"""Ledger of the requests admitted to one model engine, kept by the engine owner.

Traffic patterns that it handles:
- Long prompts arrive faster than the engine prefills them. Engines prefill prompts in order of
  arrival, so without a bound all requests of a burst would be late. The engine owner admits only
  requests whose prefill begins in time and whose memory fits next to the shared prefixes in the
  cache.
- Answers or entry nodes are lost under load. The end of such a prefill is never reported, so the
  engine counts as busy with it only until a later prompt has been prefilled.
"""

from __future__ import annotations

import math

from attrs import define, field

from goldcrestridge_core.demand import prefill_work
from goldcrestridge_core.engine_cache import EngineCache, PromptPart
from goldcrestridge_core.engine_types import EngineGrant, EngineRefusal, EngineRequest, WaitCause

# Share of an engine's memory for running requests; the rest caches shared prefixes.
MEMORY_SHARE = 0.6
# Initial estimate of the prefill rate of an engine, and the bounds on a measured rate.
INITIAL_TOKENS_PER_MS = 30.0
MIN_TOKENS_PER_MS = 4.0
MAX_TOKENS_PER_MS = 60.0
RATE_EWMA_WEIGHT = 0.1
# Initial estimate of the time from admission to the end of a request, and the EWMA weight of each
# measured time. The mean covers about 20 requests, as many as an engine has slots.
INITIAL_RUN_MS = 500.0
RUN_EWMA_WEIGHT = 0.05
# For YIELD_MS after a refusal, less urgent requests may wait only YIELD_SHARE of the longest wait
# of the refused one, so that the engine's queue becomes short enough for its priority.
YIELD_MS = 250.0
YIELD_SHARE = 0.5
# An admission that was not released is dropped this long after the time limit of its request.
EXPIRY_MS = 1_000.0
# An overtaken request occupies its slot for this multiple of the mean run time at most.
OVERTAKEN_RUN_FACTOR = 2.0
# An owner knows what an engine holds once it has admitted the requests there for this time, or
# since the start of the engine.
CACHE_UNKNOWN_MS = 10_000.0
# To get a part from another engine takes at least this long.
FETCH_SETUP_MS = 10.0
# The ledger of an engine that got no request for this time is dropped.
IDLE_LEDGER_MS = 120_000.0
# An engine that ended no prefill and got no request for this time gets one whatever the age of its
# oldest prompt, since it may be idle and the answer of that prompt lost.
PROBE_INTERVAL_MS = 1_000.0


@define
class _Admission:
    work: float
    memory: float
    priority: int
    granted_ms: float
    expires_ms: float
    prefilling: bool = True  # The prefill has not ended; it may not have begun either.
    # A later prompt was prefilled first. Either the output of this one is lost, or its entry node.
    overtaken: bool = False
    parts: tuple[PromptPart, ...] = ()


@define
class EngineLedger:
    """Admissions to one engine, with estimates of its prefill rate, its run time and its cache.

    ``since_ms`` is the time of the first request; ``born`` names the run of the engine.
    """

    since_ms: float = -math.inf
    born: int = 0
    tokens_per_ms: float = INITIAL_TOKENS_PER_MS
    run_ms: float = INITIAL_RUN_MS
    _admitted: dict[str, _Admission] = field(factory=dict)
    _last_prefill_end_ms: float = -math.inf
    _last_grant_ms: float = -math.inf
    _slots: int = 0
    _cache: EngineCache = field(factory=EngineCache)
    # By priority: the time of the last refusal, and the longest wait that the request allowed.
    _refused: dict[int, tuple[float, float]] = field(factory=dict)

    def admit(self, request: EngineRequest, now_ms: float) -> EngineGrant | EngineRefusal:
        """Admit a request, or refuse it if the expected wait is too long."""
        self._expire(now_ms)
        self._recognise_run(request.born, now_ms)
        parts = request.prompt.parts if request.prompt is not None else ()
        wait_ms, cause = self._expected_wait(request, now_ms)
        if wait_ms > self._max_wait_ms(request, now_ms):
            self._refused[request.priority] = (now_ms, request.longest_ms)
            held = self._cache.read_tokens(parts)
            return EngineRefusal(request.ticket, request.instance, wait_ms, cause, held)
        missing = sum(part.tokens for part in parts) - self._cache.held_tokens(parts)
        fetch = self._is_fetch_cheaper(request, missing)
        self._admitted[request.ticket] = _Admission(
            self._work(request, missing, fetch, now_ms),
            request.memory,
            request.priority,
            now_ms,
            now_ms + request.limit_ms + EXPIRY_MS,
            parts=parts,
        )
        running = sum(item.memory for item in self._admitted.values())
        self._cache.begin(request.ticket, parts, request.capacity - running)
        self._last_grant_ms, self._slots = now_ms, request.slots
        return EngineGrant(request.ticket, request.instance, wait_ms, cause, missing, fetch)

    def is_idle(self, now_ms: float) -> bool:
        """Tell whether the engine got no request for long."""
        last_ms = max(self._last_grant_ms, self.since_ms)
        expired = all(item.expires_ms <= now_ms for item in self._admitted.values())
        return expired and now_ms - last_ms >= IDLE_LEDGER_MS

    def _recognise_run(self, born: int, now_ms: float) -> None:
        """Clear the cache if the engine has started again under its name."""
        if born > self.born:
            if self.born:
                self._cache.clear()
                self.since_ms = -math.inf
            self.born = born

    def _is_fetch_cheaper(self, request: EngineRequest, missing_tokens: int) -> bool:
        """Tell whether missing tokens are had sooner from another engine than by reading them."""
        prompt = request.prompt
        if prompt is None or prompt.transfer_ms_per_token is None or not missing_tokens:
            return False
        transfer_ms = FETCH_SETUP_MS + missing_tokens * prompt.transfer_ms_per_token
        return transfer_ms < missing_tokens / self.tokens_per_ms

    def _work(
        self, request: EngineRequest, missing_tokens: int, fetch: bool, now_ms: float
    ) -> float:
        """Return the work of a request that lacks some tokens of its shared parts."""
        prompt = request.prompt
        if prompt is None:
            return request.work
        if missing_tokens and now_ms - self.since_ms < CACHE_UNKNOWN_MS:
            return request.work
        fetched = min(missing_tokens, request.fetchable_tokens) if fetch else 0
        own_tokens = prompt.prompt_tokens - prompt.shared_tokens
        unread = own_tokens + missing_tokens - fetched
        more = prefill_work(prompt.prompt_tokens, unread)
        return prompt.cached_work + more - prefill_work(prompt.prompt_tokens, own_tokens)

    def record_prefill_end(self, ticket: str, now_ms: float) -> None:
        """Record the end of a prefill and update the rate estimate."""
        item = self._admitted.get(ticket)
        if item is None or not item.prefilling:
            return
        item.prefilling = False
        self._cache.record_read(item.parts)
        self._mark_overtaken(item)
        took_ms = now_ms - max(item.granted_ms, self._last_prefill_end_ms)
        self._last_prefill_end_ms = now_ms
        if took_ms > 0:
            measured = min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, item.work / took_ms))
            self.tokens_per_ms += (measured - self.tokens_per_ms) * RATE_EWMA_WEIGHT

    def _mark_overtaken(self, ended: _Admission) -> None:
        """Mark the earlier prompts that the engine would have prefilled before this one.

        Engines prefill in the order of admission, but give free slots to urgent requests first.
        """
        has_queue = len(self._admitted) > self._slots
        for item in self._admitted.values():
            earlier = item.prefilling and item.granted_ms < ended.granted_ms
            if earlier and (not has_queue or item.priority <= ended.priority):
                item.overtaken = True

    def release(self, ticket: str, now_ms: float) -> None:
        """Remove a request that has ended and update the run time estimate."""
        item = self._admitted.pop(ticket, None)
        if item is None:
            return
        if item.prefilling:
            self._cache.cancel(ticket, item.parts)
        else:
            self.run_ms += (now_ms - item.granted_ms - self.run_ms) * RUN_EWMA_WEIGHT

    def _expected_wait(self, request: EngineRequest, now_ms: float) -> tuple[float, WaitCause]:
        """Return the expected time in ms until the prefill begins, and its main cause."""
        if not self._admitted:
            return 0.0, WaitCause.NONE
        prefilling = [
            item for item in self._admitted.values() if item.prefilling and not item.overtaken
        ]
        # Prompts are prefilled in order, so a new one waits about as long as the oldest one has
        # waited, however wrong the estimates of work and rate are.
        oldest_ms = max((now_ms - item.granted_ms for item in prefilling), default=0.0)
        if now_ms - max(self._last_prefill_end_ms, self._last_grant_ms) >= PROBE_INTERVAL_MS:
            oldest_ms = 0.0
        work_ms = sum(item.work for item in prefilling) / self.tokens_per_ms
        memory = sum(item.memory for item in self._admitted.values()) + request.memory
        memory_limit = MEMORY_SHARE * request.capacity or math.inf
        # An engine without free slots or memory has some again once enough of its requests have
        # ended.
        excess = max(len(self._admitted) + 1 - request.slots, 0) / request.slots
        memory_excess = memory / memory_limit - 1.0
        queue_ms = max(work_ms, oldest_ms)
        room_ms = self.run_ms * max(excess, memory_excess)
        if room_ms > queue_ms:
            cause = WaitCause.SLOTS if excess >= memory_excess else WaitCause.MEMORY
        else:
            cause = WaitCause.PREFILL if work_ms >= oldest_ms else WaitCause.OLDEST
        return queue_ms + room_ms, cause

    def _max_wait_ms(self, request: EngineRequest, now_ms: float) -> float:
        """Return how long a request may wait; shorter while more urgent ones are refused."""
        if request.late:
            return request.longest_ms
        bounds = (
            YIELD_SHARE * longest_ms
            for priority, (refused_ms, longest_ms) in self._refused.items()
            if priority < request.priority and now_ms - refused_ms < YIELD_MS
        )
        return max(0.0, min((request.longest_ms, *bounds)))

    def _expire(self, now_ms: float) -> None:
        overtaken_ms = now_ms - OVERTAKEN_RUN_FACTOR * self.run_ms
        expired = [
            name
            for name, item in self._admitted.items()
            if item.expires_ms <= now_ms or (item.overtaken and item.granted_ms <= overtaken_ms)
        ]
        for name in expired:
            del self._admitted[name]

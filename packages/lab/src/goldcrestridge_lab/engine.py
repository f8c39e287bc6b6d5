"""Simulated model engine in virtual time: continuous batching, prefix cache, delayed reports."""

from __future__ import annotations

import enum
import heapq
import random
from collections import OrderedDict

from attrs import Factory, define, field, frozen

from goldcrestridge_core import types
from goldcrestridge_core.clock import MS_PER_SECOND

_TOKEN_TOLERANCE = 1e-6  # Fewer remaining tokens are a rounding error of the rates.


@frozen
class EngineSpec:
    """Properties of an engine; rates apply to a batch of one.

    With ``n`` requests running, every rate is divided by ``1 + batch_slowdown * (n - 1)``;
    requests in prefill share the prefill rate. An engine with ``resumes`` keeps the state of a
    disconnected request for ``resume_window_ms``. The sequence number of the next cache event is
    ``first_sequence`` plus the number of blocks added and evicted.
    """

    name: types.UpstreamId
    slots: int = 16
    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 80.0
    batch_slowdown: float = 0.04
    block_tokens: int = 64
    cache_blocks: int = 4_000
    report_interval_ms: float = 250.0
    report_lag_ms: float = 200.0
    event_delay_ms: float = 100.0
    event_loss_share: float = 0.0
    resumes: bool = False
    resume_window_ms: float = 30_000.0


@frozen
class Job:
    """A request to the engine; a lower ``priority`` runs first.

    ``output_tokens`` is the actual length of the complete response. ``delivered_tokens`` of them
    were delivered to the caller by an earlier attempt.
    """

    job_id: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...] = ()
    priority: int = 0
    delivered_tokens: int = 0


class SubmitResult(enum.Enum):
    """Result of submitting a job to an engine."""

    ACCEPTED = "accepted"
    LEAVING = "leaving"
    DOWN = "down"


@frozen
class FirstToken:
    """Event: the engine finished the prefill of a job at ``at_ms``."""

    job_id: str
    at_ms: float


@frozen
class Finished:
    """Event: the engine produced the last token of a job at ``at_ms``.

    ``output_tokens`` excludes those delivered by an earlier attempt.
    """

    job_id: str
    at_ms: float
    output_tokens: int


@frozen
class Lost:
    """Event: the engine crashed at ``at_ms`` after it produced ``output_tokens`` of a job."""

    job_id: str
    at_ms: float
    output_tokens: int


@frozen
class Delivered:
    """Event: a load report or a batch of cache events was delivered at ``at_ms``."""

    at_ms: float
    message: types.LoadReport | types.CacheEvents


EngineEvent = FirstToken | Finished | Lost | Delivered


@define
class _Sequence:
    """A job in the batch, with the tokens that remain to be prefilled and decoded.

    ``prompt_tokens`` is the number of tokens to prefill at the start, without cached ones.
    """

    job: Job
    prefill_tokens: float
    decode_tokens: float
    prompt_tokens: float
    prefill_done: bool = False

    def produced(self) -> int:
        """Return the tokens produced since the job was submitted to this engine."""
        if not self.prefill_done:
            return 0
        wanted_tokens = self.job.output_tokens - self.job.delivered_tokens
        return min(wanted_tokens, max(1, int(wanted_tokens - self.decode_tokens)))


@define
class PrefixCache:
    """Cache of prompt blocks with LRU eviction, bounded by ``capacity`` blocks."""

    capacity: int
    blocks: OrderedDict[int, None] = Factory(OrderedDict)

    def hits(self, prefix: tuple[int, ...]) -> int:
        """Return the number of leading blocks of ``prefix`` that are cached, and touch them."""
        count = 0
        for block in prefix:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            count += 1
        return count

    def add(self, prefix: tuple[int, ...]) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Cache the blocks of ``prefix`` and return the added and the evicted blocks."""
        added = tuple(block for block in prefix if block not in self.blocks)
        for block in prefix:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        excess = max(0, len(self.blocks) - self.capacity)
        evicted = tuple(self.blocks.popitem(last=False)[0] for _ in range(excess))
        return added, evicted


@define
class Engine:
    """Simulated engine; call ``advance`` with the current time before any other method."""

    spec: EngineSpec
    rng: random.Random
    now_ms: float = 0.0
    slow_factor: float = 1.0
    leaving: bool = False
    down: bool = False
    cache: PrefixCache = field(init=False)
    produced_tokens: int = 0
    prefilled_tokens: int = 0
    _running: dict[str, _Sequence] = Factory(dict)
    _waiting: list[tuple[int, int, Job]] = Factory(list)
    _suspended: dict[str, tuple[_Sequence, float]] = Factory(dict)
    _pending_messages: list[tuple[float, int, types.LoadReport | types.CacheEvents]] = Factory(list)
    _counter: int = 0
    _sequence: int = 1
    _report_at_ms: float = 0.0
    _cached_step_ms: float | None = None  # Result of _next_step_ms, None if outdated.

    def __attrs_post_init__(self) -> None:
        """Start the report timer at a random phase, so that engines do not report in step."""
        self.cache = PrefixCache(self.spec.cache_blocks)
        self._report_at_ms = self.now_ms + self.rng.random() * self.spec.report_interval_ms

    @property
    def running(self) -> int:
        """Return the number of jobs in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of jobs in the queue of the engine."""
        return len(self._waiting)

    def submit(self, job: Job, now_ms: float) -> SubmitResult:
        """Queue a job, or refuse it; a suspended job resumes when it is started."""
        if self.down:
            return SubmitResult.DOWN
        if self.leaving:
            return SubmitResult.LEAVING
        self._counter += 1
        heapq.heappush(self._waiting, (job.priority, self._counter, job))
        self._start_waiting(now_ms)
        return SubmitResult.ACCEPTED

    def cancel(self, job_id: str, now_ms: float) -> int:
        """Remove a job and return the number of tokens that it had produced."""
        self._waiting = [entry for entry in self._waiting if entry[2].job_id != job_id]
        heapq.heapify(self._waiting)
        self._suspended.pop(job_id, None)
        sequence = self._running.pop(job_id, None)
        self._cached_step_ms = None
        self._start_waiting(now_ms)
        return sequence.produced() if sequence else 0

    def disconnect(self, job_id: str, now_ms: float) -> None:
        """Cancel a job whose connection broke; an engine with ``resumes`` suspends it instead."""
        sequence = self._running.get(job_id)
        self.cancel(job_id, now_ms)
        if sequence and self.spec.resumes:
            self._suspended[job_id] = (sequence, now_ms + self.spec.resume_window_ms)

    def job_output_tokens(self, job_id: str) -> int:
        """Return the number of tokens that a running job has produced, 0 if it is not running."""
        sequence = self._running.get(job_id)
        return sequence.produced() if sequence else 0

    def job_prefilled_tokens(self, job_id: str) -> int:
        """Return the prompt tokens that a running job has prefilled, without cached ones."""
        sequence = self._running.get(job_id)
        return round(sequence.prompt_tokens - max(0.0, sequence.prefill_tokens)) if sequence else 0

    def job_ids(self) -> list[str]:
        """Return the ids of the jobs in the batch."""
        return list(self._running)

    def crash(self, now_ms: float) -> list[EngineEvent]:
        """Stop and discard all state; return an event for each lost job."""
        running = [(s.job.job_id, s.produced()) for s in self._running.values()]
        queued = [(job.job_id, 0) for _, _, job in sorted(self._waiting)]
        self._running.clear()
        self._cached_step_ms = None
        self._waiting.clear()
        self._suspended.clear()
        self._pending_messages.clear()
        self.cache = PrefixCache(self.spec.cache_blocks)
        self.down = True
        return [Lost(job_id, now_ms, tokens) for job_id, tokens in running + queued]

    def restart(self, now_ms: float) -> None:
        """Serve again with an empty cache; cache events are numbered from 1 again."""
        self.down = False
        self.leaving = False
        self._sequence = 1
        self._report_at_ms = now_ms

    def leave(self) -> None:
        """Refuse new jobs, finish accepted ones and report ``leaving`` in load reports."""
        self.leaving = True

    def set_slow_factor(self, factor: float) -> None:
        """Divide all rates by ``factor``."""
        self.slow_factor = factor
        self._cached_step_ms = None

    def next_ms(self) -> float:
        """Return the time of the next event in ms, infinity if there is none."""
        report = float("inf") if self.down else self._report_at_ms
        delivery = self._pending_messages[0][0] if self._pending_messages else float("inf")
        return min(self._next_step_ms(), report, delivery)

    def advance(self, now_ms: float) -> list[EngineEvent]:
        """Advance the model to ``now_ms`` and return the events, in order of time."""
        events: list[EngineEvent] = []
        while (at_ms := self.next_ms()) <= now_ms:
            self._process_tokens(at_ms)
            events += self._complete_steps()
            self._send_report()
            events += self._deliver_messages()
        self._process_tokens(now_ms)
        return events

    def _slowdown(self) -> float:
        batch = 1.0 + self.spec.batch_slowdown * max(0, len(self._running) - 1)
        return batch * self.slow_factor

    def _rates(self) -> tuple[float, float]:
        """Return the prefill and decode rates of each sequence in tokens per millisecond."""
        prefilling = sum(not s.prefill_done for s in self._running.values())
        slowdown = self._slowdown() * MS_PER_SECOND
        prefill = self.spec.prefill_tokens_per_s / slowdown / max(1, prefilling)
        return prefill, self.spec.decode_tokens_per_s / slowdown

    def _next_step_ms(self) -> float:
        """Return when the next sequence completes its prefill or its decode."""
        if not self._running:
            return float("inf")
        if self._cached_step_ms is not None:
            return self._cached_step_ms
        prefill, decode = self._rates()
        remaining_ms = min(
            s.decode_tokens / decode if s.prefill_done else s.prefill_tokens / prefill
            for s in self._running.values()
        )
        self._cached_step_ms = self.now_ms + max(0.0, remaining_ms)
        return self._cached_step_ms

    def _process_tokens(self, at_ms: float) -> None:
        prefill, decode = self._rates()
        elapsed_ms = at_ms - self.now_ms
        for sequence in self._running.values():
            if sequence.prefill_done:
                sequence.decode_tokens -= decode * elapsed_ms
            else:
                sequence.prefill_tokens -= prefill * elapsed_ms
        self.now_ms = at_ms

    def _complete_steps(self) -> list[EngineEvent]:
        """Complete the prefills and decodes that have no tokens left."""
        if self._cached_step_ms is not None and self.now_ms < self._cached_step_ms:
            return []
        self._cached_step_ms = None
        events: list[EngineEvent] = []
        for sequence in list(self._running.values()):
            if not sequence.prefill_done and sequence.prefill_tokens <= _TOKEN_TOLERANCE:
                sequence.prefill_done = True
                self._store_prefix(sequence.job.prefix)
                events.append(FirstToken(sequence.job.job_id, self.now_ms))
            if sequence.prefill_done and sequence.decode_tokens <= _TOKEN_TOLERANCE:
                events.append(self._finish(sequence))
        self._start_waiting(self.now_ms)
        return events

    def _finish(self, sequence: _Sequence) -> Finished:
        del self._running[sequence.job.job_id]
        tokens = sequence.job.output_tokens - sequence.job.delivered_tokens
        self.produced_tokens += tokens
        return Finished(sequence.job.job_id, self.now_ms, tokens)

    def _start_waiting(self, now_ms: float) -> None:
        """Start waiting jobs in free slots of the batch."""
        while self._waiting and len(self._running) < self.spec.slots:
            _, _, job = heapq.heappop(self._waiting)
            self._running[job.job_id] = self._start_job(job, now_ms)
            self._cached_step_ms = None

    def _start_job(self, job: Job, now_ms: float) -> _Sequence:
        suspended, until_ms = self._suspended.pop(job.job_id, (None, 0.0))
        if suspended is not None and now_ms <= until_ms:
            return suspended
        cached = self.cache.hits(job.prefix) * self.spec.block_tokens
        prefill = max(1, job.prompt_tokens + job.delivered_tokens - cached)
        self.prefilled_tokens += prefill
        # The prefill produces the first token.
        decode = max(0, job.output_tokens - job.delivered_tokens - 1)
        return _Sequence(job, float(prefill), float(decode), float(prefill))

    def _store_prefix(self, prefix: tuple[int, ...]) -> None:
        added, evicted = self.cache.add(prefix)
        if not added and not evicted:
            return
        message = types.CacheEvents(self.spec.name, self._sequence, added, evicted)
        self._sequence += len(added) + len(evicted)
        if self.rng.random() >= self.spec.event_loss_share:
            self._send(message, self.spec.event_delay_ms)

    def _send_report(self) -> None:
        if self.down or self._report_at_ms > self.now_ms:
            return
        self._report_at_ms += self.spec.report_interval_ms
        lag_ms = self.spec.report_lag_ms * (0.5 + self.rng.random())
        report = types.LoadReport(
            self.spec.name, lag_ms, self.running, self.waiting, self.spec.slots, self.leaving
        )
        self._send(report, lag_ms)

    def _send(self, message: types.LoadReport | types.CacheEvents, delay_ms: float) -> None:
        self._counter += 1
        heapq.heappush(self._pending_messages, (self.now_ms + delay_ms, self._counter, message))

    def _deliver_messages(self) -> list[EngineEvent]:
        events: list[EngineEvent] = []
        while self._pending_messages and self._pending_messages[0][0] <= self.now_ms:
            at_ms, _, message = heapq.heappop(self._pending_messages)
            events.append(Delivered(at_ms, message))
        return events

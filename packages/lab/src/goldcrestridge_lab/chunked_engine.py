"""Model of an engine with chunked prefill and a prefix cache.

Prompts are prefilled in chunks between decode steps, in the order of admission. Running requests
and cached segments of earlier prompts share one memory, from which the least recently used
segments are evicted. More urgent requests are admitted first; running ones are not preempted. A
request can name another engine, which hands over the segments that it has read; the time of the
transfer is neglected.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Container

from attrs import define, field, frozen

# Measured on deployed engines. A step takes STEP_MS plus STEP_MS_PER_REQUEST for each running
# request. Prefill is chunked, and its rate falls with the number of context tokens, because
# attention covers all of them.
STEP_MS = 4.63
STEP_MS_PER_REQUEST = 0.0116
CHUNK_TOKENS = 1_024
PREFILL_TOKENS_PER_MS = 41.4
PREFILL_SLOWDOWN_PER_CONTEXT_TOKEN = 2.4e-5
STEP_MS_PER_CONTEXT_TOKEN = 2e-6


@frozen
class PromptSegment:
    """A segment of a prompt, shared by all prompts with a segment of the same name."""

    name: str
    tokens: int


@define(eq=False)
class Run:
    """A request in the engine; its last segment is not shared with other requests."""

    name: str
    segments: tuple[PromptSegment, ...]
    output_tokens: int
    priority: int
    source: ChunkedEngine | None = None
    remaining_prefill: int = 0
    context_tokens: int = 0
    generated_tokens: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Return the number of tokens in all segments."""
        return sum(segment.tokens for segment in self.segments)


@frozen
class Step:
    """The duration of one step, and the runs that emitted a stream event in it."""

    duration_ms: float
    events: tuple[Run, ...]


@define(eq=False)
class ChunkedEngine:
    """One engine, which emits a stream event for every ``event_tokens`` tokens.

    The caller appends runs to ``waiting`` and calls ``step`` until it returns None.
    """

    slots: int
    memory_tokens: int
    event_tokens: int
    slow_factor: float = 1.0
    prefilled_tokens: int = 0
    fetched_tokens: int = 0
    waiting: list[Run] = field(factory=list)
    running: list[Run] = field(factory=list)
    _cached: OrderedDict[str, int] = field(factory=OrderedDict)
    _reference_counts: dict[str, int] = field(factory=dict)
    _referenced_tokens: int = 0

    def step(self) -> Step | None:
        """Simulate one step, or return None if nothing runs."""
        self._admit()
        if not self.running:
            return None
        duration_ms = STEP_MS + STEP_MS_PER_REQUEST * len(self.running)
        decoding = [run for run in self.running if not run.remaining_prefill]
        duration_ms += self._prefill()
        duration_ms += STEP_MS_PER_CONTEXT_TOKEN * sum(
            run.context_tokens + run.generated_tokens for run in decoding
        )
        for run in decoding:
            run.generated_tokens += 1
        events = tuple(run for run in decoding if self._ends_event(run))
        return Step(duration_ms * self.slow_factor, events)

    def remove(self, run: Run) -> None:
        """Remove a completed or cancelled request; its segments stay cached until evicted."""
        if run in self.waiting:
            self.waiting.remove(run)
            return
        self.running.remove(run)
        for segment in reversed(run.segments):
            self._reference_counts[segment.name] -= 1
            if not self._reference_counts[segment.name]:
                del self._reference_counts[segment.name]
                self._referenced_tokens -= segment.tokens
            self._cached.move_to_end(segment.name)

    def _ends_event(self, run: Run) -> bool:
        return (
            run.generated_tokens % self.event_tokens == 0
            or run.generated_tokens >= run.output_tokens
        )

    def _prefill(self) -> float:
        """Prefill up to CHUNK_TOKENS in the order of admission; return the duration in ms."""
        chunk_left, duration_ms = CHUNK_TOKENS, 0.0
        for run in self.running:
            tokens = min(chunk_left, run.remaining_prefill)
            if tokens:
                run.remaining_prefill -= tokens
                run.context_tokens += tokens
                chunk_left -= tokens
                self.prefilled_tokens += tokens
                duration_ms += (
                    tokens
                    / PREFILL_TOKENS_PER_MS
                    * (1.0 + PREFILL_SLOWDOWN_PER_CONTEXT_TOKEN * run.context_tokens)
                )
        return duration_ms

    def _admit(self) -> None:
        self.waiting.sort(key=lambda run: run.priority)
        while self.waiting and len(self.running) < self.slots:
            run = self.waiting[0]
            needed_tokens = run.segments[-1].tokens + run.output_tokens
            if self.running and self._referenced_tokens + needed_tokens > self.memory_tokens:
                return
            self.running.append(self.waiting.pop(0))
            run.context_tokens = _prefix_tokens(run, self._cached)
            if run.source is not None:
                offered_tokens = _prefix_tokens(run, run.source.read_segments())
                fetched_tokens = max(0, offered_tokens - run.context_tokens)
                self.fetched_tokens += fetched_tokens
                run.context_tokens += fetched_tokens
            run.remaining_prefill = run.prompt_tokens - run.context_tokens
            self._cache_prompt(run)

    def read_segments(self) -> set[str]:
        """Return the names of the cached segments that no request still has to read."""
        unread = {
            segment.name
            for run in self.running
            if run.remaining_prefill
            for segment, end in zip(
                run.segments,
                itertools.accumulate(item.tokens for item in run.segments),
                strict=True,
            )
            if end > run.context_tokens
        }
        return set(self._cached) - unread

    def _cache_prompt(self, run: Run) -> None:
        for segment in run.segments:
            self._cached[segment.name] = segment.tokens
            self._cached.move_to_end(segment.name)
            if segment.name not in self._reference_counts:
                self._referenced_tokens += segment.tokens
            self._reference_counts[segment.name] = self._reference_counts.get(segment.name, 0) + 1
        excess = sum(self._cached.values()) + sum(item.generated_tokens for item in self.running)
        excess -= self.memory_tokens
        for name in list(self._cached):
            if excess <= 0:
                return
            if name not in self._reference_counts:
                excess -= self._cached.pop(name)


def _prefix_tokens(run: Run, names: Container[str]) -> int:
    """Return the number of tokens in the leading segments of a request that are in ``names``."""
    return sum(
        segment.tokens
        for segment in itertools.takewhile(lambda segment: segment.name in names, run.segments)
    )

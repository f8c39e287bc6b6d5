"""Model of an engine that reads prompts in chunks between the tokens of its running requests.

Prompts are read in the order of admission. Running requests and parts of earlier prompts share one
memory, in which the parts that were used least recently yield. More urgent requests are admitted
first; running ones are not preempted.
"""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, field, frozen

# Measured on the users' engines: a step takes the first time and the second for each running
# request; prompts are read in chunks at a rate that attention to the tokens before slows down.
STEP_MS = 4.63
STEP_MS_PER_REQUEST = 0.0116
CHUNK_TOKENS = 1_024
PREFILL_TOKENS_PER_MS = 41.4
PREFILL_SLOWDOWN_PER_CONTEXT_TOKEN = 2.4e-5
STEP_MS_PER_CONTEXT_TOKEN = 2e-6


@frozen
class PromptSegment:
    """A part of a prompt; prompts with the same name share it."""

    name: str
    tokens: int


@define(eq=False)
class Run:
    """A request as the engine sees it; its last part is its own."""

    name: str
    segments: tuple[PromptSegment, ...]
    output_tokens: int
    priority: int
    remaining_prefill: int = 0
    context_tokens: int = 0
    generated_tokens: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of all parts."""
        return sum(segment.tokens for segment in self.segments)


@frozen
class Step:
    """One step: its time, and the runs that made an event in it."""

    duration_ms: float
    events: tuple[Run, ...]


@define(eq=False)
class ChunkedEngine:
    """One engine; the caller lets it step while ``step`` returns a step."""

    slots: int
    memory_tokens: int
    event_tokens: int
    slow_factor: float = 1.0
    prefilled_tokens: int = 0
    waiting: list[Run] = field(factory=list)
    running: list[Run] = field(factory=list)
    _cached: OrderedDict[str, int] = field(factory=OrderedDict)
    _reference_counts: dict[str, int] = field(factory=dict)
    _referenced_tokens: int = 0

    def step(self) -> Step | None:
        """Make one step, or return None if nothing runs."""
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
        """Drop a request that has ended or was cancelled; its parts stay in memory for a while."""
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
        """Read one chunk, of the first prompts in order; return the time that it takes."""
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
            run.context_tokens = self._cached_prefix_tokens(run)
            run.remaining_prefill = run.prompt_tokens - run.context_tokens
            self._cache_prompt(run)

    def _cached_prefix_tokens(self, run: Run) -> int:
        """Return the tokens of the first parts that are kept without a gap."""
        tokens = 0
        for segment in run.segments:
            if segment.name not in self._cached:
                break
            tokens += segment.tokens
        return tokens

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

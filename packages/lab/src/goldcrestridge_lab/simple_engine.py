"""Minimal engine model behind the HTTP stand-in: slots, priorities, times and output text."""

from __future__ import annotations

import heapq
from collections import deque
from itertools import count
from typing import Protocol

import anyio
import xxhash
from attrs import define, field, frozen

from goldcrestridge_core.clock import MS_PER_SECOND, Clock

VOCABULARY_SIZE = 1_000
MEAN_OUTPUT_TOKENS = 64  # Mean length of an answer without a bound, in tokens.
MAX_LOAD_HISTORY = 1_024


class TokenSource:
    """The tokens that follow a text.

    Each depends on the whole text before it, so that an answer continued from any point has the
    same rest as one that was never broken.
    """

    def __init__(self, text: str) -> None:
        self._digest = xxhash.xxh64(text.encode("utf-8", "surrogatepass"))

    def next_token(self) -> str | None:
        """Return the next token, or None at the natural end."""
        value = self._digest.intdigest()
        if value % MEAN_OUTPUT_TOKENS == 0:
            return None
        token = f"w{value % VOCABULARY_SIZE:03d} "
        self._digest.update(token.encode())
        return token


def expected_output(text: str, max_tokens: int) -> list[str]:
    """Return the whole answer to a canonical prompt."""
    source = TokenSource(text)
    tokens = iter(source.next_token, None)
    return [token for _, token in zip(range(max_tokens), tokens, strict=False) if token]


@frozen
class LoadState:
    """Load at a moment of the engine's own clock."""

    time_ms: float
    running: int
    waiting: int


class Engine(Protocol):
    """What the HTTP stand-in needs of an engine model."""

    slots: int
    slow_factor: float
    load_lag_ms: float

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; the lowest priority number goes first."""

    def release(self) -> None:
        """Give the slot back."""

    def first_token_ms(self, prompt_tokens: int) -> float:
        """Return the time from the slot to the first token."""

    def token_ms(self) -> float:
        """Return the time from one token to the next."""

    def load(self) -> LoadState:
        """Return the load as it was before the lag of the reports."""


@define(eq=False)
class SimpleEngine:
    """An engine with constant times that are scaled by ``slow_factor``."""

    slots: int = 8
    base_first_token_ms: float = 0.0
    prefill_token_ms: float = 0.0
    base_token_ms: float = 0.0
    load_lag_ms: float = 0.0
    slow_factor: float = 1.0
    clock: Clock = field(factory=Clock)
    running: int = field(init=False, default=0)
    _queue: list[tuple[int, int, anyio.Event]] = field(init=False, factory=list)
    _sequence: count[int] = field(init=False, factory=count)
    _history: deque[LoadState] = field(init=False)

    @_history.default
    def _initial_history(self) -> deque[LoadState]:
        return deque([LoadState(self.clock.now_ms(), 0, 0)], maxlen=MAX_LOAD_HISTORY)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; the lowest priority number goes first."""
        if self.running < self.slots:
            self.running += 1
            self._record_load()
            return
        entry = (priority, next(self._sequence), anyio.Event())
        heapq.heappush(self._queue, entry)
        self._record_load()
        try:
            await entry[2].wait()  # The slot is handed over by ``release``.
        except BaseException:
            if entry[2].is_set():
                self.release()
            else:
                self._queue.remove(entry)
                heapq.heapify(self._queue)
                self._record_load()
            raise

    def release(self) -> None:
        """Give the slot to the next request, or free it."""
        if self._queue:
            heapq.heappop(self._queue)[2].set()
        else:
            self.running -= 1
        self._record_load()

    def first_token_ms(self, prompt_tokens: int) -> float:
        """Return the time from the slot to the first token."""
        prefill_ms = self.prefill_token_ms * prompt_tokens
        return (self.base_first_token_ms + prefill_ms) * self.slow_factor

    def token_ms(self) -> float:
        """Return the time from one token to the next."""
        return self.base_token_ms * self.slow_factor

    def load(self) -> LoadState:
        """Return the load as it was before the lag of the reports."""
        at_ms = self.clock.now_ms() - self.load_lag_ms
        earlier = [state for state in self._history if state.time_ms <= at_ms]
        return earlier[-1] if earlier else self._history[0]

    def _record_load(self) -> None:
        state = LoadState(self.clock.now_ms(), self.running, len(self._queue))
        self._history.append(state)


async def sleep_ms(duration_ms: float) -> None:
    """Wait; a duration of zero does not give way to other tasks."""
    if duration_ms > 0:
        await anyio.sleep(duration_ms / MS_PER_SECOND)

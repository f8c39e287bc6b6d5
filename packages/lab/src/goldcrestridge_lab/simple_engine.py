"""Minimal engine model of the HTTP stand-in: slots, priorities, latencies and output text."""

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
MEAN_OUTPUT_TOKENS = 64  # Of outputs without a limit; their lengths are geometric.
MAX_LOAD_HISTORY = 1_024


class TokenSource:
    """Deterministic generator of the tokens that follow a text.

    Each token depends on all text before it, so an output that is continued from any point ends
    in the same way as an uninterrupted one.
    """

    def __init__(self, text: str) -> None:
        self._digest = xxhash.xxh64(text.encode("utf-8", "surrogatepass"))

    def next_token(self) -> str | None:
        """Return the next token, or None at the end of the output."""
        value = self._digest.intdigest()
        if value % MEAN_OUTPUT_TOKENS == 0:
            return None
        token = f"w{value % VOCABULARY_SIZE:03d} "
        self._digest.update(token.encode())
        return token


def expected_output(text: str, max_tokens: int) -> list[str]:
    """Return the complete output tokens for a canonical prompt."""
    source = TokenSource(text)
    tokens = iter(source.next_token, None)
    return [token for _, token in zip(range(max_tokens), tokens, strict=False) if token]


@frozen
class LoadState:
    """Load at a time of the engine's clock."""

    time_ms: float
    running: int
    waiting: int


class Engine(Protocol):
    """Interface of the engine model behind the HTTP stand-in."""

    slots: int
    slow_factor: float
    load_lag_ms: float

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; the lowest priority number is served first."""

    def release(self) -> None:
        """Release the slot."""

    def first_token_ms(self, prompt_tokens: int) -> float:
        """Return the time from the acquisition of a slot to the first token."""

    def token_ms(self) -> float:
        """Return the time between output tokens."""

    def load(self) -> LoadState:
        """Return the load as of ``load_lag_ms`` ago."""


@define(eq=False)
class SimpleEngine:
    """An engine with constant latencies that are scaled by ``slow_factor``."""

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
        """Wait for a slot; the lowest priority number is served first."""
        if self.running < self.slots:
            self.running += 1
            self._record_load()
            return
        entry = (priority, next(self._sequence), anyio.Event())
        heapq.heappush(self._queue, entry)
        self._record_load()
        try:
            await entry[2].wait()  # ``release`` passes the slot on without freeing it.
        except BaseException:
            if entry[2].is_set():
                self.release()
            else:
                self._queue.remove(entry)
                heapq.heapify(self._queue)
                self._record_load()
            raise

    def release(self) -> None:
        """Pass the slot on to the next request, or free it."""
        if self._queue:
            heapq.heappop(self._queue)[2].set()
        else:
            self.running -= 1
        self._record_load()

    def first_token_ms(self, prompt_tokens: int) -> float:
        """Return the time from the acquisition of a slot to the first token."""
        prefill_ms = self.prefill_token_ms * prompt_tokens
        return (self.base_first_token_ms + prefill_ms) * self.slow_factor

    def token_ms(self) -> float:
        """Return the time between output tokens."""
        return self.base_token_ms * self.slow_factor

    def load(self) -> LoadState:
        """Return the load as of ``load_lag_ms`` ago."""
        reported_ms = self.clock.now_ms() - self.load_lag_ms
        earlier = [state for state in self._history if state.time_ms <= reported_ms]
        return earlier[-1] if earlier else self._history[0]

    def _record_load(self) -> None:
        state = LoadState(self.clock.now_ms(), self.running, len(self._queue))
        self._history.append(state)


async def sleep_ms(duration_ms: float) -> None:
    """Sleep; a duration of zero does not yield to other tasks."""
    if duration_ms > 0:
        await anyio.sleep(duration_ms / MS_PER_SECOND)

"""Model of the parts of prompts that one engine holds, kept by the owner of the engine.

The owner admits every prompt there, so it can follow what the engine reads and evicts without
asking it. A wrong model costs time, never an answer: a part that the engine has lost is read again,
and a part that it holds unknown to the model makes a forecast too long.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field, frozen

from goldcrestridge_core.codec import message

# Bounds the memory of the model where parts are small.
MAX_HELD_PARTS = 4_096


@message
@frozen
class PromptPart:
    """A part of a prompt that other prompts can share, with its size in tokens."""

    key: str
    tokens: int


@define
class _HeldPart:
    tokens: int
    reader: str  # Ticket of the request that reads it, or empty once it was read.


@define
class EngineCache:
    """Parts of prompts that an engine holds or reads, least recently used first."""

    _parts: OrderedDict[str, _HeldPart] = field(factory=OrderedDict)
    _tokens: int = 0

    def held_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the leading parts that the engine holds or has been told to read.

        An engine uses a part only if it holds all parts before it.
        """
        return sum(
            part.tokens for part in itertools.takewhile(lambda part: part.key in self._parts, parts)
        )

    def read_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the leading parts that the engine has read."""
        return sum(
            part.tokens
            for part in itertools.takewhile(
                lambda part: part.key in self._parts and not self._parts[part.key].reader, parts
            )
        )

    def begin(self, ticket: str, parts: tuple[PromptPart, ...], room_tokens: float) -> None:
        """Record that the engine is told to read a prompt, and evict parts beyond ``room_tokens``.

        Engines evict the last parts of a prompt first.
        """
        for part in reversed(parts):
            if part.key not in self._parts:
                self._parts[part.key] = _HeldPart(part.tokens, ticket)
                self._tokens += part.tokens
            self._parts.move_to_end(part.key)
        own = {part.key for part in parts}
        while self._parts and (self._tokens > room_tokens or len(self._parts) > MAX_HELD_PARTS):
            oldest = next(iter(self._parts))
            if oldest in own:
                return
            self._remove(oldest)

    def record_read(self, parts: Iterable[PromptPart]) -> None:
        """Record that the engine has read a prompt."""
        for part in parts:
            held = self._parts.get(part.key)
            if held is not None:
                held.reader = ""

    def cancel(self, ticket: str, parts: Iterable[PromptPart]) -> None:
        """Record that a prompt ended before the engine is known to have read it."""
        for part in parts:
            held = self._parts.get(part.key)
            if held is not None and held.reader == ticket:
                self._remove(part.key)

    def clear(self) -> None:
        """Forget all parts, since the engine has started again."""
        self._parts.clear()
        self._tokens = 0

    def _remove(self, key: str) -> None:
        self._tokens -= self._parts.pop(key).tokens

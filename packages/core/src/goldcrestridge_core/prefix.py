"""Index of the prefix blocks in the caches of the engines of a shard."""

from __future__ import annotations

import itertools
from collections import OrderedDict

from attrs import define, field, frozen

from goldcrestridge_core.types import CacheEvents, UpstreamId

# About 130 bytes per block: 16 engines use less than 40 MB of the 256 MB of a node.
MAX_BLOCKS_PER_ENGINE = 16_384
UNCERTAIN_WEIGHT = 0.5  # Weight of a match with blocks not confirmed since the last gap.
# A restarted engine numbers its events from the start again, so that successive messages look
# stale; delayed messages occur singly.
STALE_MESSAGES_FOR_RESTART = 3


@frozen
class PrefixMatch:
    """An engine with the first ``depth`` blocks; ``weight`` discounts uncertain matches."""

    upstream: UpstreamId
    depth: int
    weight: float


@define
class _Engine:
    """Blocks of one engine in LRU order, each with the generation that last confirmed it."""

    bit: int
    blocks: OrderedDict[int, int] = field(factory=OrderedDict)
    generation: int = 0
    next_sequence: int | None = None
    stale_messages: int = 0


@define
class PrefixIndex:
    """Index blocks from grants and cache events in an LRU of bounded size per engine.

    A gap in the events starts a new generation: all blocks of the engine are kept, but with a
    lower weight until a grant or an event confirms them. Blocks whose eviction was missed in the
    gap are removed by the LRU eviction of the index.
    """

    max_blocks: int = MAX_BLOCKS_PER_ENGINE
    _engines: dict[UpstreamId, _Engine] = field(factory=dict)
    _names: dict[int, UpstreamId] = field(factory=dict)  # By bit.
    _holders: dict[int, int] = field(factory=dict)  # Block to bit mask of its engines.

    def block_count(self, upstream: UpstreamId) -> int:
        """Return the number of blocks indexed for an engine."""
        return len(self._engine(upstream).blocks)

    def has_uncertain_blocks(self, upstream: UpstreamId) -> bool:
        """Return whether an engine has blocks that were not confirmed since a gap."""
        engine = self._engine(upstream)
        return any(generation != engine.generation for generation in engine.blocks.values())

    def touch(self, upstream: UpstreamId, prefix: tuple[int, ...]) -> None:
        """Add the blocks of a prompt that an engine computes, and so holds, as recently used."""
        engine = self._engine(upstream)
        # Engines evict the last blocks of a prompt first.
        for block in reversed(prefix):
            self._add(engine, block)

    def apply_events(self, events: CacheEvents) -> None:
        """Apply cache events; stale ones are ignored, a gap makes the engine uncertain."""
        engine = self._engine(events.upstream)
        end = events.first_sequence + len(events.added) + len(events.evicted)
        expected = engine.next_sequence
        if expected is not None and end <= expected:
            engine.stale_messages += 1
            if engine.stale_messages < STALE_MESSAGES_FOR_RESTART:
                return
            self.remove_engine(events.upstream)
            engine = self._engine(events.upstream)
        elif expected is not None and events.first_sequence > expected:
            engine.generation += 1
        engine.stale_messages = 0
        engine.next_sequence = end
        for block in events.evicted:
            self._remove(engine, block)
        for block in events.added:
            self._add(engine, block)

    def remove_engine(self, upstream: UpstreamId) -> None:
        """Remove an engine that restarted or left, with all its blocks."""
        engine = self._engines.pop(upstream, None)
        if engine is None:
            return
        for block in list(engine.blocks):
            self._remove(engine, block)
        del self._names[engine.bit]

    def matches(self, prefix: tuple[int, ...]) -> list[PrefixMatch]:
        """Return the engines that hold leading blocks of the prefix, best match first."""
        found: list[tuple[int, int]] = []
        mask = -1
        for depth, block in enumerate(prefix):
            holders = mask & self._holders.get(block, 0)
            if depth and holders != mask:
                found.append((depth, mask & ~holders))
            mask = holders
            if not mask:
                break
        else:
            found.append((len(prefix), mask if prefix else 0))
        matches = [
            self._match(self._names[bit], depth, prefix)
            for depth, bits in found
            for bit in _bits(bits)
        ]
        matches.sort(key=lambda match: -match.depth * match.weight)
        return matches

    def match_depth(self, upstream: UpstreamId, prefix: tuple[int, ...]) -> int:
        """Return the number of leading blocks of a prefix that are indexed for an engine."""
        blocks = self._engine(upstream).blocks
        return sum(1 for _ in itertools.takewhile(blocks.__contains__, prefix))

    def _match(self, upstream: UpstreamId, depth: int, prefix: tuple[int, ...]) -> PrefixMatch:
        """Return the match of one engine; it is certain if its deepest block is confirmed."""
        engine = self._engines[upstream]
        certain = engine.blocks.get(prefix[depth - 1]) == engine.generation
        return PrefixMatch(upstream, depth, 1.0 if certain else UNCERTAIN_WEIGHT)

    def _engine(self, upstream: UpstreamId) -> _Engine:
        """Return the entry of an engine, created with a free bit on first use."""
        if upstream not in self._engines:
            bit = next(1 << number for number in range(1 << 16) if 1 << number not in self._names)
            self._engines[upstream] = _Engine(bit)
            self._names[bit] = upstream
        return self._engines[upstream]

    def _add(self, engine: _Engine, block: int) -> None:
        """Add or confirm a block as the most recently used one."""
        engine.blocks[block] = engine.generation
        engine.blocks.move_to_end(block)
        self._holders[block] = self._holders.get(block, 0) | engine.bit
        if len(engine.blocks) > self.max_blocks:
            self._remove(engine, next(iter(engine.blocks)))

    def _remove(self, engine: _Engine, block: int) -> None:
        """Remove a block of an engine."""
        if engine.blocks.pop(block, None) is None:
            return
        holders = self._holders[block] & ~engine.bit
        if holders:
            self._holders[block] = holders
        else:
            del self._holders[block]


def _bits(mask: int) -> list[int]:
    """Return the set bits of a mask, lowest first."""
    bits = []
    while mask:
        bits.append(mask & -mask)
        mask &= mask - 1
    return bits

"""Index of the prefix blocks that the engines of a shard hold in their caches."""

from __future__ import annotations

import itertools
from collections import OrderedDict

from attrs import define, field, frozen

from goldcrestridge_core.types import CacheEvents, UpstreamId

# About 130 bytes an entry: 16 engines stay below 40 MB of a node's 256 MB.
MAX_BLOCKS_PER_ENGINE = 16_384
UNCERTAIN_WEIGHT = 0.5  # Of a match whose blocks were not confirmed since the last gap.
# An engine that restarts counts its events from the beginning again; late messages come singly.
RESTART_MESSAGES = 3


@frozen
class PrefixMatch:
    """Engines that hold the first ``depth`` blocks; ``weight`` discounts uncertain ones."""

    upstream: UpstreamId
    depth: int
    weight: float


@define
class _Engine:
    """Blocks of one engine by last use, each with the generation in which it was confirmed."""

    bit: int
    blocks: OrderedDict[int, int] = field(factory=OrderedDict)
    generation: int = 0
    next_sequence: int | None = None
    stale_messages: int = 0


@define
class PrefixIndex:
    """Learn blocks from grants and cache events; bounded, least recently used blocks go first.

    A gap in the events begins a new generation: all blocks of the engine stay, but weigh less
    until a grant or an event confirms them. Blocks that were evicted in the gap are forgotten
    when they are evicted here.
    """

    max_blocks: int = MAX_BLOCKS_PER_ENGINE
    _engines: dict[UpstreamId, _Engine] = field(factory=dict)
    _names: dict[int, UpstreamId] = field(factory=dict)  # By bit.
    _holders: dict[int, int] = field(factory=dict)  # Block to the bits of its engines.

    def block_count(self, upstream: UpstreamId) -> int:
        """Return the number of blocks indexed for an engine."""
        return len(self._engine(upstream).blocks)

    def has_uncertain_blocks(self, upstream: UpstreamId) -> bool:
        """Return whether the engine holds blocks that were not confirmed since a gap."""
        engine = self._engine(upstream)
        return any(generation != engine.generation for generation in engine.blocks.values())

    def touch(self, upstream: UpstreamId, prefix: tuple[int, ...]) -> None:
        """Note that an engine computes a prompt, and so holds its blocks."""
        engine = self._engine(upstream)
        # The last blocks are the first that an engine evicts.
        for block in reversed(prefix):
            self._add(engine, block)

    def apply_events(self, events: CacheEvents) -> None:
        """Apply cache events; older ones are ignored, a gap makes the engine uncertain."""
        engine = self._engine(events.upstream)
        end = events.first_sequence + len(events.added) + len(events.evicted)
        expected = engine.next_sequence
        if expected is not None and end <= expected:
            engine.stale_messages += 1
            if engine.stale_messages < RESTART_MESSAGES:
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
        """Drop all blocks of an engine that restarted or left."""
        engine = self._engines.pop(upstream, None)
        if engine is None:
            return
        for block in list(engine.blocks):
            self._remove(engine, block)
        del self._names[engine.bit]

    def matches(self, prefix: tuple[int, ...]) -> list[PrefixMatch]:
        """Return the engines that hold a part of the prefix, the deepest match first."""
        found: list[tuple[int, int]] = []
        mask = -1
        for depth, block in enumerate(prefix):
            left = mask & self._holders.get(block, 0)
            if depth and left != mask:
                found.append((depth, mask & ~left))
            mask = left
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
        """Return how many of the first blocks of a prefix an engine is believed to hold."""
        blocks = self._engine(upstream).blocks
        return sum(1 for _ in itertools.takewhile(blocks.__contains__, prefix))

    def _match(self, upstream: UpstreamId, depth: int, prefix: tuple[int, ...]) -> PrefixMatch:
        """Return the match of one engine; its deepest block tells whether it is certain."""
        engine = self._engines[upstream]
        certain = engine.blocks.get(prefix[depth - 1]) == engine.generation
        return PrefixMatch(upstream, depth, 1.0 if certain else UNCERTAIN_WEIGHT)

    def _engine(self, upstream: UpstreamId) -> _Engine:
        """Return the entry of an engine, with a free bit on first use."""
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
        """Forget a block of an engine."""
        if engine.blocks.pop(block, None) is None:
            return
        left = self._holders[block] & ~engine.bit
        if left:
            self._holders[block] = left
        else:
            del self._holders[block]


def _bits(mask: int) -> list[int]:
    """Return the single bits of a mask, lowest first."""
    bits = []
    while mask:
        bits.append(mask & -mask)
        mask &= mask - 1
    return bits

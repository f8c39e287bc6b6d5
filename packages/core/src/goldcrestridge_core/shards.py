"""Split pools into shards and rank nodes for each shard."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Sequence

import xxhash
from attrs import define, field

from goldcrestridge_core.config import Pool, Upstream
from goldcrestridge_core.rendezvous import weight
from goldcrestridge_core.types import NodeId, ShardId, UpstreamId

SHARD_UPSTREAMS = 16
HASH_BITS = 64


def split(pool: str, upstreams: Iterable[UpstreamId]) -> dict[ShardId, tuple[UpstreamId, ...]]:
    """Return the shards of a pool, each with at most SHARD_UPSTREAMS upstreams if hashes differ.

    A larger shard is split in two by the next bit of its upstreams' hashes. The result depends on
    the set of upstreams alone, and an added upstream changes only the shard that it falls into. A
    pool of at most SHARD_UPSTREAMS upstreams is the single shard ``pool/0``; the halves of shard
    n are 2n + 1 and 2n + 2.
    """
    hashed = sorted((xxhash.xxh3_64_intdigest(name.encode()), name) for name in set(upstreams))
    return dict(_halve(pool, hashed, 0, HASH_BITS - 1))


def pool_shards(pool: Pool) -> dict[ShardId, tuple[Upstream, ...]]:
    """Return the upstreams of each shard of a pool; an empty pool has one empty shard."""
    by_name = {upstream.name: upstream for upstream in pool.upstreams}
    shards = split(pool.name, by_name)
    if not shards:
        return {ShardId(f"{pool.name}/0"): ()}
    return {shard: tuple(by_name[name] for name in names) for shard, names in shards.items()}


def _halve(
    pool: str, hashed: Sequence[tuple[int, UpstreamId]], number: int, bit: int
) -> list[tuple[ShardId, tuple[UpstreamId, ...]]]:
    """Split a part of a pool into shards; a part without upstreams has none."""
    if len(hashed) <= SHARD_UPSTREAMS or bit < 0:
        names = tuple(sorted(name for _, name in hashed))
        return [(ShardId(f"{pool}/{number}"), names)] if names else []
    low = [pair for pair in hashed if not pair[0] >> bit & 1]
    high = [pair for pair in hashed if pair[0] >> bit & 1]
    return [
        *_halve(pool, low, 2 * number + 1, bit - 1),
        *_halve(pool, high, 2 * number + 2, bit - 1),
    ]


@define
class Ranking:
    """Rank the eligible nodes of one shard by descending rendezvous weight.

    Adding or removing one of n nodes moves only the shards on which it ranks first, one in n on
    average.
    """

    shard: ShardId
    _order: list[tuple[int, NodeId]] = field(factory=list)

    def add(self, node: NodeId) -> None:
        """Add a node unless it is ranked already."""
        key = self._key(node)
        index = bisect.bisect_left(self._order, key)
        if index == len(self._order) or self._order[index] != key:
            self._order.insert(index, key)

    def remove(self, node: NodeId) -> None:
        """Remove a node if it is ranked."""
        index = self.rank(node)
        if index is not None:
            del self._order[index]

    def rank(self, node: NodeId) -> int | None:
        """Return the rank of a node, 0 for the first, or None if it is not ranked."""
        key = self._key(node)
        index = bisect.bisect_left(self._order, key)
        return index if index < len(self._order) and self._order[index] == key else None

    def first(self, count: int) -> list[NodeId]:
        """Return the first ``count`` nodes, or all if there are fewer."""
        return [node for _, node in self._order[:count]]

    def _key(self, node: NodeId) -> tuple[int, NodeId]:
        """Return the sort key of a node; ties in the weight are broken by name."""
        return -weight(self.shard, node), node

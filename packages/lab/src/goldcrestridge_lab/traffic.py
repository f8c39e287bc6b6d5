"""Generate seeded request arrivals with heavy-tailed lengths."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from attrs import frozen

from goldcrestridge_core import types
from goldcrestridge_core.clock import MS_PER_SECOND

BLOCK_TOKENS = 64


@frozen
class Lengths:
    """Log-normal distribution of token counts, clamped to a range.

    A larger ``sigma`` makes the tail heavier.
    """

    median: float
    sigma: float
    smallest: int = 1
    largest: int = 8_000

    def draw(self, rng: random.Random) -> int:
        """Draw one length in tokens."""
        value = round(rng.lognormvariate(math.log(self.median), self.sigma))
        return min(self.largest, max(self.smallest, value))


@frozen
class Stream:
    """Poisson arrivals of one workspace and class during an interval.

    ``prefix_families`` is the number of prompt prefixes that the workspace shares among its
    requests; a prefix covers ``shared_fraction`` of a prompt. Callers abandon a request without a
    first token after a time that is uniform in ``abandon_after_ms``.
    """

    class_name: str
    workspace: str
    rate_per_s: float
    start_ms: float
    end_ms: float
    prompt: Lengths
    output: Lengths
    abandon_after_ms: tuple[float, float]
    site: str = ""
    model: str = "m"
    prefix_families: int = 0
    shared_fraction: float = 0.5


@frozen
class Arrival:
    """One request, with its true output length."""

    at_ms: float
    request_id: types.RequestId
    class_name: str
    workspace: str
    site: str
    model: str
    prompt_tokens: int
    output_tokens: int
    max_tokens: int
    prefix: tuple[int, ...]
    abandon_after_ms: float


def arrivals(streams: Iterable[Stream], seed: int) -> list[Arrival]:
    """Return the arrivals of all streams, ordered by time.

    Every stream has its own random generator, so that adding a stream does not change the others.
    """
    merged: list[Arrival] = []
    for number, stream in enumerate(streams):
        label = f"{seed}/{number}/{stream.workspace}/{stream.class_name}"
        merged += _draw(stream, f"{number}", random.Random(label))
    return sorted(merged, key=lambda arrival: (arrival.at_ms, arrival.request_id))


def _draw(stream: Stream, label: str, rng: random.Random) -> list[Arrival]:
    drawn: list[Arrival] = []
    families = [rng.getrandbits(62) for _ in range(stream.prefix_families)]
    at_ms = stream.start_ms + rng.expovariate(stream.rate_per_s) * MS_PER_SECOND
    while at_ms < stream.end_ms:
        prompt = stream.prompt.draw(rng)
        drawn.append(
            Arrival(
                at_ms,
                types.RequestId(f"{label}-{len(drawn)}"),
                stream.class_name,
                stream.workspace,
                stream.site,
                stream.model,
                prompt,
                stream.output.draw(rng),
                stream.output.largest,
                _prefix(stream, families, prompt, rng),
                rng.uniform(*stream.abandon_after_ms),
            )
        )
        at_ms += rng.expovariate(stream.rate_per_s) * MS_PER_SECOND
    return drawn


def _prefix(
    stream: Stream, families: list[int], prompt: int, rng: random.Random
) -> tuple[int, ...]:
    """Return the block hashes of a prompt; its family determines those of the shared prefix."""
    blocks = prompt // BLOCK_TOKENS
    shared_blocks = int(blocks * stream.shared_fraction) if families else 0
    family = rng.choice(families) if families else 0
    unique = rng.getrandbits(62)
    return tuple(
        (family if index < shared_blocks else unique) + index * 1_000_003 for index in range(blocks)
    )

"""What a request needs of the upstream that runs it."""

from __future__ import annotations

from attrs import frozen

from goldcrestridge_core.engine_cache import PromptPart
from goldcrestridge_core.stream_origins import StreamOrigin

# The prefill of a longer prompt takes more than four engine steps with a full chunk, which exceeds
# the longest gap that a tight stream allows.
LONG_PROMPT_TOKENS = 4_096
# Recomputing a prefix shorter than one prefill chunk costs less than an uneven load.
MIN_PREFIX_TOKENS = 1_024
# Expected share of prefix tokens that miss the cache after an eviction or a move to another engine.
CACHE_MISS_SHARE = 0.15
# Relative increase of the prefill time of a token for each token before it, due to attention.
ATTENTION_WORK_PER_TOKEN = 2.4e-5
# Engine time of one output token, in prompt tokens of prefill: a decode step takes 5 ms and serves
# about 40 running requests, and prefill runs at 41 tokens/ms.
OUTPUT_TOKEN_WORK = 3.0


@frozen
class Demand:
    """What placement needs to know about a request.

    ``prefix`` identifies the shared prefix of the prompt, or is empty. ``partitioned`` tells
    whether the engines of the service are partitioned by kind of request, and ``long`` whether the
    request has a long prompt. ``tight`` tells whether its stream allows only short gaps between
    events. ``work`` is the engine time of the request in units of one prompt token of prefill,
    ``uncached_work`` the same on an engine that holds no prefix of it, and ``cached_work`` on one
    that holds all of it. ``memory`` is in tokens, without the shared prefix. ``parts`` are the
    shared parts of the prompt in order, which has ``prompt_tokens`` in all. A stream that has begun
    has an ``origin`` and goes on only at an instance that fits it.
    """

    prefix: str = ""
    partitioned: bool = False
    long: bool = False
    work: float = 0.0
    tight: bool = False
    uncached_work: float = 0.0
    memory: float = 0.0
    origin: StreamOrigin | None = None
    cached_work: float = 0.0
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0


def prefill_work(prompt_tokens: float, unread_tokens: float) -> float:
    """Return the work to read the last ``unread_tokens`` of a prompt."""
    context = prompt_tokens - unread_tokens / 2
    return unread_tokens * (1.0 + ATTENTION_WORK_PER_TOKEN * context)


def demand_of(
    prefix: str,
    shared_tokens: int,
    prompt_tokens: int,
    output_tokens: int,
    tight: bool | None,
    parts: tuple[PromptPart, ...] = (),
) -> Demand:
    """Return the demand of a request for an engine.

    ``tight`` tells whether the stream allows only short gaps; it is None if no stream of the
    service has a bound on its gaps, so that its engines are not partitioned.
    """
    prefix_id = prefix if shared_tokens >= MIN_PREFIX_TOKENS else ""

    def work(unread_tokens: float) -> float:
        return prefill_work(prompt_tokens, unread_tokens) + OUTPUT_TOKEN_WORK * output_tokens

    return Demand(
        prefix=prefix_id,
        partitioned=tight is not None,
        long=not tight and prompt_tokens > LONG_PROMPT_TOKENS,
        work=work(prompt_tokens - (1.0 - CACHE_MISS_SHARE) * shared_tokens),
        tight=bool(tight),
        uncached_work=work(prompt_tokens),
        memory=float(prompt_tokens - shared_tokens + output_tokens),
        cached_work=work(prompt_tokens - shared_tokens),
        parts=parts if prefix_id else (),
        prompt_tokens=prompt_tokens,
    )

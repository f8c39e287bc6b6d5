"""Whether an attempt makes progress, and when an upstream without any counts as lost."""

from __future__ import annotations

from goldcrestridge_core.call_types import AttemptChunk, Call, CallKind

# An upstream that sends nothing for this long counts as lost. The prefill of the longest prompts
# takes less time than this.
UPSTREAM_IDLE_TIMEOUT_MS = 60_000.0
# A response that is not streamed arrives after its last token, so its idle timeout grows with the
# token limit. This is the time per token of a slow engine.
SLOW_TOKEN_MS = 100.0
DEFAULT_MAX_TOKENS = 8_192  # Assumed for a call without a token limit.


def upstream_idle_timeout_ms(call: Call) -> float:
    """Return how long an upstream may send nothing before the attempt counts as lost."""
    if call.stream or call.kind is CallKind.PLAIN:
        return UPSTREAM_IDLE_TIMEOUT_MS
    return UPSTREAM_IDLE_TIMEOUT_MS + SLOW_TOKEN_MS * (call.max_tokens or DEFAULT_MAX_TOKENS)


def is_progress(event: object, call: Call) -> bool:
    """Return whether an event shows that an upstream is not stalled.

    Chunks of a completion without output, such as an upstream may send as a sign of life for ever,
    do not.
    """
    if not isinstance(event, AttemptChunk) or call.kind is CallKind.PLAIN:
        return True
    return bool(event.text or event.tokens) or not call.stream

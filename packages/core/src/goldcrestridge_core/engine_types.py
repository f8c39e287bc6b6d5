"""Messages, events and effects of the admission of requests to model engines."""

from __future__ import annotations

import enum

from attrs import frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.engine_cache import PromptPart
from goldcrestridge_core.types import NodeId


@message
@frozen
class SharedPrompt:
    """A prompt with parts that an engine may hold; ``cached_work`` is its work if it holds all.

    ``transfer_ms_per_token`` is the time to get a token from another engine, or None if engines
    can't hand parts to each other.
    """

    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    cached_work: float
    transfer_ms_per_token: float | None = None

    @property
    def shared_tokens(self) -> int:
        """Return the number of tokens in all shared parts."""
        return sum(part.tokens for part in self.parts)


@message
@frozen
class EngineRequest:
    """Ask the engine owner to admit a request.

    ``work`` is in units of one prompt token of prefill, ``memory`` and ``capacity`` in tokens. The
    owner refuses if the expected wait for the prefill exceeds ``longest_ms``. The request ends
    within ``limit_ms``. ``priority`` 0 is the most urgent. A ``late`` request was refused by every
    engine and no longer yields to more urgent ones. ``work`` is that of an engine of which nothing
    is known. ``prompt`` tells what the work is for one whose cache is known, and ``born`` names the
    run of the engine. Of the shared parts, ``fetchable_tokens`` can be had from another engine.
    """

    ticket: str
    instance: str
    work: float
    memory: float
    capacity: float
    slots: int
    priority: int
    longest_ms: float
    limit_ms: float
    late: bool = False
    prompt: SharedPrompt | None = None
    born: int = 0
    fetchable_tokens: int = 0


class WaitCause(enum.Enum):
    """What an expected wait for an engine mainly consists of."""

    NONE = "none"
    PREFILL = "prefill"  # The work of the prompts ahead.
    OLDEST = "oldest"  # The age of the oldest prompt whose prefill has not ended.
    SLOTS = "slots"
    MEMORY = "memory"


@message
@frozen
class EngineGrant:
    """Admit a request whose prefill is expected to begin after ``wait_ms``.

    The engine lacks ``missing_tokens`` of its shared parts. ``fetch`` tells whether to get them
    from another engine is cheaper than to read them.
    """

    ticket: str
    instance: str
    wait_ms: float = 0.0
    cause: WaitCause = WaitCause.NONE
    missing_tokens: int = 0
    fetch: bool = False


@message
@frozen
class EngineRefusal:
    """Refuse a request whose prefill would begin only after about ``wait_ms``.

    The engine has read ``held_tokens`` of its shared parts.
    """

    ticket: str
    instance: str
    wait_ms: float
    cause: WaitCause = WaitCause.NONE
    held_tokens: int = 0


@message
@frozen
class EngineStarted:
    """Report that the engine has ended the prefill of an admitted request."""

    ticket: str
    instance: str


@message
@frozen
class EngineReleased:
    """Release an admission."""

    ticket: str
    instance: str


ENGINE_MESSAGES = (EngineRequest, EngineGrant, EngineRefusal, EngineStarted, EngineReleased)


@frozen
class Candidate:
    """An engine that may run a request, with the work and the memory it would need there."""

    instance: str
    work: float
    memory: float
    capacity: float
    slots: int
    born: int = 0


@frozen
class FindEngine:
    """Event: find an engine for a request; ``candidates`` are in order of preference.

    ``max_wait_ms`` is how long the request may wait for its prefill to begin,
    ``fallback_wait_ms`` the same at the least busy engine once all have refused it, and
    ``limit_ms`` the time after which the request is abandoned.
    """

    ticket: str
    candidates: tuple[Candidate, ...]
    priority: int
    max_wait_ms: float
    fallback_wait_ms: float
    limit_ms: float
    prompt: SharedPrompt | None = None

    @property
    def urgent(self) -> bool:
        """Return whether the request is rather late than refused."""
        return self.fallback_wait_ms > self.max_wait_ms


@frozen
class EngineFound:
    """Effect: the request may be sent; ``admitted`` is False if no engine owner answered.

    ``wait_ms`` is the wait that the owner expected, with its cause. ``missing_tokens`` of the
    shared parts are not held there; with ``fetch`` they are cheaper to get than to read. Of the
    engines that were asked before, ``holder`` holds most of them, and those in ``empty`` none.
    """

    ticket: str
    instance: str
    admitted: bool = True
    wait_ms: float = 0.0
    cause: WaitCause = WaitCause.NONE
    missing_tokens: int = 0
    fetch: bool = False
    holder: str = ""
    empty: tuple[str, ...] = ()


@frozen
class EngineDenied:
    """Effect: all candidates refused the request; ``wait_ms`` is the shortest expected wait."""

    ticket: str
    wait_ms: float
    cause: WaitCause = WaitCause.NONE


@frozen
class PrefillCompleted:
    """Event: the first output of an admitted request has arrived, so its prefill has ended."""

    ticket: str


@frozen
class RequestEnded:
    """Event: a request has ended at its engine, or its caller disconnected during the search."""

    ticket: str


@frozen
class EntriesChanged:
    """Event: the engines are distributed over these entry nodes."""

    nodes: tuple[NodeId, ...]


ENGINE_EVENTS = (FindEngine, PrefillCompleted, RequestEnded)

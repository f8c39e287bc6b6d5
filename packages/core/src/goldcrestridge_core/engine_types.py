"""Messages, events and effects of the admission of requests to model engines."""

from __future__ import annotations

from attrs import frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.types import NodeId


@message
@frozen
class EngineRequest:
    """Ask the owner of an engine to admit a request.

    ``work`` is in prompt tokens that the engine has to read, ``memory`` in tokens. The owner
    refuses if the engine would begin to read only after ``longest_ms``. The request ends within
    ``limit_ms``. ``priority`` 0 is the most urgent. A ``late`` request was refused by every engine
    and may not yield to others any more.
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


@message
@frozen
class EngineGrant:
    """Admit a request."""

    ticket: str
    instance: str


@message
@frozen
class EngineRefusal:
    """Tell that the engine would begin to read only after about ``wait_ms``."""

    ticket: str
    instance: str
    wait_ms: float


@message
@frozen
class EngineStarted:
    """Tell that the engine has read the prompt of an admitted request."""

    ticket: str
    instance: str


@message
@frozen
class EngineReleased:
    """Give an admission back."""

    ticket: str
    instance: str


ENGINE_MESSAGES = (EngineRequest, EngineGrant, EngineRefusal, EngineStarted, EngineReleased)


@frozen
class Candidate:
    """An engine that may run a request, with the work and the memory that it would take there."""

    instance: str
    work: float
    memory: float
    capacity: float
    slots: int


@frozen
class FindEngine:
    """Event: find an engine for a request; the first candidate is the best one.

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


@frozen
class EngineFound:
    """Effect: the request may be sent; ``admitted`` is False if no owner could be asked."""

    ticket: str
    instance: str
    admitted: bool = True


@frozen
class EngineDenied:
    """Effect: every candidate would begin too late; the least busy one in about ``wait_ms``."""

    ticket: str
    wait_ms: float


@frozen
class PrefillCompleted:
    """Event: the first event of an admitted request has come."""

    ticket: str


@frozen
class RequestEnded:
    """Event: a request has left its engine, or its caller has gone while it looked for one."""

    ticket: str


@frozen
class EntriesChanged:
    """Event: these entry nodes share the engines among them."""

    nodes: tuple[NodeId, ...]


ENGINE_EVENTS = (FindEngine, PrefillCompleted, RequestEnded)

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
    refuses if the request would have to wait longer than ``patience_ms``.
    """

    request_id: str
    instance: str
    work: float
    memory: float
    capacity: float
    slots: int
    priority: int
    patience_ms: float
    limit_ms: float


@message
@frozen
class EngineQueued:
    """Tell that a request waits for its admission."""

    request_id: str
    instance: str


@message
@frozen
class EngineGrant:
    """Admit a request."""

    request_id: str
    instance: str


@message
@frozen
class EngineRefusal:
    """Tell that a request would have to wait for about ``wait_ms``, which is too long."""

    request_id: str
    instance: str
    wait_ms: float


@message
@frozen
class EngineStarted:
    """Tell that the engine has read the prompt of an admitted request."""

    request_id: str
    instance: str


@message
@frozen
class EngineReleased:
    """Give an admission back, or withdraw a request that waits."""

    request_id: str
    instance: str


@frozen
class Candidate:
    """An engine that may run a request, with the work and the memory that it would take there."""

    instance: str
    work: float
    memory: float
    capacity: float
    slots: int


@frozen
class SeekEngine:
    """Event: find an engine for a request; the first candidate is the best one.

    ``target_ms`` is the time left until its first event would be late, ``limit_ms`` that until it
    is given up.
    """

    request_id: str
    candidates: tuple[Candidate, ...]
    priority: int
    target_ms: float
    limit_ms: float


@frozen
class EngineFound:
    """Effect: the request may be sent; ``owned`` is False if no owner could be asked."""

    request_id: str
    instance: str
    owned: bool = True


@frozen
class EngineDenied:
    """Effect: every candidate would be too late; one may be free in about ``wait_ms``."""

    request_id: str
    wait_ms: float


@frozen
class PromptRead:
    """Event: the first event of an admitted request has come."""

    request_id: str


@frozen
class RequestEnded:
    """Event: a request has left its engine, or its caller has gone while it waited."""

    request_id: str


@frozen
class EntriesKnown:
    """Event: these entry nodes share the engines among them."""

    nodes: tuple[NodeId, ...]

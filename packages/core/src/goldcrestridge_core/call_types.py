"""Events and effects of an entry node: calls, upstream attempts, shard ownership and drain."""

from __future__ import annotations

import enum

from attrs import frozen

from goldcrestridge_core.types import (
    Headers,
    NodeId,
    Outcome,
    Reason,
    RequestId,
    ShardId,
    UpstreamId,
)

# Calls and their attempts.


class CallKind(enum.Enum):
    """Whether a call is a model completion or a call to a plain service."""

    COMPLETION = "completion"
    PLAIN = "plain"


@frozen
class Call:
    """A caller's request after authentication and classification.

    ``key`` is the caller's idempotency key, or empty. ``prefix`` is as in SlotRequest.
    """

    kind: CallKind
    workspace: str
    site: str
    class_name: str
    pool: str
    method: str
    path: str
    query: bytes
    headers: Headers
    body: bytes
    model: str = ""
    service: str = ""
    stream: bool = False
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: tuple[int, ...] = ()
    repeatable: bool = True
    continuable: bool = False  # Whether it is a stream with one plain-text choice.
    key: str = ""


@frozen
class CallerRequest:
    """Event: a caller's request arrived; ``wall_ms`` is the wall-clock time of arrival."""

    request_id: RequestId
    call: Call
    wall_ms: float = 0.0


@frozen
class CallerGone:
    """Event: the caller closed its connection before the answer was complete."""

    request_id: RequestId


@frozen
class AttemptHead:
    """Event: the upstream sent the response head.

    ``leaving`` tells whether it says that it leaves, ``rest_ms`` for how long it wants no requests.
    """

    request_id: RequestId
    attempt: int
    status: int
    headers: Headers
    leaving: bool = False
    rest_ms: float = 0.0


@frozen
class AttemptChunk:
    """Event: the upstream sent part of the answer.

    For a stream ``data`` is one server-sent event with its blank line, ``text`` its plain text
    and ``tokens`` the number of tokens in it; for other answers ``data`` is a chunk of the body.
    ``opening`` marks an event that only opens the answer (the role of the assistant); it is not
    delivered again when another engine continues the stream.
    """

    request_id: RequestId
    attempt: int
    data: bytes
    text: str = ""
    tokens: int = 0
    opening: bool = False


@frozen
class AttemptEnd:
    """Event: the upstream completed the answer (end marker or full length received)."""

    request_id: RequestId
    attempt: int


@frozen
class AttemptFailed:
    """Event: the attempt failed.

    ``sent`` is False only if it is certain that no byte of the request reached the upstream.
    ``leaving`` tells whether the upstream refused the request because it is leaving, ``rest_ms``
    for how long it wants no requests.
    """

    request_id: RequestId
    attempt: int
    sent: bool
    reason: str
    leaving: bool = False
    rest_ms: float = 0.0


@frozen
class StartAttempt:
    """Effect: send the call to an upstream.

    If ``delivered_tokens`` is above 0, the attempt continues a stream: the engine receives the
    delivered text as the beginning of the answer, or resumes at the token offset if it supports
    that. ``version`` is the software version that began the stream, empty if it is not stated.
    """

    request_id: RequestId
    attempt: int
    upstream: UpstreamId
    call: Call
    priority: int
    delivered_text: str = ""
    delivered_tokens: int = 0
    version: str = ""


@frozen
class CancelAttempt:
    """Effect: abort an attempt at once; its later events are ignored."""

    request_id: RequestId
    attempt: int


@frozen
class RespondHead:
    """Effect: send the response head to the caller."""

    request_id: RequestId
    status: int
    headers: Headers


@frozen
class RespondChunk:
    """Effect: send part of the answer to the caller."""

    request_id: RequestId
    data: bytes


@frozen
class RespondEnd:
    """Effect: end an answer that is complete."""

    request_id: RequestId


@frozen
class RespondFailure:
    """Effect: send the caller the final outcome of a request that did not complete.

    Before the head was sent this is an error response. Afterwards it is an error event without an
    end marker, or an aborted connection for a body of known length. A negative ``retry_after_ms``
    means that a retry is pointless.
    """

    request_id: RequestId
    outcome: Outcome
    reason: Reason
    detail: str
    retry_after_ms: float = -1.0


# Shard ownership and drain.


@frozen
class OwnerChanged:
    """Effect and event: the owner of a shard as known to this node, or None without an owner.

    ``epoch`` is the fencing number of the owner's lease, or of the lease that ended.
    """

    shard: ShardId
    owner: NodeId | None
    epoch: int


@frozen
class CutRequests:
    """Event: the drain has ended; give every request still in flight its final outcome."""


@frozen
class RequestsCut:
    """Effect: the result of CutRequests.

    ``cut`` holds the requests that were still in flight, ``unrecorded`` the claims whose record was
    not stored. Both are empty after a clean drain.
    """

    cut: tuple[RequestId, ...]
    unrecorded: tuple[str, ...] = ()


RESPONSE_EFFECTS: frozenset[type] = frozenset(
    (RespondHead, RespondChunk, RespondEnd, RespondFailure)
)

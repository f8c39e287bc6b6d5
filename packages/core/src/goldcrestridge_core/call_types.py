"""Calls of callers, their attempts upstream, and drain at the entry node."""

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

# Callers and attempts, at the entry.


class CallKind(enum.Enum):
    """Kind of a call."""

    COMPLETION = "completion"
    PLAIN = "plain"


@frozen
class Call:
    """A caller's request after authentication and classification.

    ``key`` is the caller's idempotency key or empty. ``prefix`` as in SlotRequest.
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
    continuable: bool = False  # A stream with one plain-text choice.
    key: str = ""


@frozen
class CallerRequest:
    """Event: a caller's request arrived; ``wall_ms`` is the wall time of its arrival."""

    request_id: RequestId
    call: Call
    wall_ms: float = 0.0


@frozen
class CallerGone:
    """Event: the caller closed its connection before the answer was complete."""

    request_id: RequestId


@frozen
class AttemptHead:
    """Event: the upstream sent the response head."""

    request_id: RequestId
    attempt: int
    status: int
    headers: Headers


@frozen
class AttemptChunk:
    """Event: the upstream sent part of the answer.

    For a stream ``data`` is one server-sent event with its blank line, ``text`` its plain text
    and ``tokens`` the tokens in it; for other answers ``data`` is a piece of the body.
    ``opening`` marks an event that only opens the answer (the role of the assistant); it is
    not delivered a second time when another engine continues the stream.
    """

    request_id: RequestId
    attempt: int
    data: bytes
    text: str = ""
    tokens: int = 0
    opening: bool = False


@frozen
class AttemptEnd:
    """Event: the upstream ended the answer properly (end marker or full length seen)."""

    request_id: RequestId
    attempt: int


@frozen
class AttemptFailed:
    """Event: the attempt broke.

    ``sent`` is False only if it is certain that no byte of the request reached the upstream.
    ``leaving`` is True if the upstream refused the request because it is leaving.
    """

    request_id: RequestId
    attempt: int
    sent: bool
    reason: str
    leaving: bool = False


@frozen
class StartAttempt:
    """Effect: open the call upstream.

    With ``delivered_tokens`` above zero the attempt continues a stream: the engine gets the
    delivered text as the beginning of the answer, or resumes from the token offset if it can.
    """

    request_id: RequestId
    attempt: int
    upstream: UpstreamId
    call: Call
    priority: int
    delivered_text: str = ""
    delivered_tokens: int = 0


@frozen
class CancelAttempt:
    """Effect: stop the call upstream at once; later events of the attempt are ignored."""

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
    """Effect: end a complete answer."""

    request_id: RequestId


@frozen
class RespondFailure:
    """Effect: give the caller the final outcome of a request that did not complete.

    Before the head was sent this is an error response; afterwards an error event without an
    end marker, or a broken connection for a body of known length. ``retry_after_ms`` below
    zero means that coming back is pointless.
    """

    request_id: RequestId
    outcome: Outcome
    reason: Reason
    detail: str
    retry_after_ms: float = -1.0


# Ownership and drain, at the entry.


@frozen
class OwnerChanged:
    """Effect and event: the owner of a shard as the node knows it; None while there is none.

    ``epoch`` is the fencing number of the owner's lease, or of the lease that ended.
    """

    shard: ShardId
    owner: NodeId | None
    epoch: int


@frozen
class EndDrain:
    """Event: give every request that is still in flight its final outcome now."""


@frozen
class DrainEnded:
    """Effect: the requests and claim records that EndDrain cut; both empty for a clean drain."""

    cut: tuple[RequestId, ...]
    unrecorded: tuple[str, ...] = ()

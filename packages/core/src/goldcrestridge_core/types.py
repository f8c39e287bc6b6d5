"""Identifiers, outcomes, messages, events and effects shared by all roles.

Times and durations are in milliseconds. Times in these messages are relative (an age, or the time
left), because the monotonic clocks of two processes are unrelated.
"""

from __future__ import annotations

import enum
from typing import Any, NewType, Protocol

from attrs import field, frozen

from goldcrestridge_core.codec import message

NodeId = NewType("NodeId", str)
UpstreamId = NewType("UpstreamId", str)
RequestId = NewType("RequestId", str)
ShardId = NewType("ShardId", str)  # Pool name and shard number: "pool/number".

Labels = tuple[tuple[str, str], ...]
Headers = tuple[tuple[bytes, bytes], ...]


# Events and effects of every role.


@frozen
class Tick:
    """Event: the next deadline of the role has passed."""


@frozen
class Receive:
    """Event: a message from another node."""

    sender: NodeId
    message: Any


@frozen
class Send:
    """Effect: send a message to another node; it may be lost or reordered."""

    to: NodeId
    message: Any


@frozen
class Emit:
    """Effect: record an event on the timeline; ``detail`` holds strings and numbers only."""

    kind: str
    request_id: str = ""
    workspace: str = ""
    upstream: str = ""
    change_id: str = ""
    detail: tuple[tuple[str, str | int | float], ...] = ()


@frozen
class Count:
    """Effect: add ``value`` to a counter, or to a histogram if the name ends in a unit."""

    name: str
    value: float = 1.0
    labels: Labels = ()


class Role(Protocol):
    """A state machine that does no input or output of its own."""

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` and return the effects in order."""
        ...

    def next_deadline_ms(self) -> float | None:
        """Return the monotonic time at which the role needs a Tick, or None."""
        ...


# Outcomes of requests, and the reasons for a failure.


class Outcome(enum.Enum):
    """Outcome of a request as reported to its caller."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"  # No byte reached an upstream, or the upstream refused the call.
    FAILED = "failed"  # It ran completely or in part without success.
    UNKNOWN = "unknown"  # It may have run.


class Reason(enum.Enum):
    """Why a request did not complete."""

    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    LIMIT = "limit"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_ERROR = "upstream_error"
    UPSTREAM_LOST = "upstream_lost"
    CLAIM_STORE = "claim_store_unreachable"
    CLAIM_CONFLICT = "idempotency_key_reused"
    CLAIM_IN_PROGRESS = "idempotency_key_in_progress"
    CLAIM_EXPIRED = "idempotency_key_expired"
    CALLER_GONE = "caller_gone"
    DRAINING = "draining"


# Slot messages between entry nodes and shard owners.


@message
@frozen
class SlotRequest:
    """Request a slot from the shard owner; resent with updated times until it is answered.

    ``prefix`` holds 64-bit hashes of the successive prompt blocks, each covering the blocks
    before it. ``deadline_in_ms`` is the time left to get a slot. A stream that has begun goes on
    only at an upstream of the software ``version`` that began it, which is empty if that upstream
    states none; None stands for any version.
    """

    request_id: RequestId
    attempt: int
    entry: NodeId
    shard: ShardId
    workspace: str
    site: str
    class_name: str
    model: str
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[int, ...]
    waited_ms: float
    deadline_in_ms: float
    excluded: tuple[UpstreamId, ...] = ()
    delivered_tokens: int = 0
    version: str | None = None


@message
@frozen
class SlotCancel:
    """Cancel a slot request, whether it is queued or granted."""

    request_id: RequestId
    attempt: int
    entry: NodeId
    shard: ShardId


@message
@frozen
class SlotGrant:
    """Grant a slot at ``upstream``; ``grant_id`` is unique within ``shard`` and ``epoch``."""

    request_id: RequestId
    attempt: int
    shard: ShardId
    epoch: int
    grant_id: int
    upstream: UpstreamId
    priority: int = 0
    expected_tokens: int = 0


@message
@frozen
class SlotRefusal:
    """Refuse a slot; the request did not run and may be retried after ``retry_after_ms``."""

    request_id: RequestId
    attempt: int
    shard: ShardId
    epoch: int
    reason: Reason
    retry_after_ms: float


class GrantEnd(enum.Enum):
    """How the use of a granted slot ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"
    CONNECT_FAILED = "connect_failed"
    LEAVING = "leaving"  # The upstream refused the call because it is leaving.
    UNUSED = "unused"


@message
@frozen
class SlotRelease:
    """Release a slot and report its measurements; negative times mean not measured."""

    request_id: RequestId
    attempt: int
    entry: NodeId
    shard: ShardId
    epoch: int
    grant_id: int
    upstream: UpstreamId
    end: GrantEnd
    output_tokens: int = 0
    first_token_ms: float = -1.0
    inter_token_ms: float = -1.0


@frozen
class HeldGrant:
    """One grant held by an entry node, with all data that a new owner needs to account for it."""

    request_id: RequestId
    attempt: int
    epoch: int
    grant_id: int
    upstream: UpstreamId
    workspace: str
    site: str
    class_name: str
    model: str
    prompt_tokens: int
    output_tokens: int


@message
@frozen
class GrantReport:
    """List all grants that an entry node holds in a shard, and its attempts without a grant.

    ``sequence`` increases with each report of an entry node, so that the owner can ignore reports
    that arrive out of order. 0 means that the reports are not numbered. ``limits`` are those of the
    last summary, for an owner that has no load report of an upstream yet.
    """

    entry: NodeId
    shard: ShardId
    held: tuple[HeldGrant, ...]
    waiting: tuple[tuple[RequestId, int], ...] = ()
    sequence: int = 0
    limits: tuple[tuple[UpstreamId, float], ...] = ()


@message
@frozen
class NotOwner:
    """Reply that the sender does not own the shard; ``owner`` is the owner that it knows."""

    shard: ShardId
    owner: NodeId | None
    epoch: int


@message
@frozen
class ShardSummary:
    """Publish owner and load of a shard; ``waiting`` counts the queued requests by tier.

    ``limits`` holds the requests a second of the upstreams that name a limit.
    """

    shard: ShardId
    owner: NodeId
    epoch: int
    free_slots: int
    waiting: tuple[int, ...]
    limits: tuple[tuple[UpstreamId, float], ...] = ()


@frozen
class LeaseExtended:
    """Event: the lease of ``epoch`` is valid until the monotonic time ``until_ms``."""

    epoch: int
    until_ms: float


# Reports of upstreams.


@message
@frozen
class LoadReport:
    """Load reported by an upstream; ``age_ms`` is the age of the values on arrival.

    ``limit_per_second`` is the number of requests a second that the upstream takes from all entry
    nodes together, or None if it names no limit. ``version`` is that of its software, empty if it
    states none.
    """

    upstream: UpstreamId
    age_ms: float
    running: int
    waiting: int
    slots: int
    leaving: bool = False
    limit_per_second: float | None = None
    version: str = ""


@message
@frozen
class CacheEvents:
    """Prefix blocks added to and evicted from an engine's cache.

    ``first_sequence`` is the sequence number of the first event. After a gap to the last event
    received, the prefix index of that engine is no longer reliable.
    """

    upstream: UpstreamId
    first_sequence: int
    added: tuple[int, ...]
    evicted: tuple[int, ...]


@message
@frozen
class UpstreamLeaving:
    """Notify other nodes that an upstream is leaving; ``source`` names what reported it."""

    upstream: UpstreamId
    source: str


@message
@frozen
class UpstreamResting:
    """Notify other nodes that an upstream wants no requests for ``left_ms``.

    ``source`` is LOAD_REPORT if the load report said so to the node itself, otherwise the node to
    which it was said or that passes it on.
    """

    upstream: UpstreamId
    left_ms: float
    source: str


LOAD_REPORT = "load_report"

# Proposals of a node to the replicated log.


@frozen
class SubmitProposal:
    """Effect: commit a command in the log; answered by ProposalDone with the same id."""

    proposal_id: str
    command: Any
    timeout_ms: float


@frozen
class ProposalDone:
    """Event: decoded result of a proposal, or None if it is unknown or the log was not reached.

    ``sent`` is False if it is certain that no replica received the proposal.
    """

    proposal_id: str
    result: Any | None
    sent: bool = True


# Event of the timeline.


@message
@frozen
class TimelineEvent:
    """One event of one process, ordered by a hybrid logical clock (wall ms, counter, node)."""

    wall_ms: float
    counter: int
    node: NodeId
    event: Emit = field()

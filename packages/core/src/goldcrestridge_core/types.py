"""Identifiers, outcomes, messages, events and effects shared by all roles.

Times and durations are milliseconds. Durations in messages are relative, because the clocks of
two processes are unrelated.
"""

from __future__ import annotations

import enum
from typing import Any, NewType, Protocol

from attrs import field, frozen

from goldcrestridge_core.codec import message

NodeId = NewType("NodeId", str)
UpstreamId = NewType("UpstreamId", str)
RequestId = NewType("RequestId", str)
ShardId = NewType("ShardId", str)  # "pool/number"

Labels = tuple[tuple[str, str], ...]
Headers = tuple[tuple[bytes, bytes], ...]


# Common events and effects.


@frozen
class Tick:
    """Tell a role that its next deadline has passed."""


@frozen
class Receive:
    """Deliver a message from another node to a role."""

    sender: NodeId
    message: Any


@frozen
class Send:
    """Send a message to another node; delivery is neither certain nor ordered."""

    to: NodeId
    message: Any


@frozen
class Emit:
    """Record an event on the time line; ``detail`` holds strings and numbers only."""

    kind: str
    request_id: str = ""
    workspace: str = ""
    upstream: str = ""
    change_id: str = ""
    detail: tuple[tuple[str, str | int | float], ...] = ()


@frozen
class Count:
    """Add ``value`` to a counter, or record it in a histogram if the name ends in a unit."""

    name: str
    value: float = 1.0
    labels: Labels = ()


class Role(Protocol):
    """A state machine without input or output."""

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` and return the effects in order."""
        ...

    def next_deadline_ms(self) -> float | None:
        """Return the monotonic time at which the role wants a Tick, or None."""
        ...


# Outcomes.


class Outcome(enum.Enum):
    """What became of a request, as told to its caller."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"  # Certain: no byte reached an upstream, or the upstream refused it.
    FAILED = "failed"  # It ran in whole or in part and did not succeed.
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


# Slots: entry to owner and back.


@message
@frozen
class SlotRequest:
    """Ask the owner of a shard for a slot; sent again unchanged but for the times until answered.

    ``prefix`` holds 64-bit hashes of the successive prompt blocks, each covering the blocks
    before it. ``deadline_in_ms`` is the time left until the request must have its slot.
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


@message
@frozen
class SlotCancel:
    """Withdraw a slot request, whether it waits or was granted."""

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
    """Refuse a slot; the request did not run and may come back after ``retry_after_ms``."""

    request_id: RequestId
    attempt: int
    shard: ShardId
    epoch: int
    reason: Reason
    retry_after_ms: float


class GrantEnd(enum.Enum):
    """How the work under a grant ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"
    CONNECT_FAILED = "connect_failed"
    LEAVING = "leaving"  # The upstream refused because it is leaving.
    UNUSED = "unused"


@message
@frozen
class SlotRelease:
    """Return a slot with what was measured under it; negative times mean not measured."""

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
    """One grant that an entry holds, with all that a new owner needs to account for it."""

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
    """List all grants that an entry holds in a shard, and the attempts that wait for one.

    ``sequence`` grows with each report of an entry, so that the owner can ignore one that was
    overtaken; 0 means that the reports are not numbered.
    """

    entry: NodeId
    shard: ShardId
    held: tuple[HeldGrant, ...]
    waiting: tuple[tuple[RequestId, int], ...] = ()
    sequence: int = 0


@message
@frozen
class NotOwner:
    """Answer a slot request sent to a node that is not the owner."""

    shard: ShardId
    owner: NodeId | None
    epoch: int


@message
@frozen
class ShardSummary:
    """Tell entries the owner and the load of a shard; ``waiting`` counts requests by tier."""

    shard: ShardId
    owner: NodeId
    epoch: int
    free_slots: int
    waiting: tuple[int, ...]


@frozen
class LeaseExtended:
    """Event: the lease of ``epoch`` holds until the monotonic time ``until_ms``."""

    epoch: int
    until_ms: float


# Reports of upstreams.


@message
@frozen
class LoadReport:
    """Load as an upstream reported it; ``age_ms`` is the age of the figures on arrival."""

    upstream: UpstreamId
    age_ms: float
    running: int
    waiting: int
    slots: int
    leaving: bool = False


@message
@frozen
class CacheEvents:
    """Prefix blocks added to and evicted from an engine's cache.

    ``first_sequence`` is the number of the first event; a gap to the last one seen makes the
    index of that engine uncertain.
    """

    upstream: UpstreamId
    first_sequence: int
    added: tuple[int, ...]
    evicted: tuple[int, ...]


@message
@frozen
class UpstreamLeaving:
    """Spread any sign that an upstream is leaving."""

    upstream: UpstreamId
    source: str


# Proposals of a node to the replicated log.


@frozen
class SubmitProposal:
    """Effect: have an encoded command committed; answered by ProposalDone with the same id."""

    proposal_id: str
    command: Any
    timeout_ms: float


@frozen
class ProposalDone:
    """Event: the decoded result, or None if the fate is unknown or the log was not reached.

    ``sent`` is False if it is certain that no replica received the proposal.
    """

    proposal_id: str
    result: Any | None
    sent: bool = True


# Time line.


@message
@frozen
class TimelineEvent:
    """One event of one process, ordered by a hybrid logical clock (wall ms, counter, node)."""

    wall_ms: float
    counter: int
    node: NodeId
    event: Emit = field()

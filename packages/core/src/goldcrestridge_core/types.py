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
    """List all grants that an entry holds in a shard, and the attempts that wait for one."""

    entry: NodeId
    shard: ShardId
    held: tuple[HeldGrant, ...]
    waiting: tuple[tuple[RequestId, int], ...] = ()


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


# Callers and attempts, at the entry.


class CallKind(enum.Enum):
    """Kind of a call."""

    COMPLETION = "completion"
    PLAIN = "plain"


Headers = tuple[tuple[bytes, bytes], ...]


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
    """Event: the owner of a shard as the node knows it; None while there is none.

    ``epoch`` is the fencing number of the owner's lease, or of the lease that ended.
    """

    shard: ShardId
    owner: NodeId | None
    epoch: int


@frozen
class StartDrain:
    """Event: accept no new request; those in flight go on to their end."""


@frozen
class EndDrain:
    """Event: give every request that is still in flight its final outcome now."""


@frozen
class DrainEnded:
    """Effect: the requests and claim records that EndDrain cut; both empty for a clean drain."""

    cut: tuple[RequestId, ...]
    unrecorded: tuple[str, ...] = ()


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


# Replicated log: commands of the store and their results.


@message
@frozen
class ApplyConfig:
    """Replace the configuration if ``base_version`` is the current one; idempotent by change id."""

    change_id: str
    base_version: int
    operator: str
    document: bytes


class ApplyStatus(enum.Enum):
    """Result of an ApplyConfig command."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


@message
@frozen
class ApplyResult:
    """Answer to ApplyConfig: the version made or, on conflict, the current version."""

    status: ApplyStatus
    version: int
    digest: str
    detail: str = ""


@message
@frozen
class BeginClaim:
    """Claim an idempotency key before the call runs.

    ``issued_ms`` is the wall time in the key; ``claimant`` identifies the entry's attempt, so
    that the same command sent again gets the same answer.
    """

    workspace: str
    service: str
    key: str
    body_digest: str
    issued_ms: float
    claimant: str


class ClaimState(enum.Enum):
    """State of a claim as told to an entry."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    EXPIRED = "expired"


@message
@frozen
class ClaimResult:
    """Answer to BeginClaim or FinishClaim; status, headers and body belong to RECORDED."""

    state: ClaimState
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


@message
@frozen
class FinishClaim:
    """Record the fate of a claimed call: its answer, not run (frees the key), or unknown."""

    workspace: str
    service: str
    key: str
    claimant: str
    outcome: Outcome
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


@message
@frozen
class AcquireLease:
    """Acquire or renew a lease; ``fencing`` is 0 to acquire or the held number to renew."""

    resource: str
    holder: NodeId
    duration_ms: float
    fencing: int = 0


@message
@frozen
class ReleaseLease:
    """Give up a lease early."""

    resource: str
    holder: NodeId
    fencing: int


@message
@frozen
class ExpireLease:
    """Expire a lease that was not renewed; proposed by the leader only."""

    resource: str
    fencing: int


@message
@frozen
class LeaseResult:
    """Answer to a lease command; ``fencing`` grows with every change of holder."""

    granted: bool
    holder: NodeId | None
    fencing: int


# Messages between log clients and replicas.


@message
@frozen
class Propose:
    """Ask the leader to commit an encoded command; sent again with the same id until answered."""

    proposal_id: str
    command: bytes


@message
@frozen
class ProposeReply:
    """Answer to Propose: the encoded result, or the leader to ask instead."""

    proposal_id: str
    committed: bool
    result: bytes = b""
    leader: NodeId | None = None


# Configuration distribution.


@message
@frozen
class ConfigHint:
    """Tell the configuration version and digest that the sender has in force."""

    version: int
    digest: str


@message
@frozen
class ConfigPull:
    """Ask for the difference from ``have_version`` to the current version."""

    have_version: int
    have_digest: str


@message
@frozen
class ConfigDelta:
    """Carry a whole version as a difference from ``base_version``, or in full if that is 0.

    ``digest`` covers the whole document of ``version``.
    """

    base_version: int
    version: int
    digest: str
    patch: bytes


# Membership.


class MemberState(enum.Enum):
    """Liveness of a member as believed by the sender."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


@frozen
class Member:
    """One node of the system; a higher incarnation overrides any state of a lower one."""

    node: NodeId
    incarnation: int
    state: MemberState
    data_centre: str
    peer_address: str
    caller_address: str = ""
    roles: tuple[str, ...] = ()
    config_version: int = 0


@message
@frozen
class Ping:
    """Probe a member; carries member updates and the configuration hint."""

    sequence: int
    updates: tuple[Member, ...]
    hint: ConfigHint


@message
@frozen
class PingReq:
    """Ask another member to probe ``target`` on the sender's behalf."""

    sequence: int
    target: NodeId
    updates: tuple[Member, ...]
    hint: ConfigHint


@message
@frozen
class Ack:
    """Answer a probe; ``target`` is the member that answered."""

    sequence: int
    target: NodeId
    updates: tuple[Member, ...]
    hint: ConfigHint


@frozen
class MemberUp:
    """Effect and event: a member is alive, new, or changed its data."""

    member: Member


@frozen
class MemberLeaving:
    """Effect and event: a member drains; it takes no new work."""

    node: NodeId


@frozen
class MemberDown:
    """Effect and event: a member left or is dead."""

    node: NodeId


# Time line.


@message
@frozen
class TimelineEvent:
    """One event of one process, ordered by a hybrid logical clock (wall ms, counter, node)."""

    wall_ms: float
    counter: int
    node: NodeId
    event: Emit = field()

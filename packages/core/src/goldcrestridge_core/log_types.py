"""Messages, records, events and effects of the replicated log."""

from __future__ import annotations

import enum

from attrs import frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.types import NodeId

# Messages between log clients and replicas.


@message
@frozen
class Propose:
    """Ask the leader to commit an encoded command; retried with the same id until answered."""

    proposal_id: str
    command: bytes


@message
@frozen
class ProposeReply:
    """Reply to Propose: the encoded result, or the leader to ask instead."""

    proposal_id: str
    committed: bool
    result: bytes = b""
    leader: NodeId | None = None


@message
@frozen
class Query:
    """Ask the leader for a linearizable read of the store; retried until answered."""

    query_id: str
    request: bytes


@message
@frozen
class QueryReply:
    """Reply to Query: the encoded result, or the leader to ask instead."""

    query_id: str
    answered: bool
    result: bytes = b""
    leader: NodeId | None = None


@frozen
class ReplicasKnown:
    """Event: the nodes known to hold a log replica, from the settings or the membership."""

    nodes: tuple[NodeId, ...]


# Durable records.


@frozen
class Replica:
    """Identity of a replica; ``incarnation`` is a random id of its data folder."""

    node: NodeId
    incarnation: str


@message
@frozen
class LogMembership:
    """Replicas of a log; ``group`` identifies the log, so that different logs do not mix."""

    group: str
    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...] = ()


class EntryKind(enum.Enum):
    """Kind of a log entry."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    BARRIER = "barrier"  # No-op; the first entry of a leader's term.


@message
@frozen
class LogEntry:
    """One log entry; ``stamp_ms`` is the wall time set by the leader, which never decreases."""

    index: int
    term: int
    kind: EntryKind
    stamp_ms: float
    data: bytes


@message
@frozen
class HardState:
    """Term and vote of a replica; made durable before any message that depends on them."""

    term: int
    voted_for: Replica | None


@message
@frozen
class LogReset:
    """Discard all earlier entries; the log continues after ``index``."""

    index: int
    term: int


@message
@frozen
class Snapshot:
    """Membership and state machine state up to and including the entry at ``index``."""

    index: int
    term: int
    stamp_ms: float
    membership: LogMembership
    state: bytes


# Disk effects, and the events that report their completion.


@frozen
class WriteLog:
    """Effect: append the records and sync once; completed by LogSynced or LogFailed."""

    records: tuple[HardState | LogEntry | LogReset, ...]
    token: int


@frozen
class WriteSnapshot:
    """Effect: make a snapshot durable; completed by LogSynced or LogFailed."""

    snapshot: Snapshot
    token: int


@frozen
class TruncateLog:
    """Effect: entries before ``first_index`` may be removed from the disk."""

    first_index: int


@frozen
class LogSynced:
    """Event: the write with this token is durable."""

    token: int


@frozen
class LogFailed:
    """Event: a write or sync failed; the replica stops."""

    reason: str


@frozen
class LeaveLog:
    """Event: the node of the replica stops; a spare replica is to take its place."""


@frozen
class WallTime:
    """Event: wall time of this process, sent about once per second; only stamps entries."""

    wall_ms: float


# Messages between replicas.


@frozen
class LogRoute:
    """Group, sender and receiver of a message between replicas."""

    group: str
    source: Replica
    target: Replica


@message
@frozen
class PreVote:
    """Ask whether a vote in ``term`` would be granted, without changing any state."""

    route: LogRoute
    term: int
    last_index: int
    last_term: int


@message
@frozen
class PreVoteReply:
    """Reply to PreVote; ``term`` is the requested term if granted, else the sender's term."""

    route: LogRoute
    term: int
    granted: bool


@message
@frozen
class Vote:
    """Request a vote in ``term``."""

    route: LogRoute
    term: int
    last_index: int
    last_term: int


@message
@frozen
class VoteReply:
    """Reply to Vote, sent once the vote is durable."""

    route: LogRoute
    term: int
    granted: bool


@message
@frozen
class Append:
    """Replicate the entries after ``prev_index``; without entries it is a heartbeat.

    ``sent_ms`` is the leader's monotonic time, which the reply echoes. ``leaving`` are the replicas
    whose nodes stop, which a later leader needs to know.
    """

    route: LogRoute
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_ms: float
    leaving: tuple[Replica, ...] = ()


@message
@frozen
class AppendReply:
    """Reply to Append; ``match`` is the durable matching index, or the index to try next.

    ``wall_ms`` is the wall time of the sender, or -1 if it is unknown. ``leaving`` tells that the
    node of the sender stops.
    """

    route: LogRoute
    term: int
    accepted: bool
    match: int
    sent_ms: float
    wall_ms: float = -1.0
    leaving: bool = False


@message
@frozen
class InstallSnapshot:
    """Send one chunk of an encoded snapshot of ``total`` bytes."""

    route: LogRoute
    term: int
    index: int
    offset: int
    total: int
    data: bytes
    sent_ms: float


@message
@frozen
class InstallSnapshotReply:
    """Reply to InstallSnapshot; ``offset`` is the number of bytes received so far."""

    route: LogRoute
    term: int
    index: int
    offset: int
    sent_ms: float


@message
@frozen
class JoinReplica:
    """Announce a replica without a leader; ``fresh`` means that it has no log data."""

    replica: Replica
    fresh: bool


@message
@frozen
class JoinReply:
    """Reply to JoinReplica with the first entry of the log, which names the replica."""

    first: LogEntry


class ReplicaOperation(enum.Enum):
    """Kind of a membership change."""

    ADD = "add"  # Adds a learner, which the leader promotes once it has caught up.
    REMOVE = "remove"


@message
@frozen
class ChangeReplicas:
    """Ask the leader to add or remove one replica; answered by ChangeReplicasReply."""

    change_id: str
    operation: ReplicaOperation
    replica: Replica


@message
@frozen
class ChangeReplicasReply:
    """Reply to ChangeReplicas; ``accepted`` means appended, not committed.

    ``membership`` is the latest one in the log, whether or not it is committed.
    """

    change_id: str
    accepted: bool
    reason: str
    membership: LogMembership | None = None
    leader: NodeId | None = None


STORAGE_EFFECTS: tuple[type, ...] = (WriteLog, WriteSnapshot, TruncateLog)

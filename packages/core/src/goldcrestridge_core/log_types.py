"""Records, effects and messages of the replicated log."""

from __future__ import annotations

import enum

from attrs import frozen

from goldcrestridge_core.codec import message
from goldcrestridge_core.types import NodeId

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


@message
@frozen
class Query:
    """Ask the leader for a linearizable read of the store; sent again until answered."""

    query_id: str
    request: bytes


@message
@frozen
class QueryReply:
    """Answer to Query: the encoded result, or the leader to ask instead."""

    query_id: str
    answered: bool
    result: bytes = b""
    leader: NodeId | None = None


@frozen
class ReplicasKnown:
    """Event: the nodes that hold a replica of the log, as known from settings or membership."""

    nodes: tuple[NodeId, ...]


# Replicated log: records on disk.


@frozen
class Replica:
    """Identity of a replica; the incarnation is made at random with the data folder."""

    node: NodeId
    incarnation: str


@message
@frozen
class LogMembership:
    """Replicas of a log; ``group`` tells logs of different origin apart."""

    group: str
    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...] = ()


class EntryKind(enum.Enum):
    """Kind of a log entry."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    BARRIER = "barrier"  # First entry of a leader's term.


@message
@frozen
class LogEntry:
    """One entry of the log; ``stamp_ms`` is wall time of the leader and never decreases."""

    index: int
    term: int
    kind: EntryKind
    stamp_ms: float
    data: bytes


@message
@frozen
class HardState:
    """Term and vote of a replica, durable before any message that depends on them."""

    term: int
    voted_for: Replica | None


@message
@frozen
class LogReset:
    """Drop all earlier entries; the log continues after ``index``."""

    index: int
    term: int


@message
@frozen
class Snapshot:
    """State of the log and its state machine up to and including ``index``."""

    index: int
    term: int
    stamp_ms: float
    membership: LogMembership
    state: bytes


# Replicated log: effects on the disk and their answers.


@frozen
class WriteLog:
    """Effect: append the records and sync once; answered by LogSynced or LogFailed."""

    records: tuple[HardState | LogEntry | LogReset, ...]
    token: int


@frozen
class WriteSnapshot:
    """Effect: make a snapshot durable; answered by LogSynced or LogFailed."""

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
class WallTime:
    """Event: wall time of this process, fed about once a second; it only stamps entries."""

    wall_ms: float


# Replicated log: messages between replicas.


@frozen
class LogRoute:
    """Sender and receiver of a log message, each with its incarnation."""

    group: str
    source: Replica
    target: Replica


@message
@frozen
class PreVote:
    """Ask whether a vote in ``term`` would be granted; changes no state."""

    route: LogRoute
    term: int
    last_index: int
    last_term: int


@message
@frozen
class PreVoteReply:
    """Answer to PreVote; ``term`` is the asked term if granted, else the sender's own."""

    route: LogRoute
    term: int
    granted: bool


@message
@frozen
class Vote:
    """Ask for the vote in ``term``."""

    route: LogRoute
    term: int
    last_index: int
    last_term: int


@message
@frozen
class VoteReply:
    """Answer to Vote, sent once the vote is durable."""

    route: LogRoute
    term: int
    granted: bool


@message
@frozen
class Append:
    """Replicate entries after ``prev_index``; without entries it is a heartbeat.

    ``sent_ms`` is the leader's monotonic time and is returned unchanged.
    """

    route: LogRoute
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_ms: float


@message
@frozen
class AppendReply:
    """Answer to Append; ``match`` is the durable matching index, or the index to try next."""

    route: LogRoute
    term: int
    accepted: bool
    match: int
    sent_ms: float
    wall_ms: float = -1.0


@message
@frozen
class InstallSnapshot:
    """Carry one chunk of an encoded snapshot of ``total`` bytes."""

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
    """Answer to InstallSnapshot; ``offset`` is the number of bytes held so far."""

    route: LogRoute
    term: int
    index: int
    offset: int
    sent_ms: float


@message
@frozen
class JoinReplica:
    """Announce a replica that hears no leader; ``fresh`` if it holds nothing of any log."""

    replica: Replica
    fresh: bool


@message
@frozen
class JoinReply:
    """Give a replica named in it the first entry of the log."""

    first: LogEntry


class ReplicaOperation(enum.Enum):
    """A change of the replicas of the log."""

    ADD = "add"  # As a learner; the leader promotes it once it holds everything.
    REMOVE = "remove"


@message
@frozen
class ChangeReplicas:
    """Ask the leader for one membership change; answered by ChangeReplicasReply."""

    change_id: str
    operation: ReplicaOperation
    replica: Replica


@message
@frozen
class ChangeReplicasReply:
    """Answer to ChangeReplicas; accepted means appended, and ``membership`` is the latest."""

    change_id: str
    accepted: bool
    reason: str
    membership: LogMembership | None = None
    leader: NodeId | None = None

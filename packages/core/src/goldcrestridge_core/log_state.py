"""State of one replica of the log, shared by election, replication and snapshots.

A write batch collects records while the disk is busy with the batch before, so that one sync
serves many entries. Messages that depend on a record leave only after the sync of its batch.
"""

from __future__ import annotations

import enum
import math
from random import Random
from typing import Any, Protocol

from attrs import Factory, define, field, frozen

from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.log_records import Entries, Record, membership_of
from goldcrestridge_core.log_types import (
    HardState,
    LogEntry,
    LogMembership,
    LogReset,
    LogRoute,
    Replica,
    Snapshot,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.types import Emit, NodeId, Send

NO_MEMBERSHIP = LogMembership("", ())


class StateMachine(Protocol):
    """Deterministic state that the log replicates; its values are opaque to the log."""

    def refuse(self, command: bytes) -> bytes | None:
        """Return the encoded answer to a command that must not enter the log, or None."""
        ...

    def apply(self, command: bytes, index: int, stamp_ms: float) -> bytes:
        """Apply a committed command and return its encoded result."""
        ...

    def query(self, request: bytes) -> bytes:
        """Return the encoded answer to a read."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the state by one returned by ``snapshot``."""
        ...


@frozen
class LogOptions:
    """Times and sizes of the log.

    A lease ends ``lease_share`` of an election timeout after the acknowledged heartbeat was
    sent; the rest covers clocks that run at different rates. With an election timeout of 500 to
    1,000 ms a leader is replaced within 1.5 s.
    """

    heartbeat_ms: float = 100.0
    election_timeout_ms: float = 500.0
    lease_share: float = 0.9
    lease_reads: bool = True
    resend_ms: float = 200.0
    promotion_heartbeats: int = 10  # Commits wait for a learner in at most one of so many.
    join_ms: float = 500.0
    join_memory_ms: float = 2000.0  # All replicas must be fresh at about the same time.
    snapshot_entries: int = 4096
    snapshot_bytes: int = 8 << 20  # At least; otherwise twice the size of the last snapshot.
    kept_entries: int = 1024
    kept_bytes: int = 16 << 20
    append_entries: int = 1024
    append_bytes: int = 1 << 20
    chunk_bytes: int = 256 << 10
    max_pending_proposals: int = 10_000
    # Number of voters that the leader keeps up by itself; 0 leaves changes to the operator.
    target_voters: int = 0
    # A voter that was silent for so long is replaced if a spare replica has announced itself.
    replace_after_ms: float = 3_000.0


class Position(enum.Enum):
    """Position of a replica in the election."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@define
class Progress:
    """What a leader knows of one other replica."""

    next_index: int
    match: int = 0
    acked_ms: float = -math.inf  # Leader's time of sending of the newest acknowledged append.
    unacked_last: int = 0  # Last index of the append in flight, 0 if none.
    unacked_ms: float = -math.inf
    snapshot_index: int = 0  # Snapshot being sent, 0 if none.
    snapshot_data: bytes = b""
    offset: int = 0
    wall_offset_ms: float | None = None
    # Learners only: commit index at the last heartbeat, heartbeats since commits last waited for
    # this learner, and whether they wait now.
    catch_up_target: int = 1 << 62
    heartbeats_since_hold: int = 0
    holds_commit: bool = False


@define
class IncomingSnapshot:
    """A snapshot that is being received in chunks."""

    source: Replica
    index: int
    total: int
    data: bytearray = Factory(bytearray)


@define
class Batch:
    """Records for one sync, with the messages that wait for it."""

    records: list[Record] = Factory(list)
    sends: list[Send] = Factory(list)
    last_index: int = 0  # Entries up to here are durable after the sync; 0 if none.
    has_hard_state: bool = False


@define
class LogState:
    """All state of one replica."""

    me: Replica
    machine: StateMachine
    rng: Random
    options: LogOptions
    initial: tuple[NodeId, ...] = ()
    contacts: tuple[NodeId, ...] = ()  # Nodes that a replica without a leader announces itself to.
    term: int = 0
    voted_for: Replica | None = None
    entries: Entries = Factory(Entries)
    snapshot: Snapshot | None = None
    memberships: list[tuple[int, LogMembership]] = Factory(list)
    commit: int = 0
    applied: int = 0
    synced: int = 0
    stamp_ms: float = 0.0
    position: Position = Position.FOLLOWER
    leader: Replica | None = None
    last_contact_ms: float = -math.inf
    election_at_ms: float = math.inf
    heartbeat_at_ms: float = math.inf
    join_at_ms: float = math.inf
    votes: set[Replica] = Factory(set)
    peers: dict[Replica, Progress] = Factory(dict)
    term_start: int = 0  # Index of the barrier of this leader.
    leader_since_ms: float = 0.0
    verified: int = 0  # Highest index known to match the leader of this term.
    ack_pending: bool = False
    leader_sent_ms: float = -math.inf
    wall_offset_ms: float | None = None
    join_announcements: dict[NodeId, tuple[Replica, float]] = Factory(
        dict
    )  # Fresh ones, when heard.
    waiters: dict[int, list[tuple[str, NodeId]]] = Factory(dict)
    proposal_indexes: dict[str, int] = Factory(dict)
    queries: list[tuple[NodeId, str, bytes, int, float]] = Factory(list)
    incoming_snapshot: IncomingSnapshot | None = None
    pending_installs: dict[int, Snapshot] = Factory(dict)
    pending_snapshots: dict[int, Snapshot] = Factory(
        dict
    )  # Own snapshots that are not durable yet.
    applied_bytes: int = 0  # Size of the commands applied since the last snapshot.
    batch: Batch = Factory(Batch)
    in_flight: Batch | None = None
    next_token: int = 1
    in_flight_token: int = 0
    failed: bool = False
    effects: list[Any] = field(factory=list)

    @property
    def membership(self) -> LogMembership:
        """Return the latest membership in the log, committed or not."""
        return self.memberships[-1][1] if self.memberships else NO_MEMBERSHIP

    @property
    def is_voter(self) -> bool:
        """Tell whether this incarnation is a voter."""
        return self.me in self.membership.voters

    @property
    def hard_state_pending(self) -> bool:
        """Tell whether a term or vote is not durable yet."""
        return self.batch.has_hard_state or (
            self.in_flight is not None and self.in_flight.has_hard_state
        )

    def route(self, target: Replica) -> LogRoute:
        """Return the route of a message to another replica."""
        return LogRoute(self.membership.group, self.me, target)

    def send(self, target: Replica, message: object) -> None:
        """Send a message that depends on nothing that is not durable yet."""
        self.effects.append(Send(target.node, message))

    def send_durable(self, target: Replica, message: object) -> None:
        """Send a message once the current term and vote are durable."""
        send = Send(target.node, message)
        if self.batch.has_hard_state:
            self.batch.sends.append(send)
        elif self.in_flight is not None and self.in_flight.has_hard_state:
            self.in_flight.sends.append(send)
        else:
            self.effects.append(send)

    def emit(self, kind: str, **detail: str | int | float) -> None:
        """Record a change of state on the timeline."""
        self.effects.append(Emit(kind, detail=tuple(sorted(detail.items()))))

    def token(self) -> int:
        """Return a new token for a write."""
        self.next_token += 1
        return self.next_token - 1

    def save_hard_state(self, term: int, voted_for: Replica | None) -> None:
        """Change term and vote, to be durable with the next sync."""
        self.term = term
        self.voted_for = voted_for
        self.batch.records.append(HardState(term, voted_for))
        self.batch.has_hard_state = True

    def append(self, entry: LogEntry) -> None:
        """Append an entry, dropping conflicting ones, to be durable with the next sync."""
        if entry.index <= self.commit:
            raise InvariantError(f"Entry {entry.index} is committed and must not change.")
        if entry.index <= self.entries.last_index:
            self._truncate_from(entry.index)
        self.entries.append(entry)
        self.batch.records.append(entry)
        self.batch.last_index = entry.index
        self.stamp_ms = max(self.stamp_ms, entry.stamp_ms)
        membership = membership_of(entry)
        if membership is not None:
            self.memberships.append((entry.index, membership))

    def _truncate_from(self, index: int) -> None:
        """Take back what depends on entries that a new leader replaces."""
        self.memberships = [pair for pair in self.memberships if pair[0] < index]
        self.synced = min(self.synced, index - 1)
        self.batch.last_index = min(self.batch.last_index, index - 1)
        if self.in_flight is not None:
            self.in_flight.last_index = min(self.in_flight.last_index, index - 1)

    def reset(self, snapshot: Snapshot) -> None:
        """Continue after a snapshot that this replica's entries do not lead to."""
        self.entries.reset(snapshot.index, snapshot.term)
        self.batch.records.append(LogReset(snapshot.index, snapshot.term))
        self.memberships = [(snapshot.index, snapshot.membership)]
        self.synced = snapshot.index
        self.batch.last_index = min(self.batch.last_index, snapshot.index)
        if self.in_flight is not None:
            self.in_flight.last_index = min(self.in_flight.last_index, snapshot.index)

    def write_snapshot(self, snapshot: Snapshot) -> int:
        """Make a snapshot durable and return the token of the write."""
        token = self.token()
        self.effects.append(WriteSnapshot(snapshot, token))
        return token

    def start_batch(self) -> None:
        """Hand the collected records to the disk if it is idle."""
        if self.in_flight is not None or not self.batch.records:
            return
        self.in_flight = self.batch
        self.batch = Batch()
        self.in_flight_token = self.token()
        self.effects.append(WriteLog(tuple(self.in_flight.records), self.in_flight_token))

    def batch_synced(self) -> None:
        """Release what waited for the batch in flight."""
        done = self.in_flight
        if done is None:
            raise InvariantError("A sync was reported that was not asked for.")
        self.in_flight = None
        self.synced = max(self.synced, done.last_index)
        self.effects.extend(done.sends)
